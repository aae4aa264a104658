package director

import (
	"time"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/viewer"
)

// ejectingRecorder is the relayer's observer: a Recorder that also ejects backend
// servers that fail their requests.
type ejectingRecorder struct {
	*Recorder
	viewer    *viewer.Viewer
	ejections *examiner.Ejections
}

// EjectServer ejects the server with a token, or all that share it, unless too many servers of
// its service are ejected already.
func (ejectingRecorder *ejectingRecorder) EjectServer(ejection relayer.Ejection) {
	view := ejectingRecorder.viewer.Current()
	now := time.Now()
	alreadyEjected := ejectingRecorder.ejections.IsEjected(ejection.Token, now)
	for _, server := range view.ServersByToken(ejection.Token) {
		ejected := ejectingRecorder.ejections.Eject(server, view.ActiveServers(server.Service), now.Add(ejection.Duration), now)
		if !alreadyEjected { // each leader of the failure domain requests the same ejection
			ejectingRecorder.LogEjection(server, ejection, ejected)
		}
	}
}
