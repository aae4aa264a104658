package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load: response times stay above the usual for reasons of their own after a burst, and nothing
// is shed anywhere any more. Two instances keep each other's limit by what is left of their rates.
func TestLimitEndsWhenNothingIsShedAnyMore(t *testing.T) {
	now := time.Now()
	var admitters []*Admitter
	for range 2 {
		admitters = append(admitters, NewAdmitter(Settings{Enabled: true, MaxWait: 100 * time.Millisecond, MaxShedShare: 0.1}))
	}
	step := func(duration time.Duration, respond func(admitter *Admitter, i int)) {
		for i := range int(duration / (10 * time.Millisecond)) {
			now = now.Add(10 * time.Millisecond)
			for _, admitter := range admitters {
				admitter.Decide(Opening{Service: "s", Class: Class{Priority: 1}}, now)
				respond(admitter, i)
				for _, ok := admitter.Next(now); ok; _, ok = admitter.Next(now) {
				}
			}
			if i%30 == 0 {
				sum := Sum([]Load{admitters[0].Report(now), admitters[1].Report(now)})
				for _, admitter := range admitters {
					admitter.ApplyShared(sum, now)
				}
			}
		}
	}
	answer := func(duration time.Duration, short bool) func(*Admitter, int) {
		return func(admitter *Admitter, i int) {
			admitter.RecordResponse("s", Response{Class: Class{Priority: 1}, Duration: duration, IsShort: short && i%2 == 0}, now)
		}
	}
	step(2*time.Second, answer(20*time.Millisecond, false))
	for _, admitter := range admitters {
		for range 100 * 60 / 1000 { // outstanding at 100 requests a second of 60 ms
			admitter.RequestBegan("s", now)
		}
	}
	step(2*time.Second, answer(60*time.Millisecond, true))
	assert.Assert(t, admitters[0].IsLimited("s"))
	step(2*time.Second, answer(60*time.Millisecond, false))
	assert.Assert(t, !admitters[0].IsLimited("s"), "2 s after the last shed response")
}
