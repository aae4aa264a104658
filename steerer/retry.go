package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// nextRetry returns the verdict that sends the next overdue opening to another server, or
// false if no opening is overdue.
func (steerer *Steerer) nextRetry(now, drained time.Time) (Verdict, bool) {
	for steerer.dropAnswered(); len(steerer.unanswered) > 0; steerer.dropAnswered() {
		oldest := steerer.unanswered[0]
		if drained.Sub(oldest.openingSentAt) < answerTimeout {
			break
		}
		steerer.unanswered = steerer.unanswered[1:]
		if verdict, ok := steerer.retryOpening(oldest, now); ok {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// dropAnswered removes the flows at the head of unanswered whose opening needs no retry.
func (steerer *Steerer) dropAnswered() {
	for len(steerer.unanswered) > 0 && (steerer.unanswered[0].established || steerer.unanswered[0].ended) {
		steerer.unanswered = steerer.unanswered[1:]
	}
}

// recordUnanswered counts an unanswered opening against a server and reports the
// server to the observer if it is ejected for it.
func (steerer *Steerer) recordUnanswered(server *viewer.BackendServer, now time.Time) {
	steerer.reportLost(server, now)
	if steerer.placer.OpeningUnanswered(server, now) {
		steerer.observer.ServerEjected(server)
	}
}

// retryOpening sends an overdue opening to another server, or returns false if it
// has no attempts or servers left.
func (steerer *Steerer) retryOpening(flow *flow, now time.Time) (Verdict, bool) {
	// The missing answer counts against the server only if an opening that was sent
	// later has been answered. Otherwise the network fabric may have changed its set of
	// instances, so that the callers' packets now reach another instance.
	switch {
	case !steerer.newestAnsweredSentAt.After(flow.openingSentAt):
	case steerer.confirmsOpenings():
		steerer.reportLost(flow.server, now)
		flow.reported = len(flow.attempted)
	default:
		steerer.recordUnanswered(flow.server, now)
	}
	if len(flow.attempted) >= maxAttempts {
		return Verdict{}, false
	}
	view := steerer.currentView()
	verdict := Verdict{Flow: flow.key, Raw: flow.openingPacket}
	server := steerer.selectServer(flow.key, "", flow, view, &verdict, now)
	if server == nil || viewer.Contains(flow.attempted, server) {
		return Verdict{}, false
	}
	verdict.Action, verdict.Server, verdict.Reason = Send, server, ReasonRetried
	steerer.placer.OpeningSent(server, now)
	steerer.recordAttempt(flow, server, now)
	steerer.observer.Decided(&verdict, view)
	return verdict, true
}
