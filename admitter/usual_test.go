package admitter

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUsualTimeIsLearnedFirst(t *testing.T) {
	const usual = 50 * time.Millisecond
	full := Load{{Service: "s", Answered: 100, Shed: 40, Offered: 100, Admitted: 60, Delay: 180}}
	cases := []struct {
		name  string
		fleet Load
		times []time.Duration // of the first responses
		later time.Duration   // of all others
	}{
		{"a long first response", nil, []time.Duration{3 * usual}, usual},
		{"a short first response", nil, []time.Duration{usual / 10}, usual},
		{"all long while the fleet lacks room", full, nil, 3 * usual},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			admitter, now := NewAdmitter(testSettings), start
			for i := range 25 {
				now = now.Add(10 * time.Millisecond)
				admitter.ApplyShared(c.fleet, now)
				duration := c.later
				if i < len(c.times) {
					duration = c.times[i]
				}
				admitter.RecordResponse("s", Response{Class: stream, Duration: duration}, now)
			}
			got := admitter.services["s"].usual
			assert.Assert(t, math.Abs(got-usual.Seconds()) < 0.2*usual.Seconds(), "%.3f s", got)
		})
	}
}

func TestNoShedResponseCountsBeforeTheUsualTimeIsKnown(t *testing.T) {
	admitter, now := NewAdmitter(testSettings), start
	for i := range 19 {
		now = now.Add(10 * time.Millisecond)
		admitter.RecordResponse("s", Response{Class: stream, Duration: time.Millisecond, IsShort: true}, now)
		admitter.RecordResponse("s", Response{Class: stream, Duration: 60 * time.Millisecond}, now)
		admitter.Decide(openingOf(1, uint16(i), stream), now)
		assert.Assert(t, !admitter.IsLimited("s"))
		assert.Assert(t, admitter.Report(now) == nil)
	}
	own := admitter.services["s"].own(now)
	assert.Equal(t, own.Answered+own.Shed+own.Delay, float32(0))
}
