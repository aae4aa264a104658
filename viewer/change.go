package viewer

// ServerChange is the difference of one backend server between two lists.
type ServerChange struct {
	Name    string
	Service string
	State   string // "active", "leaving", "gone"
}

// gone is the state of a server that is not listed any more.
const gone = "gone"

// ServerChanges returns what differs between two lists; before may be nil.
func ServerChanges(before, after *Servers) []ServerChange {
	known := byName(before)
	var changes []ServerChange
	for i := range after.List {
		server := &after.List[i]
		old := known[server.Name]
		delete(known, server.Name)
		if old == nil || !old.SameIncarnation(server) || old.State != server.State {
			changes = append(changes, ServerChange{Name: server.Name, Service: server.Service, State: string(server.State)})
		}
	}
	for _, server := range known {
		changes = append(changes, ServerChange{Name: server.Name, Service: server.Service, State: gone})
	}
	return changes
}
