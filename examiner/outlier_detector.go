package examiner

import "time"

const (
	// failureLimit is how many short responses within failureWindow eject a server. A
	// working server has one in several minutes.
	failureLimit  = 2
	failureWindow = 1500 * time.Millisecond
	// slownessLimit is how many slow responses within slownessWindow eject a server.
	slownessLimit  = 2
	slownessWindow = 3 * time.Second
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
	limit    int                 // suspicious responses within window that eject a server
	window   time.Duration
}

// suspect is a server with recent suspicious responses or a recent ejection.
type suspect struct {
	reportedAt   []time.Time   // suspicious responses within the window, oldest first
	ejectionTime time.Duration // of the last ejection; 0 before the first
	ejectedUntil time.Time
}

// NewFailureDetector returns an OutlierDetector for servers that fail their requests.
func NewFailureDetector() *OutlierDetector {
	return &OutlierDetector{suspects: map[uint32]*suspect{}, limit: failureLimit, window: failureWindow}
}

// NewSlownessDetector returns an OutlierDetector for slow servers.
func NewSlownessDetector() *OutlierDetector {
	return &OutlierDetector{suspects: map[uint32]*suspect{}, limit: slownessLimit, window: slownessWindow}
}

// SuspectCount returns how many servers had a suspicious response or an ejection recently.
func (outlierDetector *OutlierDetector) SuspectCount(now time.Time) int {
	outlierDetector.expire(now)
	return len(outlierDetector.suspects)
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
	for now.Sub(server.reportedAt[0]) > outlierDetector.window {
		server.reportedAt = server.reportedAt[1:]
	}
	if len(server.reportedAt) < outlierDetector.limit {
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
