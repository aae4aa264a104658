package director

import (
	"time"

	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// maxCalmAge is the age that the view of an instance does not exceed while it reaches the
	// store, or an instance that does.
	maxCalmAge = relayer.ReadInterval + 400*time.Millisecond
	// answerWindow is how long after an answered opening other domains count as reachable.
	answerWindow = 500 * time.Millisecond
	// minSilence is how long openings stay unanswered before other domains count as out of
	// reach; until then they are retried elsewhere.
	minSilence = 300 * time.Millisecond
)

// lacksServers reports whether an instance has no server that it may and can send new flows
// to: its own failure domain is evacuated, and it reaches no other, or the others' servers are
// not in its view, as when their domain is cut off from the store. Its packets then pass
// through instances of other domains, which reach their servers. If no domain is left, as
// domainLeft says, it goes on and refuses.
func lacksServers(view *viewer.View, failureDomain string, domainLeft bool, age time.Duration, answers steerer.Answers) bool {
	if !domainLeft || !view.Evacuations.Contains(failureDomain) {
		return false
	}
	return !view.HasServerLeft() || isCutOff(age, answers)
}

// isCutOff reports whether an instance without servers in its own domain reaches no other:
// openings get no answer, and the view has not been confirmed since; or, with too few
// openings, the view is old.
func isCutOff(age time.Duration, answers steerer.Answers) bool {
	if answers.SilentFor >= minSilence && age > answers.SilentFor {
		return true
	}
	return age > maxCalmAge && answers.SinceLast > answerWindow
}
