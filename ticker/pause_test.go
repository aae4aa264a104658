package ticker

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestPauseIsDetectedForTheResumePeriod(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var detector pauseDetector
	assert.Assert(t, !detector.justResumed(start), "a process that has just started must not count as resumed")
	now := start
	for range 20 {
		detector.observe(now)
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, !detector.justResumed(now))
	}
	resumed := now.Add(3 * time.Second)
	assert.Assert(t, detector.justResumed(resumed), "a pause must be reported before the next observation")
	detector.observe(resumed)
	assert.Assert(t, detector.justResumed(resumed.Add(resumePeriod-1)))
	for range 20 {
		resumed = resumed.Add(100 * time.Millisecond)
		detector.observe(resumed)
	}
	assert.Assert(t, !detector.justResumed(resumed))
}

func TestRunningTickerReportsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker, stop := NewTicker()
		defer stop()
		for range 50 {
			time.Sleep(pauseThreshold / 10)
			assert.Assert(t, !ticker.JustResumed(time.Now()))
		}
		assert.Assert(t, ticker.JustResumed(time.Now().Add(time.Hour)))
	})
}
