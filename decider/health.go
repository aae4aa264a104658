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

// readmitServers gives backend servers that were ejected while a failure domain was unreachable
// the weights that all instances last agreed on, without a slow start: the servers of the
// domain that is back were cut off rather than down, and those here were so for its instances.
// One that is down is ejected again.
func (decider *Decider) readmitServers(domain string) {
	for _, service := range decider.sortedServices {
		if service.listed && decider.owns(service) && decider.readmitServersOf(service, domain) {
			decider.propose(service, true)
		}
	}
}

// readmitServersOf reports whether a weight changes, in the policy or against the newest epoch,
// which may come from the other side of the partition.
func (decider *Decider) readmitServersOf(service *service, domain string) bool {
	newest := service.newestEpoch()
	if service.lastAgreed == nil || newest == nil {
		return false
	}
	if !service.policy.owned {
		decider.takeOwnership(service)
	}
	changed := false
	for _, row := range service.spec.BackendServers {
		if row.FailureDomain != domain && row.FailureDomain != decider.config.Self.FailureDomain {
			continue
		}
		id := serverID(service.name, row.Address)
		lowest := readmittedShare * float64(service.lastAgreed.weight(id))
		if row.State == parser.Active && service.policy.nextWeight(service, row) < lowest {
			service.policy.server(id).readmit(service.lastAgreed.weight(id))
			decider.recordEvent(EventServerRestored, "service", service.name, "backend_server", row.Name)
			changed = true
		}
		changed = changed || float64(newest.weight(id)) < lowest
	}
	return changed
}

// readmit ends an ejection or slow start, and sets the weight.
func (serverPolicy *serverPolicy) readmit(weight float32) {
	serverPolicy.ejected, serverPolicy.slowStart, serverPolicy.ejectionTime = false, 1, baseEjectionTime
	serverPolicy.measuredWeight = float64(weight)
}
