package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLimitEndsWithoutAnOpening(t *testing.T) {
	for _, responses := range []int{0, 10} {
		admitter, now := limited(t)
		for range 3 {
			now = now.Add(time.Second)
			for range responses {
				admitter.RecordResponse("s", Response{Class: stream, Duration: 60 * time.Millisecond}, now)
			}
			if load := admitter.Report(now); load != nil {
				admitter.ApplyShared(load, now)
			}
			admitter.Summaries(now)
		}
		assert.Assert(t, !admitter.IsLimited("s"), "%d responses a second", responses)
		assert.Assert(t, admitter.Report(now) == nil)
	}
}
