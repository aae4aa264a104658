package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// sweepInterval is the time between two searches for idle flows.
	sweepInterval = time.Second
	// flowIdleTimeout is how long an established flow without packets stays tracked.
	flowIdleTimeout = 10 * time.Second
	// serverStateLifetime is how long the placer keeps the state of a server that is
	// no longer a candidate.
	serverStateLifetime = 2 * time.Minute
)

// flow is the state of a flow that was opened through this instance.
type flow struct {
	key             FlowKey
	server          *viewer.BackendServer   // the last that the opening was sent to, or the one that answered it
	attempted       []*viewer.BackendServer // servers that the opening was sent to; nil once established
	sentAt          []time.Time             // when the opening was sent to each of them
	judged          int                     // how many of them have been counted as unanswered
	reported        int                     // how many of them have been reported as lost, unless an answer came later
	openingPacket   []byte                  // for retries; nil once established
	openingSequence uint32                  // tells a retransmitted opening from that of a new flow
	openedAt        time.Time               // when the first opening arrived
	openingSentAt   time.Time               // when the opening was last sent to a server
	lastPacketAt    time.Time
	established     bool // a packet other than an opening has arrived
	ended           bool
	isOutstanding   bool // the placer counts an opening or a request of the flow as outstanding at server
	isListed        bool // in Steerer.outstanding
	isAdopted       bool // another instance opened the flow
	isRetransmitted bool // the caller has retransmitted data of the last request
	isOutcomeKnown  bool // the admission has been told of the last response
	// isRequestPartial says that the last request may have begun at another instance.
	isRequestPartial bool

	establishedAt         time.Time
	requestReceivedAt     time.Time // when the last request began; zero until the first data
	firstAcknowledgment   uint32    // of the packet that established the flow
	lastAcknowledgment    uint32    // of the last packet
	acknowledgedAt        time.Time // when a packet without data last acknowledged more; zero if none has since the last request
	requestAcknowledgment uint32    // of the last request's first packet
	dataSequence          uint32    // of the last data
}

// track returns the state of a new flow, or nil if maxFlows are tracked already.
func (steerer *Steerer) track(packet *Packet, now time.Time) *flow {
	if len(steerer.flows) >= maxFlows {
		return nil
	}
	flow := &flow{
		key:             packet.Flow,
		openingPacket:   append([]byte(nil), packet.Raw...),
		openingSequence: packet.Sequence,
		openedAt:        now,
		lastPacketAt:    now,
	}
	steerer.flows[packet.Flow] = flow
	return flow
}

// recordAttempt notes that the flow's opening is sent to a server.
func (steerer *Steerer) recordAttempt(flow *flow, server *viewer.BackendServer, now time.Time) {
	steerer.assignServer(flow, server, now)
	if len(flow.attempted) > 0 {
		steerer.moveRequest(flow, now)
	} else {
		steerer.beginRequest(flow, true, now)
		steerer.silence.openingSent(now)
	}
	flow.openingSentAt = now
	flow.lastPacketAt = now
	flow.attempted, flow.sentAt = append(flow.attempted, server), append(flow.sentAt, now)
	steerer.unanswered = append(steerer.unanswered, flow)
}

// observe updates the flow from a caller's packet that follows the opening. The first
// data begins a request, and so does data whose acknowledgment number differs from that at
// the start of the last request, because the caller has received a response in between.
func (steerer *Steerer) observe(flow *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	flow.lastPacketAt = now
	if !flow.established {
		steerer.establish(flow, packet, server, now)
	}
	if flow.isOvertaken(packet) {
		return
	}
	flow.server = newestEntry(flow.server, server)
	if packet.Acknowledgment != flow.lastAcknowledgment {
		flow.lastAcknowledgment = packet.Acknowledgment
		if packet.PayloadLength == 0 { // otherwise the caller may have paused before its next request
			flow.acknowledgedAt = now
			steerer.endRequest(flow, now)
		}
	}
	steerer.awaitCompletion(flow, now)
	if packet.PayloadLength > 0 && (flow.requestReceivedAt.IsZero() || packet.Acknowledgment != flow.requestAcknowledgment) {
		steerer.recordResponse(flow, now)
		steerer.renewRequest(flow, now)
		flow.requestReceivedAt, flow.requestAcknowledgment, flow.acknowledgedAt = now, packet.Acknowledgment, time.Time{}
		flow.isOutcomeKnown = false
		flow.isRequestPartial = false
		steerer.awaitResponse(flow)
	} else if packet.PayloadLength > 0 && packet.Sequence == flow.dataSequence {
		flow.isRetransmitted = true
	}
	if packet.PayloadLength > 0 {
		flow.dataSequence = packet.Sequence
	}
	switch {
	case packet.Flags.RST:
		steerer.endFlow(flow, EndResetByCaller, now)
	case packet.Flags.FIN:
		steerer.recordResponse(flow, now)
		steerer.endFlow(flow, EndClosedByCaller, now)
	}
}

// isOvertaken reports whether a packet was sent before one that has arrived, as it acknowledges less.
func (flow *flow) isOvertaken(packet *Packet) bool {
	step := int64(int32(packet.Acknowledgment - flow.lastAcknowledgment))
	return step < 0 && -step <= maxAcknowledgmentStep && !packet.Flags.RST
}

