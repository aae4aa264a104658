package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// answerWindow is how long after an answered opening other domains count as reachable.
	answerWindow = 500 * time.Millisecond
	// minSilence is how long openings stay unanswered before other domains count as out of
	// reach; until then they are retried elsewhere.
	minSilence = 300 * time.Millisecond
)

// Reach is what an instance knows of its ways to servers and to the rest of the fleet.
type Reach struct {
	FailureDomain   string        // of the instance
	OtherDomainLeft bool          // an instance of a domain that is not evacuated is known
	ViewAge         time.Duration // since the view was last confirmed
	MaxCalmAge      time.Duration // that the view does not exceed while the store, or an instance that reaches it, can be reached
	Answers         Answers
}

// LacksServers reports whether an instance has no server that it may and can send new flows
// to: its own failure domain is evacuated, and it reaches no other, or the others' servers are
// not in its view, as when their domain is cut off from the store. Its packets then pass
// through instances of other domains, which reach their servers. If no domain is left, it goes
// on and refuses.
func (reach *Reach) LacksServers(view *viewer.View) bool {
	if !reach.OtherDomainLeft || !view.Evacuations.Contains(reach.FailureDomain) {
		return false
	}
	return !view.HasServerLeft() || reach.isCutOff()
}

// isCutOff reports whether an instance without servers in its own domain reaches no other:
// openings get no answer, and the view has not been confirmed since; or, with too few
// openings, the view is old.
func (reach *Reach) isCutOff() bool {
	if reach.Answers.SilentFor >= minSilence && reach.ViewAge > reach.Answers.SilentFor {
		return true
	}
	return reach.ViewAge > reach.MaxCalmAge && reach.Answers.SinceLast > answerWindow
}
