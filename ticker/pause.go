package ticker

import "time"

const (
	// pauseThreshold is the longest time between two observations of the clock that
	// does not count as a pause of the process.
	pauseThreshold = time.Second
	// resumePeriod is how long a process counts as just resumed. It leaves time to
	// process what was queued in the sockets and to receive current data.
	resumePeriod = time.Second
)

// pauseDetector detects that the process did not run for some time. The monotonic
// clock continues while the process is stopped; the wall clock also continues while
// the whole machine is suspended. A jump of the wall clock counts as a pause.
type pauseDetector struct {
	lastObservedAt time.Time
	resumedAt      time.Time // end of the last pause; zero if there was none
}

// observe records that the process is running at now.
func (pauseDetector *pauseDetector) observe(now time.Time) {
	if pauseDetector.pausedUntil(now) {
		pauseDetector.resumedAt = now
	}
	pauseDetector.lastObservedAt = now
}

// pausedUntil reports whether the process was paused between the last observation and now.
func (pauseDetector *pauseDetector) pausedUntil(now time.Time) bool {
	if pauseDetector.lastObservedAt.IsZero() {
		return false
	}
	monotonic := now.Sub(pauseDetector.lastObservedAt)
	wallClock := now.Round(0).Sub(pauseDetector.lastObservedAt.Round(0))
	return monotonic > pauseThreshold || wallClock > monotonic+pauseThreshold || wallClock < monotonic-pauseThreshold
}

// justResumed reports whether the process resumed from a pause within resumePeriod before now.
func (pauseDetector *pauseDetector) justResumed(now time.Time) bool {
	return pauseDetector.pausedUntil(now) || !pauseDetector.resumedAt.IsZero() && now.Sub(pauseDetector.resumedAt) < resumePeriod
}
