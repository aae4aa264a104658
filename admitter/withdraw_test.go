package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWithdrawnOpeningTakesNoPlace(t *testing.T) {
	admitter, now := limited(t)
	service := admitter.services["s"]
	service.budget, service.tokens, service.refilledAt, service.controlledAt = 10, 1, now, now
	before := service.own(now).Admitted
	assert.Equal(t, admitter.Decide(openingOf(1, 1, stream), now), Admit)
	admitter.Withdraw(openingOf(1, 1, stream), now)
	assert.Equal(t, service.own(now).Admitted, before)
	assert.Equal(t, service.tokens, 1.0)
	assert.Equal(t, admitter.callerRate(openingOf(1, 1, stream).Flow.Caller.Addr()).weight, 0.0)
}

func TestOpeningHeldThroughAPauseIsLate(t *testing.T) {
	for _, pause := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond} {
		admitter, now := limited(t)
		service := admitter.services["s"]
		service.budget, service.tokens, service.refilledAt = 10, 0, now
		assert.Equal(t, admitter.hold(service, openingOf(1, 1, stream), now), Hold)
		service.budget, service.controlledAt, service.tokens = 1e-3, now.Add(time.Hour), -1
		result, ok := admitter.Next(now.Add(pause))
		assert.Assert(t, ok)
		assert.Equal(t, result.Decision, Refuse)
		assert.Equal(t, result.IsLate, pause > testSettings.MaxWait+lateTime)
	}
}
