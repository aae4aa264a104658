package decider

import (
	"time"
)

// Leave starts a planned stop: this instance stops being a home and hands its flows over.
func (decider *Decider) Leave(now time.Time) {
	decider.now = now
	decider.leaving = true
	decider.heartbeatDue = true
	decider.rebuildView()
	decider.flushHeartbeat()
}

// Close says the last word to the other instances.
func (decider *Decider) Close(now time.Time) {
	decider.now = now
	decider.gone = true
	decider.sendHeartbeats()
}

// leaveFlows tells the new homes the flows of an instance that leaves.
func (decider *Decider) leaveFlows() {
	if !decider.leaving || decider.leftFlows || len(decider.view) == 0 {
		return
	}
	decider.leftFlows = true
	for i := range decider.flows.shards {
		decider.flows.shards[i].each(func(key uint64, flow *flow) bool {
			if !flow.pinned && flow.state != closed && topOf(decider.lastView, key) == nil {
				home := decider.home(key)
				home.flows = AppendPin(home.flows, Pin{Flow: key, Server: flow.server})
			}
			return true
		})
	}
	decider.pinsQueued = true
}
