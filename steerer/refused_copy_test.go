package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
)

// The load: an instance falls behind by more than the time after which callers copy their
// openings, so the copy of an opening that is refused already waits in the socket. Seed 50000 of
// the soak.
func TestCopyOfRefusedOpeningIsNotSent(t *testing.T) {
	for _, heldFirst := range []bool{false, true} {
		harness, admission := newAdmissionHarness(admitter.Refuse)
		if heldFirst {
			admission.decision = admitter.Hold
		}
		harness.Decide(opening(1), start)
		if heldFirst {
			admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Refuse}}
			harness.Next(start, start)
		}
		copied := opening(1)
		copied.Acknowledgment = 1
		assert.Equal(t, harness.Decide(copied, start.Add(10*time.Millisecond)).Action, Drop, "held first: %v", heldFirst)
	}
}
