package director

import (
	"time"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/viewer"
)

// failures is a Recorder that has servers held off which fail their requests.
type failures struct {
	*Recorder
	current *viewer.Viewer
	holds   *examiner.Holds
}

// ServerEjected holds a server off for a time, unless too many of its service are.
func (failures *failures) ServerEjected(token uint32, duration time.Duration) {
	view := failures.current.Current()
	server := view.ByToken(token)
	if server == nil {
		return
	}
	now := time.Now()
	known := failures.holds.Held(token, now)
	held := failures.holds.Hold(server, view.Active(server.Service), now.Add(duration), now)
	if !known { // the second of those that lead says so too
		failures.Failing(server, duration, held)
	}
}
