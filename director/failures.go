package director

import (
	"time"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/viewer"
)

// ejectingRecorder is the relayer's observer: a Recorder that also ejects backend
// servers that fail their requests.
type ejectingRecorder struct {
	*Recorder
	viewer    *viewer.Viewer
	ejections *examiner.Ejections
}

// EjectServer ejects the server with the given token for duration, unless too
// many servers of its service are ejected already.
func (ejectingRecorder *ejectingRecorder) EjectServer(token uint32, duration time.Duration) {
	view := ejectingRecorder.viewer.Current()
	server := view.ServerByToken(token)
	if server == nil {
		return
	}
	now := time.Now()
	alreadyEjected := ejectingRecorder.ejections.IsEjected(token, now)
	ejected := ejectingRecorder.ejections.Eject(server, view.ActiveServers(server.Service), now.Add(duration), now)
	if !alreadyEjected { // each leader of the failure domain requests the same ejection
		ejectingRecorder.LogFailingServer(server, duration, ejected)
	}
}
