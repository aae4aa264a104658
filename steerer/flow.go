package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// sweepInterval is how often forgotten flows are looked for.
	sweepInterval = time.Second
	// loadIdleTimeout is how long an open flow may stay without packets before it no
	// longer counts as load: it pauses between requests, or its packets take
	// another way now.
	loadIdleTimeout = 2 * time.Second
	// flowIdleTimeout is how long a flow without packets is remembered.
	flowIdleTimeout = 10 * time.Second
	// serverStateLifetime is how long a server that is no candidate any more is remembered.
	serverStateLifetime = 2 * time.Minute
)

// flow is what an instance remembers of a flow that opened through it.
type flow struct {
	key      FlowKey
	server    *viewer.BackendServer // the last that it was offered to, or that accepted it
	attempted     []*viewer.BackendServer
	openingPacket   []byte
	openingSequence  uint32
	openedAt  time.Time
	openingSentAt time.Time
	lastPacketAt    time.Time
	established  bool
	ended     bool
	countedAsLoad   bool // as load of server

	establishedAt  time.Time
	requestReceivedAt   time.Time // zero until the first data
	firstAcknowledgment uint32
	lastAcknowledgment      uint32
	requestAcknowledgment   uint32 // answer when the last request came
}

func (steerer *Steerer) track(packet *Packet, now time.Time) *flow {
	known := &flow{
		key:     packet.Flow,
		openingPacket:  append([]byte(nil), packet.Raw...),
		openingSequence: packet.Sequence,
		openedAt: now,
		lastPacketAt:   now,
	}
	if len(steerer.flows) < maxFlows {
		steerer.flows[packet.Flow] = known
	}
	return known
}

// assign counts the flow as load of the server that its opening is sent to.
func (steerer *Steerer) assign(known *flow, server *viewer.BackendServer, now time.Time) {
	steerer.setLoad(known, server, now)
	known.openingSentAt = now
	known.lastPacketAt = now
	known.attempted = append(known.attempted, server)
	steerer.unanswered = append(steerer.unanswered, known)
}

// setLoad has the flow count as load of a server, or of none when it is nil.
func (steerer *Steerer) setLoad(known *flow, server *viewer.BackendServer, now time.Time) {
	if known.countedAsLoad {
		steerer.placer.FlowClosed(known.server, now)
	}
	known.countedAsLoad = server != nil
	if server != nil {
		known.server = server
		steerer.placer.FlowOpened(server, now)
	}
}

// observeCallerPacket learns from a later packet of a caller.
func (steerer *Steerer) observeCallerPacket(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.lastPacketAt = now
	if !known.established {
		steerer.establish(known, packet, server, now)
	}
	if packet.PayloadLength > 0 && !known.countedAsLoad {
		steerer.setLoad(known, server, now)
	}
	if packet.PayloadLength > 0 && (known.requestReceivedAt.IsZero() || packet.Acknowledgment != known.lastAcknowledgment) {
		known.requestReceivedAt, known.requestAcknowledgment = now, packet.Acknowledgment
	}
	if packet.Acknowledgment != known.lastAcknowledgment {
		known.lastAcknowledgment = packet.Acknowledgment
	}
	switch {
	case packet.Flags.RST:
		steerer.end(known, EndResetByCaller, now)
	case packet.Flags.FIN:
		steerer.recordResponse(known, now)
		steerer.end(known, EndClosedByCaller, now)
	}
}

func (steerer *Steerer) establish(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.established = true
	known.establishedAt = now
	known.openingPacket, known.attempted = nil, nil
	if known.openingSentAt.After(steerer.lastAnsweredSentAt) {
		steerer.lastAnsweredSentAt = known.openingSentAt
	}
	known.firstAcknowledgment, known.lastAcknowledgment = packet.Acknowledgment, packet.Acknowledgment
	if !server.Same(known.server) {
		steerer.setLoad(known, server, now)
	}
	steerer.placer.OpeningAnswered(server, now)
}

// recordResponse tells the placer how long the flow's last response took.
func (steerer *Steerer) recordResponse(known *flow, now time.Time) {
	if response := known.responseTime(now); response > 0 {
		steerer.placer.RecordResponseTime(known.server, response, now)
		steerer.examiner.RecordResponse(known.key.ServiceAddress, known.server, known.lastAcknowledgment-known.requestAcknowledgment)
	}
}

// responseTime returns the time since the request, or 0 before the first answer.
func (flow *flow) responseTime(now time.Time) time.Duration {
	if flow.requestReceivedAt.IsZero() || flow.lastAcknowledgment == flow.firstAcknowledgment {
		return 0
	}
	return now.Sub(flow.requestReceivedAt)
}

// end ends what is known of a flow, and says so to the observer.
func (steerer *Steerer) end(known *flow, end EndReason, now time.Time) {
	if known.ended {
		return
	}
	known.ended = true
	steerer.setLoad(known, nil, now)
	delete(steerer.flows, known.key)
	summary := FlowSummary{Flow: known.key, Server: known.server, Established: known.established, ResponseBytes: known.lastAcknowledgment - known.firstAcknowledgment, EndReason: end}
	if known.established {
		summary.HandshakeTime = known.establishedAt.Sub(known.openedAt)
	}
	if end == EndClosedByCaller {
		summary.ResponseTime = known.responseTime(now)
	}
	steerer.observer.FlowEnded(&summary)
}

// expireFlows forgets flows that fell silent.
func (steerer *Steerer) expireFlows(now time.Time) {
	if now.Sub(steerer.lastSweepAt) < sweepInterval {
		return
	}
	steerer.lastSweepAt = now
	steerer.placer.ExpireServers(now.Add(-serverStateLifetime))
	for _, known := range steerer.flows {
		limit := flowIdleTimeout
		if !known.established {
			limit = retransmissionWindow
		}
		switch quiet := now.Sub(known.lastPacketAt); {
		case quiet > limit:
			steerer.end(known, EndIdle, now)
		case quiet > loadIdleTimeout:
			steerer.setLoad(known, nil, now)
		}
	}
}
