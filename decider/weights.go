package decider

import (
	"math"

	"github.com/pimentowind/pimentowind/parser"
)

func policyWeight(state *serverPolicy, row parser.BackendServer) float64 {
	if state.learned > 0 {
		return state.learned
	}
	return row.Weight
}

// runWeights moves the weights towards the measured strengths, and warms up cold backend servers.
func (decider *Decider) runWeights(service *service) {
	policy := &service.policy
	if decider.now.Sub(policy.lastWeights) < WeightInterval || len(service.epochs) > 1 {
		return
	}
	policy.lastWeights = decider.now
	warmed := decider.warm(service)
	if (decider.missing() == 0 && service.learn()) || warmed {
		decider.propose(service, false)
	}
}

// warm raises the share of backend servers that answered while they were cold.
func (decider *Decider) warm(service *service) bool {
	changed := false
	for _, row := range service.spec.BackendServers {
		state := service.policy.server(serverID(service.name, row.Address))
		if state.ramp >= 1 || state.down {
			continue
		}
		state.ramp = min(1, state.ramp*rampFactor)
		if state.ramp == 1 {
			state.hold = firstHold
			decider.event(EventServerRestored, "service", service.name, "backend_server", row.Name)
		}
		changed = true
	}
	return changed
}

// learn moves the weights a step towards the strengths that the response times
// show, once one of them is far enough off.
func (service *service) learn() bool {
	targets := service.targets()
	due := false
	for _, row := range service.spec.BackendServers {
		target, ok := targets[row.Name]
		current := policyWeight(service.policy.server(serverID(service.name, row.Address)), row)
		due = due || (ok && math.Abs(target/current-1) > weightHysteresis)
	}
	if !due {
		return false
	}
	for _, row := range service.spec.BackendServers {
		if target, ok := targets[row.Name]; ok {
			state := service.policy.server(serverID(service.name, row.Address))
			current := policyWeight(state, row)
			state.learned = min(max(target, current/weightStep), current*weightStep)
			if math.Abs(state.learned/current-1) > staleChange {
				// What was measured under another load counts for less.
				state.measured = min(state.measured, staleMeasurements)
			}
		}
	}
	return true
}

// targets turns the smoothed response floors into weights with the sheet's total.
func (service *service) targets() map[string]float64 {
	targets := map[string]float64{}
	needed := 1
	if service.policy.inherited {
		needed = inheritedMeasurements
	}
	totalWeight, totalStrength := 0.0, 0.0
	for _, row := range service.spec.BackendServers {
		state := service.policy.server(serverID(service.name, row.Address))
		state.smooth()
		if row.State != parser.Active || state.measured < needed {
			continue
		}
		targets[row.Name] = 1 / state.floor
		totalWeight += row.Weight
		totalStrength += 1 / state.floor
	}
	for _, row := range service.spec.BackendServers {
		if strength, ok := targets[row.Name]; ok {
			target := strength * totalWeight / totalStrength
			targets[row.Name] = min(max(target, row.Weight/weightRange), row.Weight*weightRange)
		}
	}
	return targets
}

// smooth takes in the response batches once there are enough of them.
func (state *serverPolicy) smooth() {
	if state.batches < minBatches {
		return
	}
	measured := float64(state.batchSums) / float64(state.batches)
	state.batches, state.batchSums = 0, 0
	if measured <= 0 {
		return
	}
	state.measured++
	share := max(floorSmoothing, 1/float64(state.measured))
	state.floor += share * (measured - state.floor)
}

// Weights returns the weights in use of a service by backend server, for reports.
func (decider *Decider) Weights(name string) map[string]float64 {
	weights := map[string]float64{}
	service := decider.serviceNamed(name)
	if service.active == nil {
		return weights
	}
	for _, server := range service.active.Servers {
		weights[server.Name] = float64(server.Weight)
	}
	return weights
}
