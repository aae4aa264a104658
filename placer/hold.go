package placer

import "time"

const (
	// silentLimit is how many openings in a row a server may leave unanswered;
	// one can be a lost packet.
	silentLimit = 2
	// domainSilentLimit is the same for all servers of a service in a failure
	// domain together; a single dead server does not reach it.
	domainSilentLimit = 4
	// firstHold is the first pause of a server that answers no openings; it doubles up to maxHold.
	firstHold = 500 * time.Millisecond
	maxHold   = 4 * time.Second
)

// hold keeps new flows off a server, or off a failure domain, that does not
// answer openings. After each pause one silent opening is enough for the next, longer one.
type hold struct {
	silence int // openings in a row without an answer
	pause   time.Duration
	until   time.Time
}

func (hold *hold) active(now time.Time) bool { return now.Before(hold.until) }

func (hold *hold) accepted() { *hold = zeroHold }

var zeroHold hold

// silent counts an opening without an answer and reports whether a pause begins.
func (hold *hold) silent(limit int, now time.Time) bool {
	if hold.active(now) {
		return false
	}
	hold.silence++
	if hold.silence < limit {
		return false
	}
	hold.pause = min(max(2*hold.pause, firstHold), maxHold)
	hold.until = now.Add(hold.pause)
	return true
}
