package experimenter

import (
	"fmt"

	"github.com/pimentowind/pimentowind/decider"
)

// trace keeps what every instance says of a flow that reached a wrong backend server.
func (world *World) trace(flow *flow, at *backend) {
	if world.traces == 0 || flow.server == nil {
		return
	}
	world.traces--
	line := fmt.Sprintf("%v: flow %v of %s went to %s", world.now, flow.tuple, flow.server.row.Name, at.row.Name)
	for _, instance := range world.instances {
		if product, ok := instance.node.(*decider.Decider); ok {
			line += fmt.Sprintf("\n  %s alive %t: %+v", instance.Name, instance.alive, product.Explain(flow.tuple))
		}
	}
	world.result.Traces = append(world.result.Traces, line)
}
