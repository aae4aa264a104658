package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/viewer"
)

// completionTime is how long after the last acknowledgment a response counts as complete.
const completionTime = 60 * time.Millisecond

// admission decides which openings are sent when room is short; admitter.Admitter implements it.
type admission interface {
	Decide(opening admitter.Opening, now time.Time) admitter.Decision
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
	class admitter.Class
}

// completeResponse is a response that may be complete.
type completeResponse struct {
	flow *flow
	at   time.Time // when its last acknowledgment arrived
}

// UseAdmission sets what decides which openings are sent when room is short.
func (steerer *Steerer) UseAdmission(admission admission) { steerer.admission = admission }

// admit reports whether an opening is to be sent to a server now. Otherwise it has set the
// verdict. A copy of an opening that is not held here may have been sent to a server by another
// instance, so it is never held or refused; nor is any opening just after a pause of the
// process, when it may be a late copy itself.
func (steerer *Steerer) admit(packet *Packet, view *viewer.View, verdict *Verdict, now time.Time) bool {
	if steerer.held[packet.Flow] != nil {
		verdict.Reason = ReasonHeldCopy
		return false
	}
	route := view.Route(packet.Flow.ServiceAddress)
	isCopy := packet.Acknowledgment > 0 || steerer.flows[packet.Flow] != nil
	if steerer.admission == nil || route == nil || isCopy || len(steerer.held) >= maxFlows || steerer.justResumed(now) {
		return true
	}
	service := steerer.drawService(route)
	if len(view.ActiveServers(service)) == 0 {
		return true
	}
	class := classOf(route)
	verdict.Class = class
	opening := admitter.Opening{Flow: flowID(packet.Flow), Service: service, Class: class, Objective: route.Objective}
	switch steerer.admission.Decide(opening, now) {
	case admitter.Hold:
		verdict.Reason = ReasonHeld
		held := &heldPacket{Packet: *packet, class: class}
		held.Raw = append([]byte(nil), packet.Raw...)
		steerer.held[packet.Flow] = held
		return false
	case admitter.Refuse:
		verdict.Action, verdict.Reason = Reset, ReasonNoRoom
		return false
	default:
		return true
	}
}

// nextHeld returns the verdict on the next opening whose wait has ended, or false if there is none.
func (steerer *Steerer) nextHeld(now time.Time) (Verdict, bool) {
	if steerer.admission == nil {
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
	verdict := Verdict{Flow: key, Raw: held.Raw, ResetSequence: held.Acknowledgment, Class: held.class, Waited: result.Waited}
	if result.Decision == admitter.Refuse {
		verdict.Action, verdict.Reason = Reset, ReasonNoRoom
	} else {
		steerer.placeOpening(&held.Packet, view, &verdict, now)
		if verdict.Reason == ReasonNewFlow {
			verdict.Reason = ReasonReleased
		}
	}
	steerer.observer.Decided(&verdict, view)
	return verdict, true
}

// heldWakeTime returns when the next held opening or complete response is due.
func (steerer *Steerer) heldWakeTime() time.Time {
	if steerer.admission == nil {
		return time.Time{}
	}
	wakeAt := steerer.admission.WakeTime()
	if len(steerer.complete) > 0 {
		wakeAt = earliest(wakeAt, steerer.complete[0].at.Add(completionTime))
	}
	return wakeAt
}

// awaitCompletion notes that the flow's response may be complete, if its last acknowledgment
// arrives now.
func (steerer *Steerer) awaitCompletion(flow *flow, now time.Time) {
	if steerer.admission != nil && flow.acknowledgedAt.Equal(now) && !flow.isOutcomeKnown {
		steerer.complete = append(steerer.complete, completeResponse{flow: flow, at: now})
	}
}

// reportComplete tells the admission of the responses of which nothing has been acknowledged
// for completionTime.
func (steerer *Steerer) reportComplete(now time.Time) {
	for len(steerer.complete) > 0 && now.Sub(steerer.complete[0].at) >= completionTime {
		complete := steerer.complete[0]
		steerer.complete = steerer.complete[1:]
		if complete.flow.acknowledgedAt.Equal(complete.at) {
			steerer.recordOutcome(complete.flow, now)
		}
	}
}

// recordOutcome tells the admission once of the flow's last response.
func (steerer *Steerer) recordOutcome(flow *flow, now time.Time) {
	responseTime := flow.responseTime()
	if steerer.admission == nil || flow.isOutcomeKnown || responseTime == 0 {
		return
	}
	flow.isOutcomeKnown = true
	route := steerer.currentView().Route(flow.key.ServiceAddress)
	if route == nil {
		return
	}
	steerer.admission.RecordResponse(flow.server.Service, admitter.Response{
		Class:     classOf(route),
		Duration:  responseTime,
		Objective: route.Objective,
		IsShort:   steerer.examiner.IsShort(flow.key.ServiceAddress, flow.lastAcknowledgment-flow.requestAcknowledgment),
	}, now)
}

func classOf(route *viewer.Route) admitter.Class {
	return admitter.Class{Priority: route.Priority, IsRepeatable: route.IsRepeatable}
}

func flowID(key FlowKey) admitter.FlowID {
	return admitter.FlowID{Caller: key.CallerAddress, Service: key.ServiceAddress}
}

// wasShed reports whether the flow's last response looks like that of a server whose queue was
// full. The time that it took says nothing of the server's speed.
func (steerer *Steerer) wasShed(flow *flow) bool {
	return steerer.admission != nil && steerer.examiner.IsShort(flow.key.ServiceAddress, flow.lastAcknowledgment-flow.requestAcknowledgment)
}
