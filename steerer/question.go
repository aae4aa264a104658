package steerer

import (
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// A server acknowledges a copy of data at once, also while the request waits in its queue. So a copy
// is a question whether the server answers, and the caller's next copy says that it had no answer.
// As packets get lost on the way to the server and back, the instance sends the copy several times.

const (
	// questionRepeats is how often a copy of data is sent again, every repeatInterval.
	questionRepeats = 5
	repeatInterval  = 40 * time.Millisecond
	// maxQuestions bounds the copies that are to be sent again.
	maxQuestions = 1000
)

// overdueTime is how much later than it is due a caller's next copy may come.
const overdueTime = 100 * time.Millisecond

// question is a copy of data that is to be sent again.
type question struct {
	packet   Packet // with content of its own
	server   *viewer.BackendServer
	askedAt  time.Time // when the copy was sent first
	repeats  int
	repeatAt time.Time
	dueAt    time.Time // when its caller retransmits again, if it is the first copy
}

// ask notes that a copy of data is sent to a server, to be sent again.
func (steerer *Steerer) ask(packet *Packet, server *viewer.BackendServer, sign sign, now time.Time) {
	if len(steerer.questions) >= maxQuestions {
		return
	}
	asked := question{packet: *packet, server: server, askedAt: now, repeatAt: now.Add(repeatInterval), dueAt: sign.dueAt}
	asked.packet.Raw = slices.Clone(packet.Raw)
	steerer.questions = append(steerer.questions, asked)
	if !asked.dueAt.IsZero() && len(steerer.firstCopies) < maxQuestions {
		asked.packet.Raw = nil
		steerer.firstCopies = append(steerer.firstCopies, asked)
	}
}

// reportAnswered reports the servers whose callers have not retransmitted again although they would have
// by drained, up to which every packet that arrived was decided on, unless flows have moved since.
func (steerer *Steerer) reportAnswered(drained time.Time) {
	for len(steerer.firstCopies) > 0 && drained.Sub(steerer.firstCopies[0].dueAt) > overdueTime {
		first := steerer.firstCopies[0]
		steerer.firstCopies = steerer.firstCopies[1:]
		if steerer.follower.waitsSince(&first.packet, first.askedAt) && steerer.openings.movedAt.Before(first.askedAt) {
			steerer.resetter.recorder.RecordAnswered(first.server, first.dueAt)
		}
	}
}

// nextRepeat returns the next copy that is due to be sent again, or false if there is none.
func (steerer *Steerer) nextRepeat(now time.Time) (Verdict, bool) {
	for len(steerer.questions) > 0 && !now.Before(steerer.questions[0].repeatAt) {
		question := steerer.questions[0]
		steerer.questions = steerer.questions[1:]
		if !steerer.follower.waitsSince(&question.packet, question.askedAt) || now.Sub(question.repeatAt) > repeatInterval {
			continue
		}
		question.repeats++
		question.repeatAt = now.Add(repeatInterval)
		if question.repeats < questionRepeats {
			steerer.questions = append(steerer.questions, question)
		}
		return Verdict{Action: Send, Reason: ReasonCopyRepeated, Flow: question.packet.Flow, Server: question.server, Token: question.packet.Token, Raw: question.packet.Raw}, true
	}
	return Verdict{}, false
}

// repeatWakeTime returns when nextRepeat has to be called, or the zero time.
func (steerer *Steerer) repeatWakeTime() time.Time {
	if len(steerer.questions) == 0 {
		return time.Time{}
	}
	return steerer.questions[0].repeatAt
}
