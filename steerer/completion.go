package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/admitter"
)

// completionTime is how long after the last acknowledgment a response counts as complete.
const completionTime = 60 * time.Millisecond

// shortCompletionTime is the same for a response that is much shorter than usual: a lost packet is
// sent again after 200 ms.
const shortCompletionTime = 250 * time.Millisecond

// completeResponse is a response that may be complete.
type completeResponse struct {
	flow *flow
	at   time.Time // when its last acknowledgment arrived
}

// awaitCompletion notes that the flow's response may be complete, if its last acknowledgment
// arrives now.
func (steerer *Steerer) awaitCompletion(flow *flow, now time.Time) {
	if flow.acknowledgedAt.Equal(now) && !flow.isOutcomeKnown && steerer.controlsAdmission() {
		steerer.complete = append(steerer.complete, completeResponse{flow: flow, at: now})
	}
}

// reportComplete tells the admission of the responses of which nothing has been acknowledged
// for completionTime, or for shortCompletionTime if they are short.
func (steerer *Steerer) reportComplete(now time.Time) {
	for len(steerer.complete) > 0 && now.Sub(steerer.complete[0].at) >= completionTime {
		complete := steerer.complete[0]
		steerer.complete = steerer.complete[1:]
		switch {
		case !complete.isLast():
		case steerer.isShort(complete.flow):
			steerer.completeShort = append(steerer.completeShort, complete)
		default:
			steerer.recordOutcome(complete.flow, now)
		}
	}
	for len(steerer.completeShort) > 0 && now.Sub(steerer.completeShort[0].at) >= shortCompletionTime {
		complete := steerer.completeShort[0]
		steerer.completeShort = steerer.completeShort[1:]
		if complete.isLast() {
			steerer.recordOutcome(complete.flow, now)
		}
	}
}

// isLast reports whether nothing more of the response was acknowledged.
func (completeResponse completeResponse) isLast() bool {
	return completeResponse.flow.acknowledgedAt.Equal(completeResponse.at)
}

// recordOutcome tells the admission once of the flow's last response.
func (steerer *Steerer) recordOutcome(flow *flow, now time.Time) {
	responseTime := flow.responseTime()
	if flow.isOutcomeKnown || responseTime == 0 || !steerer.controlsAdmission() {
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
		IsShort:   steerer.isShort(flow),
	}, now)
}

// wasShed reports whether the flow's last response looks like that of a server whose queue was
// full. The time that it took says nothing of the server's speed.
func (steerer *Steerer) wasShed(flow *flow) bool {
	return steerer.controlsAdmission() && steerer.isShort(flow)
}

// isShort reports whether the flow's last response is much shorter than usual on its route.
func (steerer *Steerer) isShort(flow *flow) bool {
	return steerer.examiner.IsShort(flow.key.ServiceAddress, flow.lastAcknowledgment-flow.requestAcknowledgment)
}
