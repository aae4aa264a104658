package viewer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/parser"
)

// flowLifetime is how long a server that is gone stays known for the sake of
// its open flows; the users' bound on the age of a flow is a minute.
const flowLifetime = time.Minute

// Viewer holds the newest view.
type Viewer struct {
	mutex   sync.Mutex
	current atomic.Pointer[View]
	gone    []goneServer
	missing []*BackendServer // used although the newest list lacks them
	until   time.Time        // how long missing servers are used
}

type goneServer struct {
	server *BackendServer
	since  time.Time
}

// NewViewer returns a Viewer that knows nothing.
func NewViewer() *Viewer {
	viewer := &Viewer{}
	viewer.current.Store(newView(nil, nil, nil, nil))
	return viewer
}

// Current returns the newest view.
func (viewer *Viewer) Current() *View { return viewer.current.Load() }

// ApplyConfiguration takes a configuration unless a newer version is known, and reports whether it did.
func (viewer *Viewer) ApplyConfiguration(configuration *Configuration) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Configuration != nil && view.Configuration.Version >= configuration.Version {
		return false
	}
	viewer.store(configuration, view.Servers)
	return true
}

// ApplyServers takes a list of servers unless a newer revision is known, and reports whether it did.
func (viewer *Viewer) ApplyServers(servers *Servers, now time.Time) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Servers != nil && view.Servers.Revision >= servers.Revision {
		return false
	}
	if view.Servers != nil {
		viewer.remember(view.Servers, servers, now)
		viewer.missing = viewer.stillUsed(view.Servers, servers, now)
	}
	viewer.store(view.Configuration, servers)
	return true
}

// RetainMissingUntil has servers that were active used until a time although a newer
// list lacks them: entries lapse while the store is away and come back a
// little after it.
func (viewer *Viewer) RetainMissingUntil(until time.Time) {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	if until.After(viewer.until) {
		viewer.until = until
	}
}

// ExpireRetained stops the use of missing servers whose time is over, and returns them.
func (viewer *Viewer) ExpireRetained(now time.Time) []*BackendServer {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	if len(viewer.missing) == 0 || now.Before(viewer.until) {
		return nil
	}
	expired := viewer.missing
	viewer.missing = nil
	view := viewer.Current()
	viewer.store(view.Configuration, view.Servers)
	return expired
}

// store replaces the current view; the mutex is held.
func (viewer *Viewer) store(configuration *Configuration, servers *Servers) {
	gone := make([]*BackendServer, len(viewer.gone))
	for i := range viewer.gone {
		gone[i] = viewer.gone[i].server
	}
	viewer.current.Store(newView(configuration, servers, viewer.missing, gone))
}

// stillUsed returns the active servers that the new list lacks, if that is tolerated now.
func (viewer *Viewer) stillUsed(before, after *Servers, now time.Time) []*BackendServer {
	if !now.Before(viewer.until) {
		return nil
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i := range after.List {
		names[after.List[i].Name] = true
		addresses[after.List[i].Address] = true
	}
	var used []*BackendServer
	keep := func(server *BackendServer) {
		if server.State == parser.Active && !names[server.Name] && !addresses[server.Address] {
			used = append(used, server)
			names[server.Name] = true
		}
	}
	for i := range before.List {
		keep(&before.List[i])
	}
	for _, server := range viewer.missing {
		keep(server)
	}
	return used
}

// remember keeps the servers that the new list lacks and forgets those that have been gone for long.
func (viewer *Viewer) remember(before, after *Servers, now time.Time) {
	kept := viewer.gone[:0]
	for _, gone := range viewer.gone {
		if now.Sub(gone.since) < flowLifetime {
			kept = append(kept, gone)
		}
	}
	viewer.gone = kept
	present := map[string]bool{}
	for i := range after.List {
		present[after.List[i].Name] = true
	}
	for i := range before.List {
		if server := &before.List[i]; !present[server.Name] {
			viewer.gone = append(viewer.gone, goneServer{server: server, since: now})
		}
	}
}
