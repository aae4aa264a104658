package placer

import "time"

const (
	// serverUnansweredLimit is the number of consecutive unanswered openings that
	// ejects a server; a single one can be a lost packet.
	serverUnansweredLimit = 2
	// domainUnansweredLimit is the same for the servers of a service in one failure
	// domain together; a single dead server does not reach it.
	domainUnansweredLimit = 4
	// baseEjectionTime is the duration of the first ejection for unanswered
	// openings; it doubles up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
)

// ejection keeps a server, or all servers of a service in a failure domain, out of
// selection while they do not answer openings, with exponential back-off. After
// an ejection a single unanswered opening starts the next, longer one.
type ejection struct {
	unanswered int           // consecutive openings without an answer
	duration   time.Duration // of the last ejection; 0 before the first and after reset
	until      time.Time     // end of the last ejection
	readmitted bool          // an ejection was ended before its time since the last reset
}

func (ejection *ejection) active(now time.Time) bool { return now.Before(ejection.until) }

// reset ends the ejection and the back-off.
func (ejection *ejection) reset() { *ejection = noEjection }

var noEjection ejection

// readmit ends the ejection before its time, once before the next reset, and reports whether it did.
func (ejection *ejection) readmit(now time.Time) bool {
	if ejection.readmitted || !ejection.active(now) {
		return false
	}
	ejection.readmitted, ejection.until = true, now
	return true
}

// openingUnanswered counts an opening without an answer and reports whether an ejection begins.
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
