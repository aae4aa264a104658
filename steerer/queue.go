package steerer

import (
	"maps"
	"time"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/viewer"
)

// admission decides which openings are sent when room is short; admitter.Admitter implements it.
type admission interface {
	// IsEnabled reports whether openings may be held or refused; otherwise nothing is recorded.
	IsEnabled() bool
	Decide(opening admitter.Opening, now time.Time) admitter.Decision
	// Withdraw undoes the admission of an opening that was not sent.
	Withdraw(opening admitter.Opening, now time.Time)
	Next(now time.Time) (admitter.Result, bool)
	WakeTime() time.Time
	RecordResponse(service string, response admitter.Response, now time.Time)
	// RequestBegan counts a request, or an opening, as outstanding at a service until RequestEnded.
	RequestBegan(service string, now time.Time)
	RequestEnded(service string, now time.Time)
}

// heldPacket is an opening that waits for a place. It has not been sent to any server.
type heldPacket struct {
	Packet
	opening admitter.Opening
}

// UseAdmission sets what decides which openings are sent when room is short.
func (steerer *Steerer) UseAdmission(admission admission) { steerer.admission = admission }

// decideOpening sends an opening to a server now, unless it waits for a place or is refused for
// lack of room. A copy of an opening that is not held here may have been sent to a server by
// another instance, so it is never held or refused; nor is any opening just after a pause of the
// process, when it may be a late copy itself, or while maxFlows are tracked, when copies of those
// beyond are not known.
func (steerer *Steerer) decideOpening(packet *Packet, view *viewer.View, verdict *Verdict, now time.Time) {
	if steerer.held[packet.Flow] != nil {
		verdict.Reason = ReasonHeldCopy
		return
	}
	if packet.Acknowledgment > 0 && steerer.wasRefused(packet.Flow, now) {
		verdict.Reason = ReasonRefusedCopy
		return
	}
	isCopy := packet.Acknowledgment > 0 || steerer.flows[packet.Flow] != nil
	isFull := len(steerer.held) >= maxFlows || len(steerer.flows) >= maxFlows
	route := view.Route(packet.Flow.ServiceAddress)
	if !steerer.controlsAdmission() || route == nil || isCopy || isFull || steerer.justResumed(now) {
		steerer.placeOpening(packet, "", view, verdict, now)
		return
	}
	service := selectService(packet.Flow, "", route, view)
	if service == "" {
		steerer.placeOpening(packet, "", view, verdict, now)
		return
	}
	opening := admitter.Opening{Flow: flowID(packet.Flow), Service: service, Class: classOf(route), Objective: route.Objective}
	verdict.Class = opening.Class
	if steerer.admits(packet, opening, verdict, now) {
		steerer.placeAdmitted(packet, opening, view, verdict, now)
	}
}

// admits asks the admission about an opening, and holds or refuses the opening if it says so.
func (steerer *Steerer) admits(packet *Packet, opening admitter.Opening, verdict *Verdict, now time.Time) bool {
	if !steerer.controlsAdmission() {
		return true
	}
	switch steerer.admission.Decide(opening, now) {
	case admitter.Hold:
		verdict.Reason = ReasonHeld
		held := &heldPacket{Packet: *packet, opening: opening}
		held.Raw = append([]byte(nil), packet.Raw...)
		steerer.held[packet.Flow] = held
		return false
	case admitter.Refuse:
		steerer.refuse(verdict, ReasonNoRoom, now)
		steerer.rememberRefused(packet.Flow, now)
		return false
	default:
		return true
	}
}

// placeAdmitted sends an admitted opening to a server, or takes its admission back.
func (steerer *Steerer) placeAdmitted(packet *Packet, opening admitter.Opening, view *viewer.View, verdict *Verdict, now time.Time) {
	steerer.placeOpening(packet, opening.Service, view, verdict, now)
	if verdict.Action != Send {
		steerer.admission.Withdraw(opening, now)
	}
}

