package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// applyShares puts a configuration in force that divides the flows of the harness's route.
func (harness *harness) applyShares(version uint64, shares ...viewer.Share) {
	harness.viewer.ApplyConfiguration(&viewer.Configuration{Version: version, Routes: []viewer.Route{{Name: "r", Address: address, Shares: shares}}})
}

// applyServices puts a list of two servers of each service in force, in the failure domain of
// the service's name and in a state.
func (harness *harness) applyServices(revision uint64, states map[string]parser.State) {
	list := &viewer.Servers{Revision: revision}
	for _, name := range []string{"x1", "x2", "y1", "y2"} {
		if state := states[name[:1]]; state != "" {
			list.List = append(list.List, viewer.BackendServer{
				Name: name, Token: uint32(name[0])<<8 | uint32(name[1]), Service: name[:1], FailureDomain: name[:1], Slots: 1, State: state,
			})
		}
	}
	harness.viewer.ApplyServers(list, start)
}

// standby is a route whose flows all go to x, while y stands by.
func standby() []viewer.Share { return []viewer.Share{{Service: "x", Weight: 100}, {Service: "y"}} }

var bothActive = map[string]parser.State{"x": parser.Active, "y": parser.Active}

// ways in which the service with all the weight has no server left for new flows, and why openings
// are refused then.
var waysToLoseTheWeight = []struct {
	name   string
	lose   func(harness *harness)
	reason Reason
}{
	{"its entries are gone", func(harness *harness) {
		harness.applyServices(3, map[string]parser.State{"y": parser.Active})
	}, ReasonNoWeight},
	{"its servers leave", func(harness *harness) {
		harness.applyServices(3, map[string]parser.State{"x": parser.Leaving, "y": parser.Active})
	}, ReasonNoWeight},
	{"its failure domain is evacuated", func(harness *harness) { harness.evacuate(3, "x") }, ReasonEvacuated},
	{"its weight is taken away", func(harness *harness) {
		harness.applyShares(3, viewer.Share{Service: "x"}, viewer.Share{Service: "y"})
	}, ReasonNoWeight},
	{"it is taken off the route", func(harness *harness) { harness.applyShares(3, viewer.Share{Service: "y"}) }, ReasonNoWeight},
	{"all services lose their servers", func(harness *harness) { harness.applyServices(3, nil) }, ReasonNoServer},
}

func newStandbyHarness() *harness {
	harness := newHarness()
	harness.applyShares(2, standby()...)
	harness.applyServices(2, bothActive)
	return harness
}

// Guards against review/7: with weights 100 and 0, all flows went to the service of weight 0 while
// the other had no server (ROUTE).
func TestServiceOfWeightZeroGetsNoFlow(t *testing.T) {
	for _, way := range waysToLoseTheWeight {
		t.Run(way.name+"/first openings", func(t *testing.T) {
			harness := newStandbyHarness()
			assert.Equal(t, harness.Decide(opening(1), start).Server.Service, "x")
			way.lose(harness)
			for port := range uint16(100) {
				verdict := harness.Decide(opening(1000+port), start)
				assert.Equal(t, verdict.Action, Reset)
				assert.Equal(t, verdict.Reason, way.reason)
			}
		})
		t.Run(way.name+"/copies", func(t *testing.T) {
			harness := newStandbyHarness()
			harness.Decide(opening(1), start)
			way.lose(harness)
			copied := opening(1)
			copied.Acknowledgment = 1
			verdict := harness.Decide(copied, start.Add(200*time.Millisecond))
			assert.Equal(t, verdict.Action, Reset)
			assert.Equal(t, verdict.Reason, way.reason)
		})
		t.Run(way.name+"/retries", func(t *testing.T) {
			harness := newStandbyHarness()
			harness.Decide(opening(1), start)
			way.lose(harness)
			_, isRetried := harness.Next(start.Add(answerTimeout), start.Add(answerTimeout))
			assert.Assert(t, !isRetried)
		})
		t.Run(way.name+"/held openings", func(t *testing.T) {
			harness, admission := newStandbyHarness(), &fakeAdmission{decision: admitter.Hold}
			harness.UseAdmission(admission)
			assert.Equal(t, harness.Decide(opening(1), start).Reason, ReasonHeld)
			way.lose(harness)
			admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Admit}}
			verdict, ok := harness.Next(start, start)
			assert.Assert(t, ok)
			assert.Equal(t, verdict.Action, Reset)
			assert.Equal(t, verdict.Reason, way.reason)
			assert.Equal(t, len(admission.withdrawn), 1)
		})
	}
}

