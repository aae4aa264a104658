package examiner

import "time"

const (
	// suspicionLimit is how many suspicious responses within suspicionWindow eject a
	// server. A working server has one in several minutes.
	suspicionLimit  = 2
	suspicionWindow = 1500 * time.Millisecond
	// baseEjectionTime is the duration of the first ejection. It doubles up to
	// maxEjectionTime with each further ejection, until the server has had no
	// suspicious response for backoffResetDelay after an ejection.
	baseEjectionTime  = 2 * time.Second
	maxEjectionTime   = 8 * time.Second
	backoffResetDelay = 5 * time.Second
)

// OutlierDetector counts the suspicious responses that the instances of a failure
// domain report, and decides on ejections; it is not safe for concurrent use.
type OutlierDetector struct {
	suspects map[uint32]*suspect // by the server's token
}

// suspect is a server with recent suspicious responses or a recent ejection.
type suspect struct {
	reportedAt   []time.Time   // suspicious responses within suspicionWindow, oldest first
	ejectionTime time.Duration // of the last ejection; 0 before the first
	ejectedUntil time.Time
}

// NewOutlierDetector returns an OutlierDetector without suspects.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{suspects: map[uint32]*suspect{}}
}

// AddSuspicion counts a suspicious response of the server with a token. It returns for
// how long the server is to be ejected from now on, or 0 if it is not or is
// ejected already.
func (outlierDetector *OutlierDetector) AddSuspicion(token uint32, now time.Time) time.Duration {
	outlierDetector.expire(now)
	server := outlierDetector.suspects[token]
	if server == nil {
		server = &suspect{}
		outlierDetector.suspects[token] = server
	}
	if now.Before(server.ejectedUntil) {
		return 0 // a response to a flow that was opened before the ejection
	}
	server.reportedAt = append(server.reportedAt, now)
	for now.Sub(server.reportedAt[0]) > suspicionWindow {
		server.reportedAt = server.reportedAt[1:]
	}
	if len(server.reportedAt) < suspicionLimit {
		return 0
	}
	server.reportedAt = nil
	server.ejectionTime = min(max(2*server.ejectionTime, baseEjectionTime), maxEjectionTime)
	server.ejectedUntil = now.Add(server.ejectionTime)
	return server.ejectionTime
}

// expire deletes servers without a suspicious response for backoffResetDelay after
// their ejection, which resets their back-off.
func (outlierDetector *OutlierDetector) expire(now time.Time) {
	for token, server := range outlierDetector.suspects {
		expiry := server.ejectedUntil.Add(backoffResetDelay)
		if count := len(server.reportedAt); count > 0 && server.reportedAt[count-1].Add(backoffResetDelay).After(expiry) {
			expiry = server.reportedAt[count-1].Add(backoffResetDelay)
		}
		if now.After(expiry) {
			delete(outlierDetector.suspects, token)
		}
	}
}
