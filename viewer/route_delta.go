package viewer

import (
	"net/netip"
	"slices"
	"time"
)

// RouteDelta is what changed between two versions of the configuration.
type RouteDelta struct {
	Base        uint64           `cbor:"1,keyasint"`
	Version     uint64           `cbor:"2,keyasint"`
	IdleTimeout time.Duration    `cbor:"3,keyasint"` // of the newer version
	Changed     []Route          `cbor:"4,keyasint,omitempty"`
	Removed        []netip.AddrPort `cbor:"5,keyasint,omitempty"` // addresses of routes that the newer version lacks
}

// Len returns the number of routes that a delta names.
func (routeDelta *RouteDelta) Len() int { return len(routeDelta.Changed) + len(routeDelta.Removed) }

// DiffRoutes returns the delta that leads from one configuration to another,
// or nil when an address stands twice in one of them.
func DiffRoutes(before, after *Configuration) *RouteDelta {
	known, unique := before.byAddress()
	wanted, stillUnique := after.byAddress()
	if !unique || !stillUnique {
		return nil
	}
	delta := &RouteDelta{Base: before.Version, Version: after.Version, IdleTimeout: after.IdleTimeout}
	for i := range after.Routes {
		route := &after.Routes[i]
		if old := known[route.Address]; old == nil || !old.equal(route) {
			delta.Changed = append(delta.Changed, *route)
		}
	}
	for i := range before.Routes {
		if address := before.Routes[i].Address; wanted[address] == nil {
			delta.Removed = append(delta.Removed, address)
		}
	}
	return delta
}

// Apply returns the configuration that a delta leads to, or nil when it starts from another version.
func (configuration *Configuration) Apply(delta *RouteDelta) *Configuration {
	if configuration.Version != delta.Base {
		return nil
	}
	replaced := map[netip.AddrPort]bool{}
	for i := range delta.Changed {
		replaced[delta.Changed[i].Address] = true
	}
	for _, address := range delta.Removed {
		replaced[address] = true
	}
	kept := slices.DeleteFunc(slices.Clone(configuration.Routes), func(route Route) bool { return replaced[route.Address] })
	return &Configuration{Version: delta.Version, IdleTimeout: delta.IdleTimeout, Routes: append(kept, delta.Changed...)}
}

func (route *Route) equal(other *Route) bool {
	return route.Name == other.Name && slices.Equal(route.Shares, other.Shares)
}

// byAddress returns the routes by address, and whether each address stands once.
func (configuration *Configuration) byAddress() (map[netip.AddrPort]*Route, bool) {
	routes := make(map[netip.AddrPort]*Route, len(configuration.Routes))
	for i := range configuration.Routes {
		routes[configuration.Routes[i].Address] = &configuration.Routes[i]
	}
	return routes, len(routes) == len(configuration.Routes)
}