// Guards against review/7 as above, in a process whose first view has no server of the service with the weight.
func TestFirstViewOpensNothingAtAServiceOfWeightZero(t *testing.T) {
	harness := newHarness()
	harness.applyShares(2, standby()...)
	harness.applyServices(2, map[string]parser.State{"y": parser.Active})
	assert.Equal(t, harness.Decide(opening(1), start).Action, Reset)
}

// Guards against the same where rounding leaves a draw beyond the last weight, or weights are far apart.
func TestOnlyServicesWithWeightGetFlows(t *testing.T) {
	cases := []struct {
		name    string
		weights [2]float64
		want    string
	}{
		{"the first has none", [2]float64{0, 1e-300}, "y"},
		{"the last has none", [2]float64{1e-300, 0}, "x"},
		{"the smallest weight", [2]float64{5e-324, 0}, "x"},
		{"the largest weight", [2]float64{1e9, 0}, "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newStandbyHarness()
			harness.applyShares(3, viewer.Share{Service: "x", Weight: c.weights[0]}, viewer.Share{Service: "y", Weight: c.weights[1]})
			for port := range uint16(1000) {
				verdict := harness.Decide(opening(port), start)
				assert.Equal(t, verdict.Action, Send, "%s", verdict.Reason)
				assert.Equal(t, verdict.Server.Service, c.want)
			}
		})
	}
}

// Guards against a released opening that takes a place at a service which it did not wait for, or is
// refused although another service of its route has servers.
func TestHeldOpeningIsDecidedAnewWhenItsServiceIsGone(t *testing.T) {
	both := []viewer.Share{{Service: "x", Weight: 1}, {Service: "y", Weight: 1}}
	decisions := map[admitter.Decision]Reason{admitter.Admit: ReasonReleased, admitter.Hold: ReasonHeld, admitter.Refuse: ReasonNoRoom}
	for decision, reason := range decisions {
		for _, isDisabled := range []bool{false, true} {
			harness, admission := newHarness(), &fakeAdmission{decision: admitter.Hold}
			harness.UseAdmission(admission)
			harness.applyShares(2, both...)
			harness.applyServices(2, map[string]parser.State{"x": parser.Active})
			assert.Equal(t, harness.Decide(opening(1), start).Reason, ReasonHeld)
			harness.applyServices(3, map[string]parser.State{"y": parser.Active})
			admission.decision, admission.disabled = decision, isDisabled
			admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Admit}}
			verdict, ok := harness.Next(start, start)
			assert.Assert(t, ok)
			if isDisabled {
				reason = ReasonReleased
			}
			assert.Equal(t, verdict.Reason, reason)
			assert.Equal(t, len(harness.held) == 1, reason == ReasonHeld)
			assert.Equal(t, len(admission.withdrawn), 1, "the place at the service that is gone")
			assert.Equal(t, admission.withdrawn[0].Service, "x")
			if !isDisabled {
				assert.Equal(t, admission.openings[1].Service, "y")
			}
		}
	}
}

// Guards against a late copy of an opening that opens a second flow at a server which may get none any
// more: one that restarted, leaves, is evacuated, or of a service without weight.
func TestLateCopyIsNotSentWhereNoFlowMayBeOpened(t *testing.T) {
	ways := append(waysToLoseTheWeight, struct {
		name   string
		lose   func(harness *harness)
		reason Reason
	}{"the server has restarted", func(harness *harness) {
		harness.applyServices(3, bothActive)
		list := harness.viewer.Current().Servers
		restarted := &viewer.Servers{Revision: 4, List: append([]viewer.BackendServer(nil), list.List...)}
		for i := range restarted.List {
			restarted.List[i].StartedAt = 1
		}
		harness.viewer.ApplyServers(restarted, start)
	}, ""})
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			harness := newStandbyHarness()
			first := harness.Decide(opening(1), start)
			harness.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), start)
			assert.Equal(t, harness.Decide(opening(1), start).Action, Send, "while the server may get flows")
			way.lose(harness)
			verdict := harness.Decide(opening(1), start.Add(200*time.Millisecond))
			assert.Equal(t, verdict.Action, Drop)
			assert.Equal(t, verdict.Reason, ReasonLateCopy)
		})
	}
}
