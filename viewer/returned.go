package viewer

import "github.com/pimentowind/pimentowind/parser"

// incarnation identifies one incarnation of a backend server.
type incarnation struct {
	name      string
	startedAt int64
}

func (backendServer *BackendServer) incarnation() incarnation {
	return incarnation{name: backendServer.Name, startedAt: backendServer.StartedAt}
}

// recallLeaving is called before a list replaces the current one. When the store has returned
// from an older copy, the list may call servers active that announced before that they leave;
// they get no new flows while the list says so. The mutex must be held.
func (viewer *Viewer) recallLeaving(before, after *Servers) {
	known := viewer.leaving
	if after.Era > before.Era {
		known = viewer.knownLeaving(before)
	}
	leaving := map[incarnation]bool{}
	for i := range after.List {
		server := &after.List[i]
		if server.State == parser.Active && known[server.incarnation()] {
			leaving[server.incarnation()] = true
		}
	}
	viewer.leaving = leaving
}

// knownLeaving returns the servers that have announced that they leave. The mutex must be held.
func (viewer *Viewer) knownLeaving(before *Servers) map[incarnation]bool {
	known := map[incarnation]bool{}
	for server := range viewer.leaving {
		known[server] = true
	}
	for i := range before.List {
		if server := &before.List[i]; server.State == parser.Leaving {
			known[server.incarnation()] = true
		}
	}
	for _, removed := range viewer.removed {
		if removed.Server.State == parser.Leaving {
			known[removed.Server.incarnation()] = true
		}
	}
	return known
}
