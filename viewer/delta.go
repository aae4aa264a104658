package viewer

import (
	"cmp"
	"slices"
	"time"
)

// ServerDelta is what changed between two revisions of the list of servers.
type ServerDelta struct {
	Base     uint64          `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Changed  []BackendServer `cbor:"3,keyasint,omitempty"`
	Removed     []string        `cbor:"4,keyasint,omitempty"`
}

// Len returns the number of servers that a delta names.
func (serverDelta *ServerDelta) Len() int { return len(serverDelta.Changed) + len(serverDelta.Removed) }

// DiffServers returns the delta that leads from one list to another.
func DiffServers(before, after *Servers) *ServerDelta {
	delta := &ServerDelta{Base: before.Revision, Revision: after.Revision}
	known := byName(before)
	for i := range after.List {
		server := &after.List[i]
		old := known[server.Name]
		delete(known, server.Name)
		if old == nil || !old.equal(server) {
			delta.Changed = append(delta.Changed, *server)
		}
	}
	for name := range known {
		delta.Removed = append(delta.Removed, name)
	}
	slices.Sort(delta.Removed)
	return delta
}

// Apply returns the list that a delta leads to, or nil when it starts from another revision.
func (servers *Servers) Apply(delta *ServerDelta) *Servers {
	if servers.Revision != delta.Base {
		return nil
	}
	if delta.Len() == 0 {
		return &Servers{Revision: delta.Revision, List: servers.List}
	}
	replaced := map[string]bool{}
	for i := range delta.Changed {
		replaced[delta.Changed[i].Name] = true
	}
	for _, name := range delta.Removed {
		replaced[name] = true
	}
	list := slices.DeleteFunc(slices.Clone(servers.List), func(server BackendServer) bool { return replaced[server.Name] })
	list = append(list, delta.Changed...)
	slices.SortFunc(list, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return &Servers{Revision: delta.Revision, List: list}
}

// Compose returns the delta that leads where two consecutive ones lead.
func (serverDelta *ServerDelta) Compose(next *ServerDelta) *ServerDelta {
	joined := &ServerDelta{Base: serverDelta.Base, Revision: next.Revision, Changed: next.Changed, Removed: next.Removed}
	later := map[string]bool{}
	for i := range next.Changed {
		later[next.Changed[i].Name] = true
	}
	for _, name := range next.Removed {
		later[name] = true
	}
	for i := range serverDelta.Changed {
		if !later[serverDelta.Changed[i].Name] {
			joined.Changed = append(joined.Changed[:len(joined.Changed):len(joined.Changed)], serverDelta.Changed[i])
		}
	}
	for _, name := range serverDelta.Removed {
		if !later[name] {
			joined.Removed = append(joined.Removed[:len(joined.Removed):len(joined.Removed)], name)
		}
	}
	return joined
}

// equal reports whether two entries say the same, but for how long the server stays cold.
func (backendServer *BackendServer) equal(other *BackendServer) bool {
	one, two := *backendServer, *other
	one.ColdUntil, two.ColdUntil = time.Time{}, time.Time{}
	return one == two
}

func byName(servers *Servers) map[string]*BackendServer {
	known := map[string]*BackendServer{}
	if servers == nil {
		return known
	}
	for i := range servers.List {
		known[servers.List[i].Name] = &servers.List[i]
	}
	return known
}
