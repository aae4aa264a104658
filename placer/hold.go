package placer

import "time"

const (
	// serverUnansweredLimit is how many openings in a row a server may leave unanswered;
	// one can be a lost packet.
	serverUnansweredLimit = 2
	// domainUnansweredLimit is the same for all servers of a service in a failure
	// domain together; a single dead server does not reach it.
	domainUnansweredLimit = 4
	// baseEjectionTime is the first pause of a server that answers no openings; it doubles up to maxHold.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime   = 4 * time.Second
)

// ejection keeps new flows off a server, or off a failure domain, that does not
// answer openings. After each pause one silent opening is enough for the next, longer one.
type ejection struct {
	unanswered int // openings in a row without an answer
	duration   time.Duration
	until   time.Time
}

func (ejection *ejection) active(now time.Time) bool { return now.Before(ejection.until) }

func (ejection *ejection) reset() { *ejection = noEjection }

var noEjection ejection

// openingUnanswered counts an opening without an answer and reports whether a pause begins.
func (ejection *ejection) openingUnanswered(limit int, now time.Time) bool {
	if ejection.active(now) {
		return false
	}
	ejection.unanswered++
	if ejection.unanswered < limit {
		return false
	}
	ejection.duration = min(max(2*ejection.duration, baseEjectionTime), maxEjectionTime)
	ejection.until = now.Add(ejection.duration)
	return true
}
