package experimenter

import (
	"fmt"

	"github.com/pimentowind/pimentowind/decider"
)

// recordTrace records what every instance knows of a flow whose packet was lost or reached the
// wrong backend server.
func (simulation *Simulation) recordTrace(flow *flow, backend *backend) {
	if simulation.tracesLeft == 0 || flow.server == nil {
		return
	}
	simulation.tracesLeft--
	line := fmt.Sprintf("%v: flow %v of %s went to %s", simulation.now, flow.tuple, flow.server.row.Name, backend.row.Name)
	for _, instance := range simulation.instances {
		if product, ok := instance.balancer.(*decider.Decider); ok {
			line += fmt.Sprintf("\n  %s alive %t: %+v", instance.Name, instance.alive, product.Explain(flow.tuple))
		}
	}
	simulation.result.Traces = append(simulation.result.Traces, line)
}
