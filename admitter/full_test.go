package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitStaysWhileAllIsShed(t *testing.T) {
	admitter, now := limited(t)
	admitted := 0
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		if admitter.Decide(openingOf(byte(i), uint16(i), stream), now) == Admit {
			admitted++
		}
		admitter.RecordResponse("s", Response{Class: stream, Duration: 50 * time.Millisecond, IsShort: true}, now)
		for result, ok := admitter.Next(now); ok; result, ok = admitter.Next(now) {
			if result.Decision == Admit {
				admitted++
			}
		}
		assert.Assert(t, admitter.IsLimited("s"), "the limit ended after %d responses", i)
	}
	assert.Assert(t, admitted < 100, "%d of 500 openings admitted", admitted)
}
