package steerer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/picker"
	"github.com/pimentowind/pimentowind/viewer"
)

// selectService returns the service of a route that gets a new flow, or "" if the route sends none
// to a service with active servers: admittedService if it is such a service, and otherwise the one that
// picker.Pick selects for the flow among them. Instances with the same view select the same one.
func selectService(key FlowKey, admittedService string, route *viewer.Route, view *viewer.View) string {
	if route.SendsTo(admittedService) && len(view.ActiveServers(admittedService)) > 0 {
		return admittedService
	}
	candidates := make([]picker.Candidate, len(route.Shares))
	for i, share := range route.Shares {
		if len(view.ActiveServers(share.Service)) > 0 {
			// The position tells several shares of one service from each other.
			candidates[i] = picker.Candidate{ID: picker.Hash(xxhash.Sum64String(share.Service), uint64(i)), Weight: share.Weight}
		}
	}
	followKey := newFollowKey(key)
	selected := picker.Pick(uint64(followKey.hash()), candidates)
	if selected == picker.None {
		return ""
	}
	return route.Shares[selected].Service
}

// mayGetFlows reports whether a server may get new flows of a route, which is nil if there is none.
func mayGetFlows(server *viewer.BackendServer, route *viewer.Route, view *viewer.View) bool {
	return route != nil && route.SendsTo(server.Service) && viewer.Contains(view.ActiveServers(server.Service), server)
}

// noServiceReason returns why selectService selects no service of a route.
func noServiceReason(route *viewer.Route, view *viewer.View) Reason {
	isEvacuated := func(share viewer.Share) bool { return share.Weight > 0 && view.IsEvacuated(share.Service) }
	isStandby := func(share viewer.Share) bool { return len(view.ActiveServers(share.Service)) > 0 }
	switch {
	case slices.ContainsFunc(route.Shares, isEvacuated):
		return ReasonEvacuated
	case slices.ContainsFunc(route.Shares, isStandby):
		return ReasonNoWeight
	default:
		return ReasonNoServer
	}
}
