package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallDeployment is small enough to be simulated many times in one run of the tests.
var smallDeployment = Deployment{Name: "small", FlowsPerServer: 60, ServersPerService: [2]int{15, 4}, WarmupTime: 25 * time.Second, MeasureTime: 35 * time.Second}

// Targets of the project, set independently of the measured results.
const (
	maxLastNewFlowDelay = 3 * time.Second
	maxInForceDelay     = 3 * time.Second
)

func checkTargets(t *testing.T, result *Result) {
	t.Helper()
	assert.Equal(t, result.WrongService, 0)
	assert.Equal(t, result.OfferedTwice, 0)
	assert.Equal(t, result.RefusedAfterOffer, 0)
	assert.Assert(t, result.LastNewFlowDelay <= maxLastNewFlowDelay, "drained server received its last new flow %v after the sheet was loaded", result.LastNewFlowDelay)
	assert.Assert(t, result.InForceDelay <= maxInForceDelay, "sheet in force %v after it was loaded", result.InForceDelay)
}

func TestProductBreaksNoFlow(t *testing.T) {
	scenarios := []Scenario{
		NoChange, DrainServer, KillInstance, ReplaceThree, UnevenSheet, FreezeInstance,
		DrainAndKill, DrainAndReplace, DrainAndFreeze, KillAndJoin, KillTwo,
	}
	for _, scenario := range scenarios {
		for _, seed := range []uint64{1, 2, 3, 101, 102} {
			t.Run(fmt.Sprintf("%s/seed=%d", scenario, seed), func(t *testing.T) {
				t.Parallel()
				result := Run(smallDeployment, Product, scenario, seed)
				assert.Equal(t, result.Broken, 0, result.formatCauses())
				checkTargets(t, result)
			})
		}
	}
}

// The simulation does not count a flow as broken when the instance that has its packet cannot
// reach its backend server.
func TestPartitionBreaksOnlyFlowsAcrossIt(t *testing.T) {
	for _, scenario := range []Scenario{IsolateDomain, IsolateAndDrain} {
		for _, seed := range []uint64{1, 2, 3, 101, 102, 201, 216, 227, 238, 315} {
			t.Run(fmt.Sprintf("%s/seed=%d", scenario, seed), func(t *testing.T) {
				t.Parallel()
				result := Run(smallDeployment, Product, scenario, seed)
				assert.Equal(t, result.Broken, 0, result.formatCauses())
				assert.Equal(t, result.WrongService, 0)
			})
		}
	}
}

func TestBaselinesBreakFlows(t *testing.T) {
	for _, method := range []Method{Modulo, Rendezvous, LocalTable} {
		t.Run(string(method), func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, Run(smallDeployment, method, DrainServer, 1).Broken > 0, "the simulation detected no broken flow")
		})
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, second := Run(smallDeployment, Product, DrainAndKill, 5), Run(smallDeployment, Product, DrainAndKill, 5)
	assert.Equal(t, first.Flows, second.Flows)
	assert.Equal(t, first.Broken, second.Broken)
}
