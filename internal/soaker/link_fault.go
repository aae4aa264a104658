package soaker

import (
	"net/netip"
	"time"
)

// partitionInstance drops the heartbeats and view requests from the other instances to
// the target, the heartbeats from the target to the others, or both.
func partitionInstance(soak *soak, parameters faultParameters) {
	target := soak.target(parameters)
	if parameters.choice%3 != 0 {
		target.heartbeatLink.setMode(linkDrop, nil)
		target.viewProxy.setMode(proxyDrop)
	}
	if parameters.choice%3 != 1 {
		soak.setLinkMode(linkDrop, map[netip.Addr]bool{target.address: true}, func(instance *instance) bool { return instance != target })
	}
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// partitionFailureDomain drops the heartbeats between one failure domain and the others.
func partitionFailureDomain(soak *soak, parameters faultParameters) {
	domain := soak.target(parameters).failureDomain
	inside, outside := map[netip.Addr]bool{}, map[netip.Addr]bool{}
	for _, instance := range soak.instances {
		inside[instance.address] = instance.failureDomain == domain
		outside[instance.address] = instance.failureDomain != domain
	}
	soak.setLinkMode(linkDrop, outside, func(instance *instance) bool { return instance.failureDomain == domain })
	soak.setLinkMode(linkDrop, inside, func(instance *instance) bool { return instance.failureDomain != domain })
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// disturbHeartbeats drops all or half of the datagrams between instances, delays them
// or duplicates them.
func disturbHeartbeats(soak *soak, parameters faultParameters) {
	mode := []linkMode{linkDrop, linkDelay, linkDropHalf, linkDuplicate}[parameters.choice%4]
	soak.setLinkMode(mode, nil, func(*instance) bool { return true })
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// setLinkMode sets the mode of the links to the instances that matches selects, for
// datagrams from senders, or from all if senders is nil.
func (soak *soak) setLinkMode(mode linkMode, senders map[netip.Addr]bool, matches func(*instance) bool) {
	for _, instance := range soak.instances {
		if matches(instance) {
			instance.heartbeatLink.setMode(mode, senders)
		}
	}
}

// restoreConnections ends all disturbances between instances, including those of
// overlapping faults.
func (soak *soak) restoreConnections() {
	for _, instance := range soak.instances {
		instance.heartbeatLink.setMode(linkPass, nil)
		instance.viewProxy.setMode(proxyPass)
	}
}
