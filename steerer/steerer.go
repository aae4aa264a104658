package steerer

import (
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// answerTimeout is how long an opening may stay unanswered before it is sent
	// to another server; a handshake takes about ten milliseconds.
	answerTimeout = 50 * time.Millisecond
	// maxAttempts is the number of servers after which an opening is not retried.
	maxAttempts = 4
	// retransmissionWindow is how long after an opening its caller may retransmit it.
	retransmissionWindow = 2 * time.Second
	// maxFlows bounds the tracked flows, about 300 bytes each.
	maxFlows = 20_000
)

// FlowSummary is what an instance measured of one flow.
type FlowSummary struct {
	Flow          FlowKey
	Server        *viewer.BackendServer
	Established   bool          // a packet other than an opening arrived
	HandshakeTime time.Duration // from the first opening to the caller's acknowledgment
	ResponseTime  time.Duration // from the last request to the end of its response; 0 unless the caller closed the flow
	ResponseBytes uint32        // of all responses, as far as the caller acknowledged them
	EndReason     EndReason
}

// EndReason is the way in which a flow ended for this instance.
type EndReason string

// Reasons why a flow ended.
const (
	EndClosedByCaller EndReason = "finished"    // the caller sent FIN
	EndResetByCaller  EndReason = "aborted"     // the caller sent RST
	EndIdle           EndReason = "fell_quiet"  // no packets reached this instance for a time
	EndPortReused     EndReason = "replaced"    // the caller opened another flow from the same port
	EndServerGone     EndReason = "server_gone" // reset here, since its server has ended
)

// Steerer decides about the packets of one instance; it is not safe for concurrent use.
type Steerer struct {
	currentView          func() *viewer.View
	justResumed          func(now time.Time) bool
	placer               serverSelector
	examiner             responseRecorder
	observer             Observer
	flows                map[FlowKey]*flow // the tracked flows, at most maxFlows
	unanswered           []*flow           // flows whose opening may be retried, in the order sent; may contain answered ones
	newestAnsweredSentAt time.Time         // when the newest of the answered openings was sent
	lastSweepAt          time.Time
	outstanding          []*flow // flows with an outstanding request; may contain others
	outstandingCheckedAt time.Time
	adoptedAt            time.Time             // when the last flow of another instance was adopted
	awaiting             []awaitedResponse     // in the order of the requests
	closedAt             map[FlowKey]time.Time // flows that ended a moment ago; at most maxFlows
	foreignAt            time.Time             // when the last packet of another instance's flow arrived
	admission            admission             // nil if every opening is sent at once
	held                 map[FlowKey]*heldPacket
	refusedAt            map[FlowKey]time.Time // when openings were refused for lack of room; at most maxFlows
	complete             []completeResponse    // in the order of their last acknowledgment
	completeShort        []completeResponse    // the same of short ones, after completionTime
	silence              silence
	follower             follower
	resetter             resetter
	questions            []question // in the order of repeatAt; at most maxQuestions
	firstCopies          []question // whose callers may retransmit again, in the order of askedAt; at most maxQuestions
	openings             openings
	issuesServerTokens   atomic.Bool // see IssueServerTokens
}

// NewSteerer returns a Steerer that decides by the view that currentView returns;
// justResumed reports whether the process has just resumed after a pause.
func NewSteerer(currentView func() *viewer.View, justResumed func(now time.Time) bool, placer serverSelector, examiner responseRecorder, observer Observer) *Steerer {
	return &Steerer{
		currentView: currentView, justResumed: justResumed, placer: placer, examiner: examiner, observer: observer,
		flows: map[FlowKey]*flow{}, closedAt: map[FlowKey]time.Time{}, refusedAt: map[FlowKey]time.Time{}, held: map[FlowKey]*heldPacket{}, follower: newFollower(),
	}
}

