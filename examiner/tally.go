package examiner

import "time"

const (
	// suspicionLimit is how many suspicions within window hold a server off. A server
	// that works is suspected once in minutes.
	suspicionLimit = 2
	suspicionWindow    = 1500 * time.Millisecond
	// baseEjectionTime is the first time that a server is held off; it doubles up to
	// maxHold while suspicions come back within probation after it.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime   = 8 * time.Second
	backoffResetDelay = 5 * time.Second
)

// OutlierDetector adds up the suspicions of the instances of a failure domain; it is not
// safe for concurrent use.
type OutlierDetector struct {
	suspects map[uint32]*suspect
}

// suspect is what is held against one server.
type suspect struct {
	suspectedAt []time.Time // of late, oldest first
	ejectionTime  time.Duration
	ejectedUntil time.Time
}

// NewOutlierDetector returns an empty Tally.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{suspects: map[uint32]*suspect{}} }

// Suspect adds a suspicion against the server with a token, and returns for how
// long it is to be held off from now on, 0 if it is not or is already.
func (outlierDetector *OutlierDetector) Suspect(token uint32, now time.Time) time.Duration {
	outlierDetector.expire(now)
	known := outlierDetector.suspects[token]
	if known == nil {
		known = &suspect{}
		outlierDetector.suspects[token] = known
	}
	if now.Before(known.ejectedUntil) {
		return 0 // of a flow that was open before
	}
	known.suspectedAt = append(known.suspectedAt, now)
	for now.Sub(known.suspectedAt[0]) > suspicionWindow {
		known.suspectedAt = known.suspectedAt[1:]
	}
	if len(known.suspectedAt) < suspicionLimit {
		return 0
	}
	known.suspectedAt = nil
	known.ejectionTime = min(max(2*known.ejectionTime, baseEjectionTime), maxEjectionTime)
	known.ejectedUntil = now.Add(known.ejectionTime)
	return known.ejectionTime
}

// expire drops servers that were not suspected again after their hold.
func (outlierDetector *OutlierDetector) expire(now time.Time) {
	for token, known := range outlierDetector.suspects {
		last := known.ejectedUntil.Add(backoffResetDelay)
		if count := len(known.suspectedAt); count > 0 && known.suspectedAt[count-1].Add(backoffResetDelay).After(last) {
			last = known.suspectedAt[count-1].Add(backoffResetDelay)
		}
		if now.After(last) {
			delete(outlierDetector.suspects, token)
		}
	}
}
