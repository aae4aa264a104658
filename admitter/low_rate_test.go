package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRareOpeningsAreAdmittedAsInTheFleet(t *testing.T) {
	for _, every := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		admitter, now, admitted := NewAdmitter(testSettings), start, 0
		const asked = 40
		for i := range asked {
			for range every / (50 * time.Millisecond) {
				now = now.Add(50 * time.Millisecond)
				admitter.ApplyShared(Load{{Service: "s", Answered: 100, Shed: 30, Offered: 100, Admitted: 95, Delay: 140}}, now)
				for result, ok := admitter.Next(now); ok; result, ok = admitter.Next(now) {
					if result.Decision == Admit {
						admitted++
					}
				}
			}
			if admitter.Decide(openingOf(1, uint16(i), stream), now) == Admit {
				admitted++
			}
			assert.Assert(t, admitter.IsLimited("s"))
		}
		assert.Assert(t, admitted >= asked*8/10, "one opening each %s: %d of %d admitted", every, admitted, asked)
	}
}

func TestOneOpeningWaitsForATokenThatIsDue(t *testing.T) {
	admitter, now := limited(t)
	service := admitter.services["s"]
	service.budget, service.tokens, service.refilledAt = 2, 0.9, now
	assert.Equal(t, admitter.hold(service, openingOf(1, 1, stream), now), Hold)
	service.held, service.tokens = nil, 0
	assert.Equal(t, admitter.hold(service, openingOf(1, 1, stream), now), Refuse)
}

func TestImpossibleFiguresOfTheFleetDoNoHarm(t *testing.T) {
	admitter, now := limited(t)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		admitter.ApplyShared(Load{{Service: "s", Answered: 1e-38, Shed: 1, Offered: 1e-38, Admitted: 1e9, Delay: 1e9}}, now)
		admitter.Decide(openingOf(1, 1, stream), now)
		budget := admitter.services["s"].budget
		assert.Assert(t, budget < 100, "budget %f", budget)
	}
}
