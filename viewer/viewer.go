package viewer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/parser"
)

// maxFlowAge is the longest that a flow may last by specification. A removed server
// can still be found by its token for this long, so that its open flows continue.
const maxFlowAge = time.Minute

// Viewer holds the newest view and the servers that are used or found although the
// newest list lacks them. Its methods may be called concurrently.
type Viewer struct {
	mutex       sync.Mutex
	current     atomic.Pointer[View]
	removed     []RemovedServer      // found by their tokens for maxFlowAge
	retained    []*BackendServer     // in use although the newest list lacks them
	retainUntil time.Time            // until when retained servers get new flows
	doubtUntil  time.Time            // until when the absence of a server may not mean its end
	leaving     map[incarnation]bool // servers that leave although the newest list calls them active
	onChange    func()               // called after each change of the view
}

// NewViewer returns a Viewer with an empty view.
func NewViewer() *Viewer {
	viewer := &Viewer{onChange: func() {}}
	viewer.current.Store(newView(nil, nil, nil, unlisted{}))
	return viewer
}

// Current returns the newest view.
func (viewer *Viewer) Current() *View { return viewer.current.Load() }

// ApplyConfiguration replaces the configuration if the version is newer than the current one, and reports whether it did.
func (viewer *Viewer) ApplyConfiguration(configuration *Configuration) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Configuration != nil && view.Configuration.Version >= configuration.Version {
		return false
	}
	viewer.publish(configuration, view.Servers, view.Evacuations)
	return true
}

// ApplyServers replaces the list of servers if the revision is newer than the current one, and reports whether it did.
func (viewer *Viewer) ApplyServers(servers *Servers, now time.Time) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Servers != nil && !servers.At().IsNewerThan(view.Servers.At()) {
		return false
	}
	if view.Servers != nil {
		viewer.retained = viewer.retainedServers(view.Servers, servers, now)
		viewer.recallLeaving(view.Servers, servers)
		viewer.rememberRemoved(view.Servers, servers, now)
	}
	viewer.publish(view.Configuration, servers, view.Evacuations)
	return true
}

// ApplyEvacuations replaces the evacuations if their revision is newer than that of the
// current ones, and reports whether it did. It returns the ones before, nil if none were known.
func (viewer *Viewer) ApplyEvacuations(evacuations *Evacuations) (*Evacuations, bool) {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	before := view.Evacuations
	switch {
	case !evacuations.IsNewerThan(before):
		return before, false
	case evacuations.SameDomains(before): // as after most reads of the store: the indexes stay
		confirmed := *view
		confirmed.Evacuations = evacuations
		viewer.current.Store(&confirmed)
	default:
		viewer.publish(view.Configuration, view.Servers, evacuations)
	}
	return before, true
}

// RetainMissingUntil keeps active servers in use until a time although a newer
// list lacks them: their entries expire during an outage of the store and are
// written again shortly after it. An earlier time than the current one has no effect.
func (viewer *Viewer) RetainMissingUntil(until time.Time) {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	if until.After(viewer.retainUntil) {
		viewer.retainUntil = until
	}
}

// ExpireRetained stops the use of the retained servers once the time given to
// RetainMissingUntil has passed, and returns them.
func (viewer *Viewer) ExpireRetained(now time.Time) []*BackendServer {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	if len(viewer.retained) == 0 || now.Before(viewer.retainUntil) {
		return nil
	}
	expired := viewer.retained
	viewer.retained = nil
	view := viewer.Current()
	viewer.publish(view.Configuration, view.Servers, view.Evacuations)
	return expired
}

// SetChangeHook sets a function that is called after each change of the view, with a lock
// held: it must not call the viewer back. It has to be set before the view changes.
func (viewer *Viewer) SetChangeHook(onChange func()) { viewer.onChange = onChange }

// publish replaces the current view. The mutex must be held.
func (viewer *Viewer) publish(configuration *Configuration, servers *Servers, evacuations *Evacuations) {
	viewer.current.Store(newView(configuration, servers, evacuations, unlisted{retained: viewer.retained, removed: viewer.removed, leaving: viewer.leaving}))
	viewer.onChange()
}

// retainedServers returns the active servers that the new list lacks, if now is
// before retainUntil. A server whose address another one has is not retained.
func (viewer *Viewer) retainedServers(before, after *Servers, now time.Time) []*BackendServer {
	if !now.Before(viewer.retainUntil) {
		return nil
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i := range after.List {
		names[after.List[i].Name] = true
		addresses[after.List[i].Address] = true
	}
	var retained []*BackendServer
	retain := func(server *BackendServer) {
		isActive := server.State == parser.Active && !viewer.leaving[server.incarnation()]
		if isActive && !names[server.Name] && !addresses[server.Address] {
			retained = append(retained, server)
			names[server.Name] = true
		}
	}
	for i := range before.List {
		retain(&before.List[i])
	}
	for _, server := range viewer.retained {
		retain(server)
	}
	return retained
}
