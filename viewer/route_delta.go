package viewer

import (
	"net/netip"
	"slices"
	"time"
)

// RouteDelta is the difference between two versions of the configuration.
type RouteDelta struct {
	Base        uint64           `cbor:"1,keyasint"`           // version that the delta applies to
	Version     uint64           `cbor:"2,keyasint"`           // version that it results in
	IdleTimeout time.Duration    `cbor:"3,keyasint"`           // of the newer version
	Changed     []Route          `cbor:"4,keyasint,omitempty"` // added or changed
	Removed     []netip.AddrPort `cbor:"5,keyasint,omitempty"` // addresses of routes that the newer version lacks
	Services    *[]Service       `cbor:"6,keyasint,omitempty"` // of the newer version; nil if they are the same
}

// Len returns the number of routes that a delta changes or removes.
func (routeDelta *RouteDelta) Len() int { return len(routeDelta.Changed) + len(routeDelta.Removed) }

// DiffRoutes returns the delta from one configuration to another, or nil when
// either has two routes with the same address.
func DiffRoutes(before, after *Configuration) *RouteDelta {
	beforeRoutes, beforeUnique := before.routesByAddress()
	afterRoutes, afterUnique := after.routesByAddress()
	if !beforeUnique || !afterUnique {
		return nil
	}
	delta := &RouteDelta{Base: before.Version, Version: after.Version, IdleTimeout: after.IdleTimeout}
	for i := range after.Routes {
		route := &after.Routes[i]
		if previous := beforeRoutes[route.Address]; previous == nil || !previous.equal(route) {
			delta.Changed = append(delta.Changed, *route)
		}
	}
	for i := range before.Routes {
		if address := before.Routes[i].Address; afterRoutes[address] == nil {
			delta.Removed = append(delta.Removed, address)
		}
	}
	if !slices.Equal(before.Services, after.Services) {
		services := append([]Service{}, after.Services...) // nil would be decoded as no change
		delta.Services = &services
	}
	return delta
}

// Apply returns the configuration that results from a delta, or nil when the
// delta starts from another version. The order of its routes can differ.
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
	unchanged := slices.DeleteFunc(slices.Clone(configuration.Routes), func(route Route) bool { return replaced[route.Address] })
	services := configuration.Services
	if delta.Services != nil {
		services = *delta.Services
	}
	return &Configuration{Version: delta.Version, IdleTimeout: delta.IdleTimeout, Routes: append(unchanged, delta.Changed...), Services: services}
}

// equal compares all fields but the address.
func (route *Route) equal(other *Route) bool {
	return route.Name == other.Name && slices.Equal(route.Shares, other.Shares) &&
		route.Priority == other.Priority && route.IsRepeatable == other.IsRepeatable &&
		route.Objective == other.Objective && route.Timeout == other.Timeout
}

// routesByAddress indexes the routes and reports whether their addresses are unique.
func (configuration *Configuration) routesByAddress() (map[netip.AddrPort]*Route, bool) {
	routes := make(map[netip.AddrPort]*Route, len(configuration.Routes))
	for i := range configuration.Routes {
		routes[configuration.Routes[i].Address] = &configuration.Routes[i]
	}
	return routes, len(routes) == len(configuration.Routes)
}