// establish marks the flow as answered by server, which may be another than the
// last one that this instance sent the opening to.
func (steerer *Steerer) establish(flow *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	flow.established = true
	flow.establishedAt = now
	isLastAttempt := flow.isLastAttempt(server)
	answeredAttempt := flow.openedAt
	if isLastAttempt {
		answeredAttempt = flow.openingSentAt
		steerer.follower.roundTrips.record(detector.NewServer(server), flow.openingSentAt)
	}
	steerer.silence.answered(answeredAttempt, now)
	if steerer.confirmsOpenings() {
		steerer.noticeAnswer(flow, server, now)
	}
	flow.openingPacket, flow.attempted, flow.sentAt = nil, nil, nil
	if flow.openingSentAt.After(steerer.newestAnsweredSentAt) {
		steerer.newestAnsweredSentAt = flow.openingSentAt
	}
	flow.firstAcknowledgment, flow.lastAcknowledgment = packet.Acknowledgment, packet.Acknowledgment
	if !server.SameIncarnation(flow.server) {
		steerer.assignServer(flow, server, now)
		steerer.moveRequest(flow, now)
	}
	steerer.placer.OpeningAnswered(server, now)
	if isLastAttempt {
		steerer.resetter.recordSign(server, packet, sign{aliveAt: flow.openingSentAt}, now)
	}
}

// isLastAttempt reports whether the server got only the last copy of the opening, so that its
// answer shows that it was alive after that was sent.
func (flow *flow) isLastAttempt(server *viewer.BackendServer) bool {
	last := len(flow.attempted) - 1
	return last >= 0 && server.SameIncarnation(flow.attempted[last]) && !viewer.Contains(flow.attempted[:last], server)
}

// newestEntry returns the current entry of a server in place of an earlier one, as the server may
// have turned cold in between, or the earlier one if current is nil or of another incarnation. An
// entry that counts as load elsewhere is not taken while the flow is counted.
func newestEntry(earlier, current *viewer.BackendServer) *viewer.BackendServer {
	if current == nil || !current.SameIncarnation(earlier) || current.Service != earlier.Service || current.FailureDomain != earlier.FailureDomain {
		return earlier
	}
	return current
}

// recordResponse reports the time and the length of the flow's last response to the
// placer and the examiner.
func (steerer *Steerer) recordResponse(flow *flow, now time.Time) {
	if responseTime := flow.responseTime(); responseTime > 0 {
		steerer.recordOutcome(flow, now)
		if !steerer.wasShed(flow) {
			steerer.placer.RecordResponseTime(flow.server, responseTime, now)
		}
		steerer.examiner.RecordResponse(flow.key.ServiceAddress, flow.server, flow.lastAcknowledgment-flow.requestAcknowledgment, responseTime, now)
	}
}

// responseTime returns the time from the last request until the caller acknowledged the end
// of its response, or 0 if it has not done so with a packet of its own, or the request may have
// begun at another instance.
func (flow *flow) responseTime() time.Duration {
	if flow.isRequestPartial || flow.requestReceivedAt.IsZero() || flow.acknowledgedAt.IsZero() || flow.lastAcknowledgment == flow.requestAcknowledgment {
		return 0
	}
	return flow.acknowledgedAt.Sub(flow.requestReceivedAt)
}

// endFlow stops tracking the flow, and reports its summary to the observer unless another
// instance opened it.
func (steerer *Steerer) endFlow(flow *flow, reason EndReason, now time.Time) {
	if flow.ended {
		return
	}
	flow.ended = true
	steerer.endRequest(flow, now)
	steerer.placer.FlowClosed(flow.server, now)
	delete(steerer.flows, flow.key)
	steerer.rememberClosed(flow.key, now)
	if flow.isAdopted {
		return
	}
	summary := FlowSummary{Flow: flow.key, Server: flow.server, Established: flow.established, ResponseBytes: flow.lastAcknowledgment - flow.firstAcknowledgment, EndReason: reason}
	if flow.established {
		summary.HandshakeTime = flow.establishedAt.Sub(flow.openedAt)
	}
	if reason == EndClosedByCaller {
		summary.ResponseTime = flow.responseTime()
	}
	steerer.observer.FlowEnded(&summary)
}

// expireFlows ends flows that have been idle for too long, and expires the placer's unused server state, at most once
// per sweepInterval.
func (steerer *Steerer) expireFlows(now time.Time) {
	if now.Sub(steerer.lastSweepAt) < sweepInterval {
		return
	}
	steerer.lastSweepAt = now
	steerer.expireClosed(now)
	steerer.expireRefused(now)
	steerer.follower.expire(now)
	steerer.placer.ExpireServers(now.Add(-serverStateLifetime))
	for _, flow := range steerer.flows {
		timeout := flowIdleTimeout
		if !flow.established {
			timeout = retransmissionWindow
		}
		if now.Sub(flow.lastPacketAt) > timeout {
			steerer.endFlow(flow, EndIdle, now)
		}
	}
}
