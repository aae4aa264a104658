package decider

import (
	"math"

	"github.com/pimentowind/pimentowind/parser"
)

// currentWeight returns the measured weight of a backend server, or the sheet's if there is none.
func currentWeight(serverPolicy *serverPolicy, row parser.BackendServer) float64 {
	if serverPolicy.measuredWeight > 0 {
		return serverPolicy.measuredWeight
	}
	return row.Weight
}

// updateWeights moves the weights toward the measured speeds, and continues the slow start of
// backend servers.
func (decider *Decider) updateWeights(service *service) {
	policy := &service.policy
	if decider.now.Sub(policy.lastWeightUpdate) < WeightInterval || len(service.epochs) > 1 {
		return
	}
	policy.lastWeightUpdate = decider.now
	slowStarted := decider.advanceSlowStart(service)
	if (decider.unreachableListed() == 0 && service.adjustWeights()) || slowStarted {
		decider.propose(service, false)
	}
}

// advanceSlowStart raises the share of the weight of backend servers in slow start, and reports
// whether there are any.
func (decider *Decider) advanceSlowStart(service *service) bool {
	changed := false
	for _, row := range service.spec.BackendServers {
		serverPolicy := service.policy.server(serverID(service.name, row.Address))
		if serverPolicy.slowStart >= 1 || serverPolicy.ejected {
			continue
		}
		serverPolicy.slowStart = min(1, serverPolicy.slowStart*slowStartFactor)
		if serverPolicy.slowStart == 1 {
			serverPolicy.ejectionTime = baseEjectionTime
			decider.recordEvent(EventServerRestored, "service", service.name, "backend_server", row.Name)
		}
		changed = true
	}
	return changed
}

// adjustWeights moves the weights one step toward the speeds that the response times
// show, if at least one of them is off by more than weightHysteresis. It reports whether it
// moved them.
func (service *service) adjustWeights() bool {
	targets := service.targetWeights()
	due := false
	for _, row := range service.spec.BackendServers {
		target, ok := targets[row.Name]
		current := currentWeight(service.policy.server(serverID(service.name, row.Address)), row)
		due = due || (ok && math.Abs(target/current-1) > weightHysteresis)
	}
	if !due {
		return false
	}
	for _, row := range service.spec.BackendServers {
		if target, ok := targets[row.Name]; ok {
			serverPolicy := service.policy.server(serverID(service.name, row.Address))
			current := currentWeight(serverPolicy, row)
			serverPolicy.measuredWeight = min(max(target, current/maxWeightStep), current*maxWeightStep)
			if math.Abs(serverPolicy.measuredWeight/current-1) > decayThreshold {
				// Measurements under another load count for less.
				serverPolicy.measurements = min(serverPolicy.measurements, decayedMeasurements)
			}
		}
	}
	return true
}

// targetWeights returns, by name of the backend server, weights that are proportional to the
// measured speeds and have the same total as the sheet's, each then limited by maxWeightRatio.
// A backend server with too few measurements has none.
func (service *service) targetWeights() map[string]float64 {
	targets := map[string]float64{}
	needed := 1
	if service.policy.inherited {
		needed = minInheritedMeasurements
	}
	totalWeight, totalSpeed := 0.0, 0.0
	for _, row := range service.spec.BackendServers {
		serverPolicy := service.policy.server(serverID(service.name, row.Address))
		serverPolicy.applyBatches()
		if row.State != parser.Active || serverPolicy.measurements < needed {
			continue
		}
		targets[row.Name] = 1 / serverPolicy.smoothedResponse
		totalWeight += row.Weight
		totalSpeed += 1 / serverPolicy.smoothedResponse
	}
	for _, row := range service.spec.BackendServers {
		if speed, ok := targets[row.Name]; ok {
			target := speed * totalWeight / totalSpeed
			targets[row.Name] = min(max(target, row.Weight/maxWeightRatio), row.Weight*maxWeightRatio)
		}
	}
	return targets
}

// applyBatches adds the response batches to the moving average once there are enough of them.
func (serverPolicy *serverPolicy) applyBatches() {
	if serverPolicy.responseBatches < minResponseBatches {
		return
	}
	measurement := float64(serverPolicy.minResponseSum) / float64(serverPolicy.responseBatches)
	serverPolicy.responseBatches, serverPolicy.minResponseSum = 0, 0
	if measurement <= 0 {
		return
	}
	serverPolicy.measurements++
	share := max(minSmoothingFactor, 1/float64(serverPolicy.measurements))
	serverPolicy.smoothedResponse += share * (measurement - serverPolicy.smoothedResponse)
}

// Weights returns the weights in the active epoch of a service by name of the backend
// server, for reports.
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
