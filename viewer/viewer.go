package viewer

import (
	"sync"
	"sync/atomic"
	"time"
)

// flowLifetime is how long a server that is gone stays known for the sake of
// its open flows; the users' bound on the age of a flow is a minute.
const flowLifetime = time.Minute

// Viewer holds the newest view.
type Viewer struct {
	mutex   sync.Mutex
	current atomic.Pointer[View]
	gone    []goneServer
}

type goneServer struct {
	server *BackendServer
	since  time.Time
}

// NewViewer returns a Viewer that knows nothing.
func NewViewer() *Viewer {
	viewer := &Viewer{}
	viewer.current.Store(newView(nil, nil, nil))
	return viewer
}

// Current returns the newest view.
func (viewer *Viewer) Current() *View { return viewer.current.Load() }

// TakeConfiguration takes a configuration unless a newer version is known, and reports whether it did.
func (viewer *Viewer) TakeConfiguration(configuration *Configuration) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Configuration != nil && view.Configuration.Version >= configuration.Version {
		return false
	}
	viewer.current.Store(newView(configuration, view.Servers, viewer.remembered()))
	return true
}

// TakeServers takes a list of servers unless a newer revision is known, and reports whether it did.
func (viewer *Viewer) TakeServers(servers *Servers, now time.Time) bool {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	if view.Servers != nil && view.Servers.Revision >= servers.Revision {
		return false
	}
	if view.Servers != nil {
		viewer.remember(view.Servers, servers, now)
	}
	viewer.current.Store(newView(view.Configuration, servers, viewer.remembered()))
	return true
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

func (viewer *Viewer) remembered() []*BackendServer {
	servers := make([]*BackendServer, len(viewer.gone))
	for i, gone := range viewer.gone {
		servers[i] = gone.server
	}
	return servers
}