// Decide returns the verdict on one packet from a caller.
func (steerer *Steerer) Decide(packet *Packet, now time.Time) Verdict {
	view := steerer.currentView()
	verdict := Verdict{Flow: packet.Flow, Raw: packet.Raw, ResetSequence: packet.Acknowledgment}
	switch {
	case !view.Complete():
		verdict.Reason = ReasonNoView
	case packet.Flags.SYN && packet.Flags.ACK:
		verdict.Reason = ReasonFromServer
	case packet.IsOpening():
		steerer.decideOpening(packet, view, &verdict, now)
	default:
		steerer.forwardByToken(packet, view, &verdict, now)
	}
	steerer.issueToken(&verdict, view)
	if verdict.Reason != ReasonExistingFlow && verdict.Reason != ReasonEvacuatedFlow {
		steerer.observer.Decided(&verdict, view)
	}
	return verdict
}

// placeOpening sends an opening to the flow's server if the flow is established,
// and otherwise to a server that it was not sent to before, if there is one; then the
// retransmission counts as an unanswered opening of the previous server. An opening with
// another sequence number, or more than retransmissionWindow after the first, begins a
// new flow. The opening goes to the service that it was admitted for while that is possible;
// admittedService is empty if there is none.
func (steerer *Steerer) placeOpening(packet *Packet, admittedService string, view *viewer.View, verdict *Verdict, now time.Time) {
	flow := steerer.flows[packet.Flow]
	if flow != nil && (flow.openingSequence != packet.Sequence || now.Sub(flow.openedAt) > retransmissionWindow) {
		steerer.endFlow(flow, EndPortReused, now)
		flow = nil
	}
	if flow != nil && flow.established {
		steerer.repeatOpening(flow, view, verdict, now)
		return
	}
	server := steerer.selectServer(packet.Flow, admittedService, flow, view, verdict, now)
	if server == nil {
		return
	}
	verdict.Action, verdict.Server, verdict.Reason = Send, server, ReasonRetransmitted
	if flow == nil {
		verdict.Reason = ReasonNewFlow
		flow = steerer.track(packet, now)
	} else if steerer.confirmsOpenings() {
		steerer.noticeRetransmission(flow, now)
	} else {
		steerer.recordUnanswered(flow.server, now)
	}
	steerer.placer.OpeningSent(server, now)
	if flow != nil {
		steerer.recordAttempt(flow, server, now)
	}
}

// repeatOpening sends a late copy of an established flow's opening to its server, if that may
// get a new flow of the route now; otherwise it is dropped, as the flow does not need it.
func (steerer *Steerer) repeatOpening(flow *flow, view *viewer.View, verdict *Verdict, now time.Time) {
	flow.server = newestEntry(flow.server, view.EntryOf(flow.server))
	if !mayGetFlows(flow.server, view.Route(flow.key.ServiceAddress), view) {
		verdict.Reason = ReasonLateCopy
		return
	}
	if !steerer.placer.MayOpen(flow.server, now) {
		verdict.Reason = ReasonWarmingUp
		return
	}
	steerer.placer.OpeningSent(flow.server, now)
	verdict.Action, verdict.Server, verdict.Reason = Send, flow.server, ReasonRetransmitted
}

// selectServer returns the server for an opening, or nil after setting the refusal
// in verdict; flow is nil if the flow is not tracked yet, and admittedService is empty if the
// opening was not admitted for a service.
func (steerer *Steerer) selectServer(key FlowKey, admittedService string, flow *flow, view *viewer.View, verdict *Verdict, now time.Time) *viewer.BackendServer {
	route := view.Route(key.ServiceAddress)
	if route == nil {
		steerer.refuse(verdict, ReasonNoRoute, now)
		return nil
	}
	var attempted []*viewer.BackendServer
	if flow != nil {
		attempted = flow.attempted
	}
	service := selectService(key, admittedService, route, view)
	if service == "" {
		steerer.refuse(verdict, noServiceReason(route, view), now)
		return nil
	}
	candidates := view.ActiveServers(service)
	verdict.Candidates, verdict.Attempts = len(candidates), len(attempted)
	server, reason := steerer.selectIdentified(key, candidates, attempted, view, now)
	switch {
	case server != nil:
	case len(attempted) > 0: // a server may have accepted the flow
		verdict.Action, verdict.Reason = Drop, reason
	default:
		steerer.refuse(verdict, reason, now)
	}
	return server
}

