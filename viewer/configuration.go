package viewer

import (
	"net/netip"
	"slices"
	"time"
)

// Configuration is one version of the operator's routes.
type Configuration struct {
	Version     uint64
	Routes      []Route
	Services    []Service     // sorted by Name
	IdleTimeout time.Duration // after this time without packets a flow may be dropped; instances only pass the value on
}

// Route is an address that callers connect to, with the services among which its new flows are divided.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share

	Priority     int           // of its requests; lower numbers are more urgent
	IsRepeatable bool          // a request that may have run may be repeated
	Objective    time.Duration // within which callers need the response; 0 if not stated
	Timeout      time.Duration // after which callers give up; 0 if not stated
}

// SendsTo reports whether new flows of the route may go to a service: it has a share with weight.
func (route *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Share is a service's part of a route's new flows, in proportion to Weight. A service of weight 0
// gets none, whatever becomes of the others.
type Share struct {
	Service string
	Weight  float64
}
