package steerer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// minSilentOpenings is the number of flows without an answer from which a silence is more than
	// a server that does not answer.
	minSilentOpenings = 4
	// maxSilentOpenings bounds the openings whose times are kept.
	maxSilentOpenings = 256
)

// silence notes since when no caller has confirmed that a server answered its opening. An answer
// only ends it for the openings that were sent before the answered one: the others may be without
// an answer because this instance was cut off in between.
type silence struct {
	sentAt     []time.Time               // when the openings since the newest answered one were sent; at most maxSilentOpenings
	answeredAt atomic.Pointer[time.Time] // nil before the first answer
	since      atomic.Pointer[time.Time] // the first of sentAt; nil while there are fewer than minSilentOpenings
}

// openingSent notes that a new flow's opening is sent to a server.
func (silence *silence) openingSent(now time.Time) {
	if len(silence.sentAt) < maxSilentOpenings {
		silence.sentAt = append(silence.sentAt, now)
	}
	silence.update()
}

// answered notes that a caller confirmed an answer to an opening that was sent at a time.
func (silence *silence) answered(sentAt, now time.Time) {
	later := 0
	for later < len(silence.sentAt) && !silence.sentAt[later].After(sentAt) {
		later++
	}
	silence.sentAt = append(silence.sentAt[:0], silence.sentAt[later:]...)
	silence.update()
	silence.answeredAt.Store(&now)
}

// update sets since.
func (silence *silence) update() {
	if len(silence.sentAt) < minSilentOpenings {
		silence.since.Store(nil)
		return
	}
	since := silence.sentAt[0]
	silence.since.Store(&since)
}

// Answers says how long ago servers last answered this instance's openings.
type Answers struct {
	SinceLast time.Duration // since a caller last confirmed an answer; the longest duration if none has
	SilentFor time.Duration // since the first opening without an answer was sent, if several have none; else 0
}

// Answers returns what is known of the servers' answers, if every packet that arrived before now has been
// decided on. It may be called concurrently.
func (steerer *Steerer) Answers(now time.Time) Answers {
	answers := Answers{SinceLast: math.MaxInt64}
	if answeredAt := steerer.silence.answeredAt.Load(); answeredAt != nil {
		answers.SinceLast = now.Sub(*answeredAt)
	}
	if since := steerer.silence.since.Load(); since != nil {
		answers.SilentFor = now.Sub(*since)
	}
	return answers
}