// refuse resets a flow that cannot be served. Just after a pause of the process it
// drops the packet instead: the view may be outdated, and the opening may be a
// delayed copy of one that another instance has already served.
func (steerer *Steerer) refuse(verdict *Verdict, reason Reason, now time.Time) {
	verdict.Action, verdict.Reason = Reset, reason
	if steerer.justResumed(now) {
		verdict.Action, verdict.Reason = Drop, ReasonJustResumed
	}
}

// forwardByToken forwards a later packet to the server that its token names.
func (steerer *Steerer) forwardByToken(packet *Packet, view *viewer.View, verdict *Verdict, now time.Time) {
	server, reason := serverOf(packet, view)
	if server == nil {
		verdict.Reason = reason
		return
	}
	verdict.Action, verdict.Server, verdict.Token, verdict.Reason = Send, server, packet.Token, ReasonExistingFlow
	if view.Evacuations.Contains(server.FailureDomain) {
		verdict.Reason = ReasonEvacuatedFlow
	}
	flow := steerer.flows[packet.Flow]
	if flow == nil {
		steerer.noticeArrival(packet, now)
	}
	if flow == nil || flow.isAdopted {
		steerer.noticeUntracked(packet.Flow, now)
	}
	if flow == nil {
		steerer.adopt(packet, server, now)
	} else {
		steerer.observe(flow, packet, server, now)
	}
	sign := steerer.follower.observe(packet, server, now)
	steerer.resetter.recordSign(server, packet, sign, now)
	steerer.answerForGone(packet, sign, verdict, now)
	if sign.isCopy && verdict.Action == Send && steerer.confirmsOpenings() {
		steerer.ask(packet, server, sign, now)
	}
}

// Next returns the next verdict that is due without a packet, or false after expiring idle
// flows if there is none. A time without an answer ends at drained: all packets that arrived
// before it have been passed to Decide, while the answer may be among later ones that still
// wait in the receive queue.
func (steerer *Steerer) Next(now, drained time.Time) (Verdict, bool) {
	steerer.placer.ObserveView(now)
	steerer.readmitServers(now)
	if verdict, ok := steerer.nextOpening(now, drained); ok {
		steerer.issueToken(&verdict, steerer.currentView())
		return verdict, true
	}
	if verdict, ok := steerer.nextReset(now); ok {
		return verdict, true
	}
	if verdict, ok := steerer.nextRepeat(now); ok {
		return verdict, true
	}
	steerer.reportLostRequests(now, drained)
	steerer.reportAnswered(drained)
	steerer.reportComplete(now)
	steerer.expireRequests(now)
	steerer.expireFlows(now)
	return Verdict{}, false
}

// nextOpening returns the next verdict on an opening that was overdue or held.
func (steerer *Steerer) nextOpening(now, drained time.Time) (Verdict, bool) {
	if verdict, ok := steerer.nextRetry(now, drained); ok {
		return verdict, true
	}
	return steerer.nextHeld(now)
}

// WakeTime returns when Next has to be called even if no packet arrives before; the zero
// time if it need not be called.
func (steerer *Steerer) WakeTime() time.Time {
	steerer.dropAnswered()
	var retryAt time.Time
	if len(steerer.unanswered) > 0 {
		retryAt = steerer.unanswered[0].openingSentAt.Add(answerTimeout)
	}
	wakeAt := earliest(earliest(retryAt, steerer.resetter.wakeTime()), steerer.heldWakeTime())
	return earliest(earliest(wakeAt, steerer.repeatWakeTime()), steerer.outstandingWakeTime())
}