// placeReleased sends an opening whose wait has ended to a server. If its service gets no flows of
// the route any more, or has no server left, the opening has waited for a place at another than it
// gets, so the admission decides anew.
func (steerer *Steerer) placeReleased(held *heldPacket, view *viewer.View, verdict *Verdict, now time.Time) {
	opening, service := held.opening, ""
	if route := view.Route(held.Flow.ServiceAddress); route != nil {
		service = selectService(held.Flow, opening.Service, route, view)
	}
	if service != "" && service != opening.Service {
		steerer.admission.Withdraw(opening, now)
		opening.Service = service
		if !steerer.admits(&held.Packet, opening, verdict, now) {
			return
		}
	}
	steerer.placeAdmitted(&held.Packet, opening, view, verdict, now)
	if verdict.Reason == ReasonNewFlow {
		verdict.Reason = ReasonReleased
	}
}

// controlsAdmission reports whether openings may be held or refused for lack of room.
func (steerer *Steerer) controlsAdmission() bool {
	return steerer.admission != nil && steerer.admission.IsEnabled()
}

// nextHeld returns the verdict on the next opening whose wait has ended, or false if there is none.
func (steerer *Steerer) nextHeld(now time.Time) (Verdict, bool) {
	if len(steerer.held) == 0 {
		return Verdict{}, false
	}
	result, ok := steerer.admission.Next(now)
	if !ok {
		return Verdict{}, false
	}
	key := FlowKey{CallerAddress: result.Flow.Caller, ServiceAddress: result.Flow.Service}
	held := steerer.held[key]
	delete(steerer.held, key)
	view := steerer.currentView()
	verdict := Verdict{Flow: key, Raw: held.Raw, ResetSequence: held.Acknowledgment, Class: held.opening.Class, Waited: result.Waited}
	switch {
	case result.Decision != admitter.Refuse:
		steerer.placeReleased(held, view, &verdict, now)
	case result.IsLate: // the caller may have opened the flow through another instance meanwhile
		verdict.Reason = ReasonJustResumed
	default:
		steerer.refuse(&verdict, ReasonNoRoom, now)
		steerer.rememberRefused(key, now)
	}
	steerer.observer.Decided(&verdict, view)
	return verdict, true
}

// rememberRefused notes that an opening was refused for lack of room: a copy of it may already wait
// in the socket, and must not reach a server after the refusal.
func (steerer *Steerer) rememberRefused(key FlowKey, now time.Time) {
	if len(steerer.refusedAt) < maxFlows {
		steerer.refusedAt[key] = now
	}
}

// wasRefused reports whether an opening was refused here a moment ago.
func (steerer *Steerer) wasRefused(key FlowKey, now time.Time) bool {
	refusedAt, ok := steerer.refusedAt[key]
	return ok && now.Sub(refusedAt) < retransmissionWindow
}

// expireRefused forgets the refusals of which no copies come any more.
func (steerer *Steerer) expireRefused(now time.Time) {
	maps.DeleteFunc(steerer.refusedAt, func(_ FlowKey, at time.Time) bool { return now.Sub(at) > retransmissionWindow })
}

// heldWakeTime returns when the next held opening or complete response is due.
func (steerer *Steerer) heldWakeTime() time.Time {
	var wakeAt time.Time
	if len(steerer.held) > 0 {
		wakeAt = steerer.admission.WakeTime()
	}
	if len(steerer.complete) > 0 {
		wakeAt = earliest(wakeAt, steerer.complete[0].at.Add(completionTime))
	}
	if len(steerer.completeShort) > 0 {
		wakeAt = earliest(wakeAt, steerer.completeShort[0].at.Add(shortCompletionTime))
	}
	return wakeAt
}

func classOf(route *viewer.Route) admitter.Class {
	return admitter.Class{Priority: route.Priority, IsRepeatable: route.IsRepeatable}
}

func flowID(key FlowKey) admitter.FlowID {
	return admitter.FlowID{Caller: key.CallerAddress, Service: key.ServiceAddress}
}
