package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// A server that goes down resets its flows toward the callers, past the instances. The
// instance sees only that a caller stops: a caller whose flow is open retransmits its data
// after 200 ms. When the routers' set of instances changes, flows move away without a word
// too, but then packets of flows arrive that other instances opened.

const (
	// lostRequestTimeout is how long after a request without any further packet of its flow
	// the request counts as lost; a caller that waits has retransmitted it by then.
	lostRequestTimeout = 450 * time.Millisecond
	// movedFlowsTime is how long before and after a packet of another instance's flow the
	// end of a flow shows nothing.
	movedFlowsTime = time.Second
	// closedFlowLifetime is how long a closed flow is remembered for its last packets.
	closedFlowLifetime = 2 * time.Second
)

// awaitResponse notes that a request of the flow has begun. A flow of another instance can
// move away again at any time, so its end shows nothing.
func (steerer *Steerer) awaitResponse(flow *flow) {
	flow.isRetransmitted = false
	if flow.isAdopted {
		return
	}
	steerer.awaiting = append(steerer.awaiting, awaitedResponse{flow: flow, since: flow.requestReceivedAt})
}

// awaitedResponse is a request whose response has not been looked for yet.
type awaitedResponse struct {
	flow  *flow
	since time.Time // when the request was received
}

// reportLostRequests reports the requests that were received lostRequestTimeout before drained
// and have vanished; all packets that arrived before drained have been passed to Decide.
func (steerer *Steerer) reportLostRequests(now, drained time.Time) {
	for len(steerer.awaiting) > 0 && drained.Sub(steerer.awaiting[0].since) >= lostRequestTimeout {
		awaited := steerer.awaiting[0]
		steerer.awaiting = steerer.awaiting[1:]
		flow := awaited.flow
		isLast := flow.requestReceivedAt.Equal(awaited.since)
		answered := flow.lastAcknowledgment != flow.requestAcknowledgment
		if isLast && !flow.ended && !answered && !flow.isRetransmitted && drained.Sub(flow.lastPacketAt) >= lostRequestTimeout {
			steerer.reportLost(flow.server, now)
		}
	}
}

// reportLost reports a lost request or opening to the examiner, unless flows have moved
// between instances lately.
func (steerer *Steerer) reportLost(server *viewer.BackendServer, now time.Time) {
	if now.Sub(steerer.foreignAt) > movedFlowsTime {
		steerer.examiner.RecordLostRequest(server)
	}
}

// noticeUntracked records a packet of an established flow that is not tracked here: unless
// the flow was closed a moment ago, another instance opened it.
func (steerer *Steerer) noticeUntracked(key FlowKey, now time.Time) {
	if closedAt, wasClosed := steerer.closedAt[key]; !wasClosed || now.Sub(closedAt) > closedFlowLifetime {
		steerer.foreignAt = now
	}
}

// rememberClosed remembers a flow that has ended for its last packets.
func (steerer *Steerer) rememberClosed(key FlowKey, now time.Time) {
	if len(steerer.closedAt) < maxFlows {
		steerer.closedAt[key] = now
	}
}

// expireClosed forgets the flows that were closed closedFlowLifetime ago.
func (steerer *Steerer) expireClosed(now time.Time) {
	for key, closedAt := range steerer.closedAt {
		if now.Sub(closedAt) > closedFlowLifetime {
			delete(steerer.closedAt, key)
		}
	}
}
