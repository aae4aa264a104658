package admitter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// share returns the part that was served in the objective.
func share(counts [2]int) float64 { return float64(counts[1]) / float64(max(counts[0], 1)) }

func (outcome *outcome) String() string {
	return fmt.Sprintf("asked %d, in the objective %.3f, late %.3f, urgent %.3f, domains %.3f %.3f %.3f, shed %d, after the burst %.3f, refused with room %d, last at %s",
		outcome.asked, float64(outcome.inObjective)/float64(outcome.asked), float64(outcome.late)/float64(outcome.asked),
		share(outcome.byClass[1]), share(outcome.byDomain[0]), share(outcome.byDomain[1]), share(outcome.byDomain[2]), outcome.shed,
		float64(outcome.afterServed)/float64(outcome.afterAsked), outcome.refusedWithRoom, outcome.lastRefusalWithRoom)
}

var testSettings = Settings{Enabled: true, MaxWait: 100 * time.Millisecond, MaxShedShare: 0.1}

// workedOff returns the part of the requests asked for in the burst that the servers can work off.
func (load playedLoad) workedOff(outcome *outcome) float64 {
	leaving := float64(load.leaving) / serversPerDomain * (1 - time.Second.Seconds()/burstLength.Seconds())
	return min(capacity*(1-leaving)*burstLength.Seconds()/float64(outcome.asked), 1)
}

// TestCallersGetMoreOfTooLittleRoom plays loads beyond what the servers can work off, without and
// with admission control. The bounds are those that the users need.
func TestCallersGetMoreOfTooLittleRoom(t *testing.T) {
	cases := []struct {
		name string
		load playedLoad
	}{
		{"1.7 times what the servers work off", playedLoad{factor: 1.7}},
		{"a burst of streams", playedLoad{factor: 1.5, streamsOnly: true}},
		{"a burst in one failure domain", playedLoad{factor: 1.3, oneDomain: true}},
		{"a quarter of the servers leaves", playedLoad{factor: 1.3, leaving: serversPerDomain / 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, after := runPlay(c.load, 1, Settings{}), runPlay(c.load, 1, testSettings)
			t.Logf("without: %s", &before)
			t.Logf("with:    %s", &after)
			served := float64(after.inObjective) / float64(after.asked)
			late := float64(after.late) / float64(after.asked)
			domains := []float64{share(after.byDomain[0]), share(after.byDomain[1]), share(after.byDomain[2])}
			check := func(name string, holds bool) {
				t.Run(name, func(t *testing.T) { assert.Assert(t, holds) })
			}
			check("served in the objective", served >= 0.9*c.load.workedOff(&after))
			check("late", late <= 0.03)
			check("urgent served", share(after.byClass[query.Priority]) >= 0.95)
			check("refusals by servers", after.shed <= before.shed/4)
			check("failure domains alike", slices.Max(domains)-slices.Min(domains) <= 0.02)
			check("calm after a second", after.afterServed == after.afterAsked || float64(after.afterServed) > 0.99*float64(after.afterAsked))
			check("no refusal with room", after.lastRefusalWithRoom < burstStart+burstLength+time.Second)
			check("more than without", served > float64(before.inObjective)/float64(before.asked))
		})
	}
}

func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	for seed := range uint64(5) {
		without, with := runPlay(playedLoad{factor: 0.9}, seed, Settings{}), runPlay(playedLoad{factor: 0.9}, seed, testSettings)
		assert.Equal(t, with.refusedWithRoom, 0, "seed %d", seed)
		assert.Assert(t, with.inObjective >= without.inObjective, "seed %d: %s, without admission control %s", seed, &with, &without)
	}
}
