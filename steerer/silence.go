package steerer

import (
	"math"
	"sync/atomic"
	"time"
)

// minSilentOpenings is the number of flows without an answer from which a silence is more than
// a server that does not answer.
const minSilentOpenings = 4

// silence notes since when no caller has confirmed that a server answered its opening.
type silence struct {
	openings   int                       // flows opened since the last answer
	firstAt    time.Time                 // when the first of them was sent to a server
	answeredAt atomic.Pointer[time.Time] // nil before the first answer
	since      atomic.Pointer[time.Time] // firstAt; nil while there are fewer than minSilentOpenings
}

// openingSent notes that a new flow's opening is sent to a server.
func (silence *silence) openingSent(now time.Time) {
	if silence.openings == 0 {
		silence.firstAt = now
	}
	silence.openings++
	if silence.openings == minSilentOpenings {
		since := silence.firstAt
		silence.since.Store(&since)
	}
}

// end notes that a caller confirmed an answer.
func (silence *silence) end(now time.Time) {
	silence.openings = 0
	silence.since.Store(nil)
	silence.answeredAt.Store(&now)
}

// Answers says how long ago servers last answered this instance's openings.
type Answers struct {
	SinceLast time.Duration // since a caller last confirmed an answer; the longest duration if none has
	SilentFor time.Duration // since the first opening without an answer was sent, if several have none; else 0
}

// Answers returns what is known of the servers' answers. It may be called concurrently.
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
