package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// small is a deployment that one run of the tests can afford many times.
var small = Deployment{Name: "small", FlowsPerServer: 60, ServersPerService: [2]int{15, 4}, WarmupTime: 25 * time.Second, MeasureTime: 35 * time.Second}

// bounds are the project's targets; they do not come from what was reached.
const (
	maxLastNew = 3 * time.Second
	maxInForce = 3 * time.Second
)

func checkPromises(t *testing.T, result *Result) {
	t.Helper()
	assert.Equal(t, result.WrongService, 0)
	assert.Equal(t, result.OfferedTwice, 0)
	assert.Equal(t, result.RefusedAfterOffer, 0)
	assert.Assert(t, result.LastNewFlowDelay <= maxLastNew, "last new flow after %v", result.LastNewFlowDelay)
	assert.Assert(t, result.InForceDelay <= maxInForce, "in force after %v", result.InForceDelay)
}

func TestNoFlowBreaks(t *testing.T) {
	scenarios := []Scenario{
		NoChange, DrainServer, KillInstance, ReplaceThree, UnevenSheet, FreezeInstance,
		DrainAndKill, DrainAndReplace, DrainAndFreeze, KillAndJoin, KillTwo,
	}
	for _, scenario := range scenarios {
		for _, seed := range []uint64{1, 2, 3, 101, 102} {
			t.Run(fmt.Sprintf("%s/seed=%d", scenario, seed), func(t *testing.T) {
				t.Parallel()
				result := Run(small, Product, scenario, seed)
				assert.Equal(t, result.Broken, 0, result.causes())
				checkPromises(t, result)
			})
		}
	}
}

func TestACutBreaksOnlyFlowsThatItSeparates(t *testing.T) {
	for _, scenario := range []Scenario{IsolateDomain, IsolateAndDrain} {
		for _, seed := range []uint64{1, 2, 3, 101, 102, 201, 216, 227, 238, 315} {
			t.Run(fmt.Sprintf("%s/seed=%d", scenario, seed), func(t *testing.T) {
				t.Parallel()
				result := Run(small, Product, scenario, seed)
				assert.Equal(t, result.Broken, 0, result.causes())
				assert.Equal(t, result.WrongService, 0)
			})
		}
	}
}

func TestTheBaselinesBreakFlows(t *testing.T) {
	for _, method := range []Method{Modulo, Rendezvous, LocalTable} {
		t.Run(string(method), func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, Run(small, method, DrainServer, 1).Broken > 0, "the measurement sees no broken flow")
		})
	}
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	first, second := Run(small, Product, DrainAndKill, 5), Run(small, Product, DrainAndKill, 5)
	assert.Equal(t, first.Flows, second.Flows)
	assert.Equal(t, first.Broken, second.Broken)
}
