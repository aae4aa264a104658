package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// sweepInterval is how often forgotten flows are looked for.
	sweepInterval = time.Second
	// quietLimit is how long an open flow may stay without packets before it no
	// longer counts as load.
	quietLimit = 10 * time.Second
)

// flow is what an instance remembers of a flow that opened through it.
type flow struct {
	flow      Flow
	server    *viewer.BackendServer // the last that it was offered to, or that accepted it
	tried     []*viewer.BackendServer
	opening   []byte
	sequence  uint32
	openedAt  time.Time
	offeredAt time.Time
	seenAt    time.Time
	accepted  bool
	ended     bool

	acceptedAt  time.Time
	requestAt   time.Time // zero until the first data
	answeredAt  time.Time // when the caller last acknowledged more
	firstAnswer uint32
	answer      uint32
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
	if known.server != nil {
		steerer.placer.Closed(known.server, now)
	}
	known.server = server
	known.offeredAt = now
	known.seenAt = now
	known.tried = append(known.tried, server)
	steerer.placer.Opened(server, now)
	steerer.pending = append(steerer.pending, known)
}

// observe learns from a later packet of a caller.
func (steerer *Steerer) observe(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.seenAt = now
	if !known.accepted {
		steerer.accept(known, packet, server, now)
	}
	if packet.Length > 0 && (known.requestAt.IsZero() || packet.Acknowledge != known.answer) {
		known.requestAt = now
	}
	if packet.Acknowledge != known.answer {
		known.answer, known.answeredAt = packet.Acknowledge, now
	}
	if packet.Flags.FIN || packet.Flags.RST {
		known.finish(packet.Flags.RST, steerer, now)
	}
}

func (steerer *Steerer) accept(known *flow, packet *Packet, server *viewer.BackendServer, now time.Time) {
	known.accepted = true
	known.acceptedAt = now
	known.opening = nil
	if known.offeredAt.After(steerer.answered) {
		steerer.answered = known.offeredAt
	}
	known.firstAnswer, known.answer = packet.Acknowledge, packet.Acknowledge
	if !server.Same(known.server) {
		steerer.placer.Closed(known.server, now)
		steerer.placer.Opened(server, now)
		known.server = server
	}
	steerer.placer.Accepted(server, now)
}

func (flow *flow) finish(reset bool, steerer *Steerer, now time.Time) {
	summary := Summary{
		Flow: flow.flow, Server: flow.server, Accepted: true, Reset: reset,
		Opening: flow.acceptedAt.Sub(flow.openedAt), Bytes: flow.answer - flow.firstAnswer,
	}
	if !flow.requestAt.IsZero() && flow.answer != flow.firstAnswer {
		summary.Response = now.Sub(flow.requestAt)
		if !reset {
			steerer.placer.Took(flow.server, summary.Response, now)
		}
	}
	steerer.end(flow, now)
	steerer.observer.Ended(&summary)
}

func (steerer *Steerer) end(known *flow, now time.Time) {
	if known.ended {
		return
	}
	known.ended = true
	steerer.placer.Closed(known.server, now)
	delete(steerer.flows, known.flow)
}

// sweep forgets flows that fell silent.
func (steerer *Steerer) sweep(now time.Time) {
	if now.Sub(steerer.swept) < sweepInterval {
		return
	}
	steerer.swept = now
	for _, known := range steerer.flows {
		limit := quietLimit
		if !known.accepted {
			limit = openingLifetime
		}
		if now.Sub(known.seenAt) <= limit {
			continue
		}
		steerer.end(known, now)
		steerer.observer.Ended(&Summary{Flow: known.flow, Server: known.server, Accepted: known.accepted, Bytes: known.answer - known.firstAnswer})
	}
}
