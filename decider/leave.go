package decider

import (
	"time"
)

// Leave starts a planned stop: this instance is no longer a home, and reports its flows to
// their new homes.
func (decider *Decider) Leave(now time.Time) {
	decider.now = now
	decider.leaving = true
	decider.heartbeatDue = true
	decider.rebuildView()
	decider.flushHeartbeat()
}

// Close sends the final heartbeat to the other instances.
func (decider *Decider) Close(now time.Time) {
	decider.now = now
	decider.stopped = true
	decider.sendHeartbeats()
}

// handOverFlows reports the flows that this instance was home of before it began to leave to
// their new homes. Pinned flows are left out: all instances know them.
func (decider *Decider) handOverFlows() {
	if !decider.leaving || decider.flowsHandedOver || len(decider.view) == 0 {
		return
	}
	decider.flowsHandedOver = true
	for i := range decider.flows.shards {
		decider.flows.shards[i].forEach(func(key uint64, flow *flow) bool {
			if !flow.pinned && flow.state != closed && homeInView(decider.lastView, key) == nil {
				home := decider.home(key)
				home.queuedFlows = AppendPin(home.queuedFlows, Pin{Flow: key, Server: flow.serverID})
			}
			return true
		})
	}
	decider.pinsQueued = true
}
