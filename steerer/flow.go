package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// sweepInterval is how often forgotten flows are looked for.
	sweepInterval = time.Second
	// loadLimit is how long an open flow may stay without packets before it no
	// longer counts as load: it pauses between requests, or its packets take
	// another way now.
	loadLimit = 2 * time.Second
	// quietLimit is how long a flow without packets is remembered.
	quietLimit = 10 * time.Second
	// serverMemory is how long a server that is no candidate any more is remembered.
	serverMemory = 2 * time.Minute
)

// flow is what an instance remembers of a flow that opened through it.
type flow struct {
	flow      FlowKey
	server    *viewer.BackendServer // the last that it was offered to, or that accepted it
	tried     []*viewer.BackendServer
	opening   []byte
	sequence  uint32
	openedAt  time.Time
	offeredAt time.Time
	seenAt    time.Time
	accepted  bool
	ended     bool
	counted   bool // as load of server

	acceptedAt  time.Time
	requestAt   time.Time // zero until the first data
	firstAnswer uint32
	answer      uint32
	requested   uint32 // answer when the last request came
}

func (steerer *Steerer) remember(packet *Packet, now time.Time) *flow {
	known := &flow{
		flow:     packet.Flow,
		opening:  append([]byte(nil), packet.Raw...),
		sequence: packet.Sequence,
		openedAt: now,
		seenAt:   now,
	}
	if len(steerer.flows) < maxFlows {
		steerer.flows[packet.Flow] = known
	}
	return known
}

// offer counts the flow as load of the server that its opening is sent to.
func (steerer *Steerer) offer(known *flow, server *viewer.BackendServer, now time.Time) {
	steerer.count(known, server, now)
	known.offeredAt = now
	known.seenAt = now
	known.tried = append(known.tried, server)
	steerer.pending = append(steerer.pending, known)
}

// count has the flow count as load of a server, or of none when it is nil.
func (steerer *Steerer) count(known *flow, server *viewer.BackendServer, now time.Time) {
	if known.counted {
		steerer.placer.FlowClosed(known.server, now)
	}
	known.counted = server != nil
	if server != nil {
		known.server = server
		steerer.placer.FlowOpened(server, now)
	}
}

// observe learns from a later packet of a caller.
func (steerer *Steerer) observe(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.seenAt = now
	if !known.accepted {
		steerer.accept(known, packet, server, now)
	}
	if packet.PayloadLength > 0 && !known.counted {
		steerer.count(known, server, now)
	}
	if packet.PayloadLength > 0 && (known.requestAt.IsZero() || packet.Acknowledgment != known.answer) {
		known.requestAt, known.requested = now, packet.Acknowledgment
	}
	if packet.Acknowledgment != known.answer {
		known.answer = packet.Acknowledgment
	}
	switch {
	case packet.Flags.RST:
		steerer.forget(known, EndResetByCaller, now)
	case packet.Flags.FIN:
		steerer.took(known, now)
		steerer.forget(known, EndClosedByCaller, now)
	}
}

func (steerer *Steerer) accept(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.accepted = true
	known.acceptedAt = now
	known.opening, known.tried = nil, nil
	if known.offeredAt.After(steerer.answered) {
		steerer.answered = known.offeredAt
	}
	known.firstAnswer, known.answer = packet.Acknowledgment, packet.Acknowledgment
	if !server.Same(known.server) {
		steerer.count(known, server, now)
	}
	steerer.placer.OpeningAnswered(server, now)
}

// took tells the placer how long the flow's last response took.
func (steerer *Steerer) took(known *flow, now time.Time) {
	if response := known.response(now); response > 0 {
		steerer.placer.RecordResponseTime(known.server, response, now)
		steerer.examiner.RecordResponse(known.flow.ServiceAddress, known.server, known.answer-known.requested)
	}
}

// response returns the time since the request, or 0 before the first answer.
func (flow *flow) response(now time.Time) time.Duration {
	if flow.requestAt.IsZero() || flow.answer == flow.firstAnswer {
		return 0
	}
	return now.Sub(flow.requestAt)
}

// forget ends what is known of a flow, and says so to the observer.
func (steerer *Steerer) forget(known *flow, end EndReason, now time.Time) {
	if known.ended {
		return
	}
	known.ended = true
	steerer.count(known, nil, now)
	delete(steerer.flows, known.flow)
	summary := FlowSummary{Flow: known.flow, Server: known.server, Established: known.accepted, ResponseBytes: known.answer - known.firstAnswer, EndReason: end}
	if known.accepted {
		summary.HandshakeTime = known.acceptedAt.Sub(known.openedAt)
	}
	if end == EndClosedByCaller {
		summary.ResponseTime = known.response(now)
	}
	steerer.observer.FlowEnded(&summary)
}

// sweep forgets flows that fell silent.
func (steerer *Steerer) sweep(now time.Time) {
	if now.Sub(steerer.swept) < sweepInterval {
		return
	}
	steerer.swept = now
	steerer.placer.ExpireServers(now.Add(-serverMemory))
	for _, known := range steerer.flows {
		limit := quietLimit
		if !known.accepted {
			limit = openingLifetime
		}
		switch quiet := now.Sub(known.seenAt); {
		case quiet > limit:
			steerer.forget(known, EndIdle, now)
		case quiet > loadLimit:
			steerer.count(known, nil, now)
		}
	}
}
