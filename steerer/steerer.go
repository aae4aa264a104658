package steerer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// answerTimeout is how long an opening may stay unanswered before another
	// server is tried; a handshake takes about ten milliseconds.
	answerTimeout = 50 * time.Millisecond
	// maxAttempts bounds the servers that one opening is sent to by this instance.
	maxAttempts = 4
	// retransmissionWindow is how long copies of an opening can come.
	retransmissionWindow = 2 * time.Second
	// maxFlows bounds the remembered flows, about 300 bytes each.
	maxFlows = 20_000
)

// serverSelector is what the steerer needs of the choice of servers.
type serverSelector interface {
	Select(candidates, tried []*viewer.BackendServer, now time.Time) *viewer.BackendServer
	FlowOpened(server *viewer.BackendServer, now time.Time)
	FlowClosed(server *viewer.BackendServer, now time.Time)
	OpeningAnswered(server *viewer.BackendServer, now time.Time)
	OpeningUnanswered(server *viewer.BackendServer, now time.Time) bool
	RecordResponseTime(server *viewer.BackendServer, duration time.Duration, now time.Time)
	ExpireServers(before time.Time)
}

// responseRecorder judges whole responses.
type responseRecorder interface {
	RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32)
}

// Observer hears of every decision that concerns a whole flow.
type Observer interface {
	// Decided is called for openings, refusals and drops.
	Decided(verdict *Verdict, view *viewer.View)
	// FlowEnded is called when a flow that opened here ends.
	FlowEnded(summary *FlowSummary)
	// ServerEjected is called when a server is held off.
	ServerEjected(server *viewer.BackendServer)
}

// FlowSummary is what an instance saw of one flow.
type FlowSummary struct {
	Flow     FlowKey
	Server   *viewer.BackendServer
	Established bool
	HandshakeTime  time.Duration // from the first opening to the caller's acknowledgement
	ResponseTime time.Duration // from the request to the end of the response
	ResponseBytes    uint32        // of the response, as far as the caller acknowledged it
	EndReason      EndReason
}

// EndReason names how a flow ended for this instance.
type EndReason string

// Ends of flows.
const (
	EndClosedByCaller  EndReason = "finished"   // the caller closed it
	EndResetByCaller   EndReason = "aborted"    // the caller reset it
	EndIdle EndReason = "fell_quiet" // no more packets came here
	EndPortReused  EndReason = "replaced"   // its caller opened another flow from the same port
)

// Steerer decides for the packets of one instance; it is not safe for concurrent use.
type Steerer struct {
	currentView   func() *viewer.View
	justResumed  func(now time.Time) bool
	placer   serverSelector
	examiner responseRecorder
	observer Observer
	random   *rand.Rand
	flows    map[FlowKey]*flow
	unanswered  []*flow   // openings without an answer, oldest first
	lastAnsweredSentAt time.Time // when the newest opening was sent that was answered
	lastSweepAt    time.Time
}

// NewSteerer returns a Steerer that decides by the view that current returns;
// resumed reports whether the process has just come out of a pause.
func NewSteerer(current func() *viewer.View, resumed func(now time.Time) bool, placer serverSelector, examiner responseRecorder, observer Observer, random *rand.Rand) *Steerer {
	return &Steerer{currentView: current, justResumed: resumed, placer: placer, examiner: examiner, observer: observer, random: random, flows: map[FlowKey]*flow{}}
}

// Decide decides about one packet of a caller.
func (steerer *Steerer) Decide(packet *Packet, now time.Time) Verdict {
	view := steerer.currentView()
	verdict := Verdict{Flow: packet.Flow, Raw: packet.Raw, ResetSequence: packet.Acknowledgment}
	switch {
	case !view.Complete():
		verdict.Reason = ReasonNoView
	case packet.Flags.SYN && packet.Flags.ACK:
		verdict.Reason = ReasonFromServer
	case packet.IsOpening():
		steerer.placeOpening(packet, view, &verdict, now)
	default:
		steerer.forwardByToken(packet, view, &verdict, now)
	}
	if verdict.Reason != ReasonExistingFlow {
		steerer.observer.Decided(&verdict, view)
	}
	return verdict
}

