package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// The load of a server is the requests that are outstanding there, not its open flows: a long
// flow pauses between its requests. An opening counts as a request that is about to begin. A
// request ends when the caller acknowledges the first part of its response.

const (
	// requestTimeout is how long a request without any further packet of its flow counts as
	// outstanding.
	requestTimeout = 2 * time.Second
	// movedRequestTimeout is the same when a flow of another instance has moved here since, so
	// that this one is likely to have moved away.
	movedRequestTimeout = 250 * time.Millisecond
	// outstandingInterval is the time between two searches for requests that no longer count.
	outstandingInterval = 100 * time.Millisecond
	// outstandingWakeInterval is the same while no packet comes.
	outstandingWakeInterval = time.Second
)

// assignServer counts the flow as open at a server, and no longer at its previous one.
func (steerer *Steerer) assignServer(flow *flow, server *viewer.BackendServer, now time.Time) {
	if flow.server != nil {
		steerer.endRequest(flow, now)
		steerer.placer.FlowClosed(flow.server, now)
	}
	flow.server = server
	steerer.placer.FlowOpened(server, now)
}

// beginRequest counts a request of the flow as outstanding; isFirst says that it is the flow's
// first one, or its opening.
func (steerer *Steerer) beginRequest(flow *flow, isFirst bool, now time.Time) {
	if flow.isOutstanding {
		return
	}
	steerer.listOutstanding(flow, now)
	steerer.placer.RequestBegan(flow.server, isFirst, now)
}

// moveRequest counts the flow's first request, or its opening, as outstanding at its server now;
// it was counted before.
func (steerer *Steerer) moveRequest(flow *flow, now time.Time) {
	if flow.isOutstanding {
		return
	}
	steerer.listOutstanding(flow, now)
	steerer.placer.RequestMoved(flow.server, now)
}

// listOutstanding notes that a request of the flow counts as outstanding.
func (steerer *Steerer) listOutstanding(flow *flow, now time.Time) {
	flow.isOutstanding = true
	if steerer.admission != nil {
		steerer.admission.RequestBegan(flow.server.Service, now)
	}
	if !flow.isListed {
		flow.isListed = true
		steerer.outstanding = append(steerer.outstanding, flow)
	}
}

// renewRequest counts the request that begins now in place of the last one; the first takes the
// place of the opening.
func (steerer *Steerer) renewRequest(flow *flow, now time.Time) {
	if flow.requestReceivedAt.IsZero() {
		steerer.moveRequest(flow, now)
		return
	}
	steerer.endRequest(flow, now)
	steerer.placer.RequestSent(flow.server, now)
	steerer.beginRequest(flow, false, now)
}

// endRequest stops counting the flow's request as outstanding, if it has one.
func (steerer *Steerer) endRequest(flow *flow, now time.Time) {
	if !flow.isOutstanding {
		return
	}
	flow.isOutstanding = false
	if steerer.admission != nil {
		steerer.admission.RequestEnded(flow.server.Service, now)
	}
	steerer.placer.RequestEnded(flow.server, now)
}

// expireRequests stops counting requests whose flows have been silent for requestTimeout, or
// have moved to other instances, at most once per outstandingInterval.
func (steerer *Steerer) expireRequests(now time.Time) {
	if now.Sub(steerer.outstandingCheckedAt) < outstandingInterval {
		return
	}
	steerer.outstandingCheckedAt = now
	remaining := steerer.outstanding[:0]
	for _, flow := range steerer.outstanding {
		silent := now.Sub(flow.lastPacketAt)
		hasMoved := flow.established && steerer.adoptedAt.After(flow.lastPacketAt) && silent >= movedRequestTimeout
		if silent >= requestTimeout || hasMoved {
			steerer.endRequest(flow, now)
		}
		flow.isListed = flow.isOutstanding
		if flow.isListed {
			remaining = append(remaining, flow)
		}
	}
	clear(steerer.outstanding[len(remaining):])
	steerer.outstanding = remaining
}

// outstandingWakeTime returns when expireRequests has to be called, or the zero time if no request
// is counted.
func (steerer *Steerer) outstandingWakeTime() time.Time {
	if len(steerer.outstanding) == 0 {
		return time.Time{}
	}
	return steerer.outstandingCheckedAt.Add(outstandingWakeInterval)
}

// adopt tracks a flow that another instance opened, from the first data that arrives here, so
// that its requests count. It returns nil if the packet has no data, the flow was closed a
// moment ago, or maxFlows are tracked already.
func (steerer *Steerer) adopt(packet *Packet, server *viewer.BackendServer, now time.Time) *flow {
	_, wasClosed := steerer.closedAt[packet.Flow]
	if packet.PayloadLength == 0 || packet.Flags.FIN || packet.Flags.RST || wasClosed || len(steerer.flows) >= maxFlows {
		return nil
	}
	flow := &flow{
		key:                   packet.Flow,
		openedAt:              now,
		lastPacketAt:          now,
		established:           true,
		establishedAt:         now,
		isAdopted:             true,
		isRequestPartial:      true,
		requestReceivedAt:     now,
		firstAcknowledgment:   packet.Acknowledgment,
		lastAcknowledgment:    packet.Acknowledgment,
		requestAcknowledgment: packet.Acknowledgment,
		dataSequence:          packet.Sequence,
	}
	steerer.flows[packet.Flow] = flow
	steerer.adoptedAt = now
	steerer.assignServer(flow, server, now)
	steerer.beginRequest(flow, false, now)
	return flow
}
