package decider

import (
	"github.com/pimentowind/pimentowind/parser"
)

// allEjected reports whether all active backend servers are ejected. That points to the
// network or to unresponsive callers rather than to the servers, so then all keep their weight.
func (policy *policy) allEjected(service *service) bool {
	for _, row := range service.spec.BackendServers {
		if row.State == parser.Active && !policy.server(serverID(service.name, row.Address)).ejected {
			return false
		}
	}
	return true
}

// updateHealth ejects backend servers that answer no opening, and probes them later.
func (decider *Decider) updateHealth(service *service) {
	policy := &service.policy
	if decider.now.Sub(policy.lastHealthUpdate) < 2*ReportInterval {
		return
	}
	policy.lastHealthUpdate = decider.now
	changed := false
	for _, row := range service.spec.BackendServers {
		serverPolicy := policy.server(serverID(service.name, row.Address))
		if row.State == parser.Active && decider.updateServerHealth(service, row, serverPolicy) {
			changed = true
		}
		serverPolicy.openings, serverPolicy.accepted, serverPolicy.shed, serverPolicy.returned = 0, 0, 0, 0
	}
	if changed {
		decider.propose(service, true)
	}
}

// updateServerHealth ejects a backend server, probes it with new flows at slowStartShare of its
// weight, or lowers its weight if it sheds too many openings. It reports whether the weight
// changes.
func (decider *Decider) updateServerHealth(service *service, row parser.BackendServer, serverPolicy *serverPolicy) bool {
	unresponsive := serverPolicy.openings >= minEjectionOpenings && serverPolicy.accepted+serverPolicy.shed == 0 && serverPolicy.returned == 0
	switch {
	case !serverPolicy.ejected && unresponsive:
		serverPolicy.ejected = true
		serverPolicy.ejectedUntil = decider.now.Add(serverPolicy.ejectionTime)
		serverPolicy.ejectionTime = min(2*serverPolicy.ejectionTime, maxEjectionTime)
		decider.recordEvent(EventServerEjected, "service", service.name, "backend_server", row.Name)
		return true
	case serverPolicy.ejected && !decider.now.Before(serverPolicy.ejectedUntil):
		serverPolicy.ejected = false
		serverPolicy.slowStart = slowStartShare
		decider.recordEvent(EventServerProbed, "service", service.name, "backend_server", row.Name)
		return true
	case serverPolicy.openings > 0 && float64(serverPolicy.shed) > shedThreshold*float64(serverPolicy.openings):
		current := currentWeight(serverPolicy, row)
		serverPolicy.measuredWeight = max(current/maxWeightStep, row.Weight/maxWeightRatio)
		return serverPolicy.measuredWeight < current
	}
	return false
}
