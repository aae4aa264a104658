package viewer

// Change is the difference of one backend server between two lists.
type Change struct {
	Name    string
	Service string
	State   string // "active", "leaving", "gone"
}

// gone is the state of a server that is not listed any more.
const gone = "gone"

// Changes returns what differs between two lists; before may be nil.
func Changes(before, after *Servers) []Change {
	known := byName(before)
	var changes []Change
	for i := range after.List {
		server := &after.List[i]
		old := known[server.Name]
		delete(known, server.Name)
		if old == nil || !old.Same(server) || old.State != server.State {
			changes = append(changes, Change{Name: server.Name, Service: server.Service, State: string(server.State)})
		}
	}
	for _, server := range known {
		changes = append(changes, Change{Name: server.Name, Service: server.Service, State: gone})
	}
	return changes
}