func (steerer *Steerer) placeOpening(packet *Packet, view *viewer.View, verdict *Verdict, now time.Time) {
	known := steerer.flows[packet.Flow]
	if known != nil && (known.openingSequence != packet.Sequence || now.Sub(known.openedAt) > retransmissionWindow) {
		steerer.end(known, EndPortReused, now)
		known = nil
	}
	if known != nil && known.established {
		verdict.Action, verdict.Server, verdict.Reason = Send, known.server, ReasonRetransmitted
		return
	}
	server := steerer.selectServer(packet.Flow, known, view, verdict, now)
	if server == nil {
		return
	}
	verdict.Action, verdict.Server, verdict.Reason = Send, server, ReasonRetransmitted
	if known == nil {
		verdict.Reason = ReasonNewFlow
		known = steerer.track(packet, now)
	} else {
		steerer.recordUnanswered(known.server, now)
	}
	steerer.assign(known, server, now)
}

// selectServer picks the server of an opening; when there is none it says in verdict why.
func (steerer *Steerer) selectServer(flow FlowKey, known *flow, view *viewer.View, verdict *Verdict, now time.Time) *viewer.BackendServer {
	route := view.Route(flow.ServiceAddress)
	if route == nil {
		steerer.refuse(verdict, ReasonNoRoute, now)
		return nil
	}
	var tried []*viewer.BackendServer
	if known != nil {
		tried = known.attempted
	}
	candidates := view.Active(steerer.drawService(route))
	verdict.Candidates, verdict.Attempts = len(candidates), len(tried)
	server := steerer.placer.Select(candidates, tried, now)
	if server == nil {
		steerer.refuse(verdict, ReasonNoServer, now)
	}
	return server
}

// refuse resets a flow that cannot be served. After a pause the view may be old,
// and the opening may be a late copy of one that another instance has served, so
// the flow is left alone.
func (steerer *Steerer) refuse(verdict *Verdict, reason Reason, now time.Time) {
	verdict.Action, verdict.Reason = Reset, reason
	if steerer.justResumed(now) {
		verdict.Action, verdict.Reason = Drop, ReasonJustResumed
	}
}

// drawService draws one of the route's services in proportion to their weights.
func (steerer *Steerer) drawService(route *viewer.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	draw := steerer.random.Float64() * total
	for _, share := range route.Shares {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	return ""
}

// forwardByToken sends a later packet where its token says.
func (steerer *Steerer) forwardByToken(packet *Packet, view *viewer.View, verdict *Verdict, now time.Time) {
	server := view.ByToken(packet.Token)
	if server == nil || packet.Token == 0 {
		// The server may live and be unknown here alone, so the flow is not reset.
		verdict.Reason = ReasonUnknownToken
		return
	}
	verdict.Action, verdict.Server, verdict.Reason = Send, server, ReasonExistingFlow
	if known := steerer.flows[packet.Flow]; known != nil {
		steerer.observeCallerPacket(known, packet, server, now)
	}
}

// NextRetry returns the next opening that its server left unanswered, now sent to
// another one; false means that there is none. No packet that came before
// drained still waits to be decided: an answer may be among those that do.
func (steerer *Steerer) NextRetry(now, drained time.Time) (Verdict, bool) {
	for len(steerer.unanswered) > 0 {
		oldest := steerer.unanswered[0]
		if drained.Sub(oldest.openingSentAt) < answerTimeout {
			break
		}
		steerer.unanswered = steerer.unanswered[1:]
		if oldest.established || oldest.ended {
			continue
		}
		if verdict, ok := steerer.retryOpening(oldest, now); ok {
			return verdict, true
		}
	}
	steerer.expireFlows(now)
	return Verdict{}, false
}

func (steerer *Steerer) recordUnanswered(server *viewer.BackendServer, now time.Time) {
	if steerer.placer.OpeningUnanswered(server, now) {
		steerer.observer.ServerEjected(server)
	}
}

func (steerer *Steerer) retryOpening(known *flow, now time.Time) (Verdict, bool) {
	// Without an answer to a later opening, the callers' packets may go to
	// another instance by now, as they do when the fabric's set of instances changes.
	if steerer.lastAnsweredSentAt.After(known.openingSentAt) {
		steerer.recordUnanswered(known.server, now)
	}
	if len(known.attempted) >= maxAttempts {
		return Verdict{}, false
	}
	view := steerer.currentView()
	verdict := Verdict{Flow: known.key, Raw: known.openingPacket}
	server := steerer.selectServer(known.key, known, view, &verdict, now)
	if server == nil || viewer.Contains(known.attempted, server) {
		return Verdict{}, false
	}
	verdict.Action, verdict.Server, verdict.Reason = Send, server, ReasonRetried
	steerer.assign(known, server, now)
	steerer.observer.Decided(&verdict, view)
	return verdict, true
}
