package viewer

import (
	"cmp"
	"slices"
)

// ServerDelta is the difference between two revisions of the list of backend servers.
type ServerDelta struct {
	Base     uint64          `cbor:"1,keyasint"`           // revision that the delta applies to, in BaseEra
	Revision uint64          `cbor:"2,keyasint"`           // revision that it results in, in Era
	Changed  []BackendServer `cbor:"3,keyasint,omitempty"` // added or changed
	Removed  []string        `cbor:"4,keyasint,omitempty"` // names

	Unreadable []string `cbor:"5,keyasint,omitempty"` // the removed servers whose entry exists but cannot be decoded

	BaseEra uint64 `cbor:"6,keyasint,omitempty"`
	Era     uint64 `cbor:"7,keyasint,omitempty"`
}

// NewServerDelta returns a delta without changes between two revisions.
func NewServerDelta(base, revision Revision) *ServerDelta {
	return &ServerDelta{Base: base.Number, BaseEra: base.Era, Revision: revision.Number, Era: revision.Era}
}

// BaseAt returns the revision that the delta applies to.
func (serverDelta *ServerDelta) BaseAt() Revision {
	return Revision{Era: serverDelta.BaseEra, Number: serverDelta.Base}
}

// At returns the revision that the delta results in.
func (serverDelta *ServerDelta) At() Revision {
	return Revision{Era: serverDelta.Era, Number: serverDelta.Revision}
}

// Len returns the number of servers that a delta changes or removes.
func (serverDelta *ServerDelta) Len() int {
	return len(serverDelta.Changed) + len(serverDelta.Removed)
}

// DiffServers returns the delta from one list to another.
func DiffServers(before, after *Servers) *ServerDelta {
	delta := NewServerDelta(before.At(), after.At())
	remaining := serversByName(before)
	for i := range after.List {
		server := &after.List[i]
		previous := remaining[server.Name]
		delete(remaining, server.Name)
		if previous == nil || !previous.equal(server) {
			delta.Changed = append(delta.Changed, *server)
		}
	}
	for name := range remaining {
		delta.Removed = append(delta.Removed, name)
	}
	slices.Sort(delta.Removed)
	for _, name := range delta.Removed {
		if slices.Contains(after.Unreadable, name) {
			delta.Unreadable = append(delta.Unreadable, name)
		}
	}
	return delta
}

// Apply returns the list that results from a delta, or nil when the delta starts from another revision.
func (servers *Servers) Apply(delta *ServerDelta) *Servers {
	if servers.At() != delta.BaseAt() {
		return nil
	}
	if delta.Len() == 0 {
		return servers.ConfirmedAt(delta.At())
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
	unreadable := slices.DeleteFunc(slices.Clone(servers.Unreadable), func(name string) bool { return replaced[name] })
	return &Servers{Revision: delta.Revision, Era: delta.Era, List: list, Unreadable: append(unreadable, delta.Unreadable...)}
}

// ComposeDeltas returns the delta that has the effect of consecutive deltas, or nil if there
// are none or the result would have more than limit servers.
func ComposeDeltas(deltas []*ServerDelta, limit int) *ServerDelta {
	if len(deltas) == 0 {
		return nil
	}
	composed := NewServerDelta(deltas[0].BaseAt(), deltas[len(deltas)-1].At())
	decided := map[string]bool{} // names of servers of which a later delta holds the state
	for _, delta := range slices.Backward(deltas) {
		for i := range delta.Changed {
			if name := delta.Changed[i].Name; !decided[name] {
				decided[name] = true
				composed.Changed = append(composed.Changed, delta.Changed[i])
			}
		}
		for _, name := range delta.Removed {
			if !decided[name] {
				decided[name] = true
				composed.Removed = append(composed.Removed, name)
				if slices.Contains(delta.Unreadable, name) {
					composed.Unreadable = append(composed.Unreadable, name)
				}
			}
		}
		if composed.Len() > limit {
			return nil
		}
	}
	return composed
}

// equal compares all fields but ColdUntil, which is computed anew at every read of the store;
// a later warm-up has another ColdSince.
func (backendServer *BackendServer) equal(other *BackendServer) bool {
	one, two := *backendServer, *other
	one.ColdUntil, two.ColdUntil = Deadline{}, Deadline{}
	return one == two
}

// serversByName indexes a list, which may be nil.
func serversByName(servers *Servers) map[string]*BackendServer {
	byName := map[string]*BackendServer{}
	if servers == nil {
		return byName
	}
	for i := range servers.List {
		byName[servers.List[i].Name] = &servers.List[i]
	}
	return byName
}
