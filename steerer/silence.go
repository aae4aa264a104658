package steerer

import (
	"sync/atomic"
	"time"
)

// minSilentOpenings is the number of flows without an answer from which a silence is more than
// a server that does not answer.
const minSilentOpenings = 4

// silence notes since when no caller has confirmed that a server answered its opening.
type silence struct {
	openings   int          // flows opened since the last answer
	firstAt    time.Time    // when the first of them was sent to a server
	answeredAt atomic.Int64 // Unix nanoseconds; 0 before the first answer
	since      atomic.Int64 // firstAt in Unix nanoseconds; 0 while there are fewer than minSilentOpenings
}

// openingSent notes that a new flow's opening is sent to a server.
func (silence *silence) openingSent(now time.Time) {
	if silence.openings == 0 {
		silence.firstAt = now
	}
	silence.openings++
	if silence.openings == minSilentOpenings {
		silence.since.Store(silence.firstAt.UnixNano())
	}
}

// end notes that a caller confirmed an answer.
func (silence *silence) end(now time.Time) {
	silence.openings = 0
	silence.since.Store(0)
	silence.answeredAt.Store(now.UnixNano())
}

// Answers says how long ago servers last answered this instance's openings.
type Answers struct {
	SinceLast time.Duration // since a caller last confirmed an answer; decades if none has
	SilentFor time.Duration // since the first opening without an answer was sent, if several have none; else 0
}

// Answers returns what is known of the servers' answers. It may be called concurrently.
func (steerer *Steerer) Answers(now time.Time) Answers {
	answers := Answers{SinceLast: now.Sub(time.Unix(0, steerer.silence.answeredAt.Load()))}
	if since := steerer.silence.since.Load(); since != 0 {
		answers.SilentFor = now.Sub(time.Unix(0, since))
	}
	return answers
}
