package decider

import (
	"github.com/pimentowind/pimentowind/parser"
)

// allDown reports whether no backend server answers, which speaks of the way to
// them or of silent callers rather than of the servers; then none is left out.
func (policy *policy) allDown(service *service) bool {
	for _, row := range service.spec.BackendServers {
		if row.State == parser.Active && !policy.server(serverID(service.name, row.Address)).down {
			return false
		}
	}
	return true
}

// runHealth marks backend servers down that answer no opening, and tries them again later.
func (decider *Decider) runHealth(service *service) {
	policy := &service.policy
	if decider.now.Sub(policy.lastHealth) < 2*ReportInterval {
		return
	}
	policy.lastHealth = decider.now
	changed := false
	for _, row := range service.spec.BackendServers {
		state := policy.server(serverID(service.name, row.Address))
		if row.State == parser.Active && decider.judge(service, row, state) {
			changed = true
		}
		state.openings, state.accepted, state.shed, state.returned = 0, 0, 0, 0
	}
	if changed {
		decider.propose(service, true)
	}
}

// judge moves one backend server between up, down and tried again; it reports a change.
func (decider *Decider) judge(service *service, row parser.BackendServer, state *serverPolicy) bool {
	silent := state.openings >= minDownOpenings && state.accepted+state.shed == 0 && state.returned == 0
	switch {
	case !state.down && silent:
		state.down = true
		state.downUntil = decider.now.Add(state.hold)
		state.hold = min(2*state.hold, maxHold)
		decider.event(EventServerEjected, "service", service.name, "backend_server", row.Name)
		return true
	case state.down && !decider.now.Before(state.downUntil):
		state.down = false
		state.ramp = probeShare
		decider.event(EventServerProbed, "service", service.name, "backend_server", row.Name)
		return true
	case state.openings > 0 && float64(state.shed) > shedShare*float64(state.openings):
		current := policyWeight(state, row)
		state.learned = max(current/weightStep, row.Weight/weightRange)
		return state.learned < current
	}
	return false
}
