package viewer

// ServerChange says that a backend server was added, removed, restarted or
// changed its state between two lists.
type ServerChange struct {
	Name    string
	Service string
	State   string // the new state: "active", "leaving", "gone"
}

// stateGone is the state of a server that is no longer listed.
const stateGone = "gone"

// ServerChanges returns the changes from one list to another; before may be nil.
func ServerChanges(before, after *Servers) []ServerChange {
	remaining := serversByName(before)
	var changes []ServerChange
	for i := range after.List {
		server := &after.List[i]
		previous := remaining[server.Name]
		delete(remaining, server.Name)
		if previous == nil || !previous.SameIncarnation(server) || previous.State != server.State {
			changes = append(changes, ServerChange{Name: server.Name, Service: server.Service, State: string(server.State)})
		}
	}
	for _, server := range remaining {
		changes = append(changes, ServerChange{Name: server.Name, Service: server.Service, State: stateGone})
	}
	return changes
}
