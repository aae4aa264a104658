package main

import "slices"

// checkOpening is called when a server takes an opening.
func (deployment *deployment) checkOpening(server *server, key flowKey) {
	deployment.mutex.Lock()
	allowed, known := deployment.allowed[key.route.String()]
	deployment.mutex.Unlock()
	if known && !slices.Contains(allowed, server.service) {
		deployment.recorder.note("server %s of service %s takes the opening of %s, which no configuration sends there", server.name, server.service, key)
	}
}

// ran is called when a server begins to work on a request.
func (deployment *deployment) ran(server *server, key flowKey, id string) {
	deployment.mutex.Lock()
	allowed, known := deployment.allowed[key.route.String()]
	before, again := deployment.ranAt[id]
	deployment.ranAt[id] = server.name
	deployment.mutex.Unlock()
	deployment.recorder.note("request %s of %s runs at %s of service %s", id, key, server.name, server.service)
	if again {
		deployment.recorder.breaks("request %s ran at %s and at %s", id, before, server.name)
	}
	if known && !slices.Contains(allowed, server.service) {
		deployment.recorder.breaks("ROUTE: request %s of %s ran at %s of service %s, to which no configuration sends it", id, key, server.name, server.service)
	}
}

// checkReset is called when a caller gets a reset on a flow that it has opened: neither the system nor a
// server that does not hold the flow may send one while the flow's server lives undisturbed.
func (deployment *deployment) checkReset(flow *callerFlow, received packet, what string) {
	var holder *server
	deployment.mutex.Lock()
	servers := make([]*server, 0, len(deployment.servers))
	for _, server := range deployment.servers {
		servers = append(servers, server)
	}
	deployment.mutex.Unlock()
	for _, server := range servers {
		if server.holds(flow.key, deployment.bounds.stable) {
			holder = server
		}
	}
	if holder != nil {
		deployment.recorder.breaks("FLOW: flow %s (%s) was reset, sum %d, while server %s has it open, without a disruption in the last %s", flow.key, what, received.sum, holder.name, deployment.bounds.stable)
		return
	}
	deployment.recorder.note("flow %s (%s) was reset, sum %d", flow.key, what, received.sum)
}
