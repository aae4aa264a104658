package experimenter

import (
	"fmt"

	"github.com/pimentowind/pimentowind/decider"
)

// trace keeps what every instance says of a flow that reached a wrong backend server.
func (simulation *Simulation) trace(flow *flow, at *backend) {
	if simulation.traces == 0 || flow.server == nil {
		return
	}
	simulation.traces--
	line := fmt.Sprintf("%v: flow %v of %s went to %s", simulation.now, flow.tuple, flow.server.row.Name, at.row.Name)
	for _, instance := range simulation.instances {
		if product, ok := instance.node.(*decider.Decider); ok {
			line += fmt.Sprintf("\n  %s alive %t: %+v", instance.Name, instance.alive, product.Explain(flow.tuple))
		}
	}
	simulation.result.Traces = append(simulation.result.Traces, line)
}
