package placer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// maxResponseTimeRatio caps a server's average response time relative to its service's.
	maxResponseTimeRatio = 4.0
	// minResponseTimeRatio is the smallest ratio that is credited to a server; the
	// fastest servers are about 1.6 times as fast as the average. A server with a
	// smaller ratio may be failing its requests immediately.
	minResponseTimeRatio = 0.3
)

// expectedCost estimates how long a request takes at a server, in multiples of the
// service's average response time. It assumes that each instance that may send flows to the server
// has as many requests there as this one. Of this instance's flows, one between two requests counts
// as much as such a flow is active on average.
func (placer *Placer) expectedCost(candidate *viewer.BackendServer, now time.Time) float64 {
	state := placer.stateOf(candidate, now)
	cost := placer.responseTimeRatio(candidate, state)
	pausing := float64(max(state.openFlows-state.outstanding, 0))
	load := float64(state.outstanding) + pausing*placer.service(candidate.Service, now).activity
	cost *= 1 + load*float64(placer.loadFactor(candidate, now))/float64(max(candidate.Slots, 1))
	return cost
}

// responseTimeRatio returns the server's average response time divided by its
// service's, or 1 if either is unknown or the ratio is below minResponseTimeRatio.
func (placer *Placer) responseTimeRatio(candidate *viewer.BackendServer, state *serverState) float64 {
	service := placer.services[candidate.Service]
	if service == nil || service.responseTime.value == 0 || state.responseTime.value == 0 {
		return 1
	}
	ratio := state.responseTime.value / service.responseTime.value
	if ratio < minResponseTimeRatio {
		return 1
	}
	return min(ratio, maxResponseTimeRatio)
}
