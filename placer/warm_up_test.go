package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

// stubPacer gives each server a share by its name, 1 by default, and counts openings.
type stubPacer struct {
	unpaced
	shares   map[string]float64
	shared   []*viewer.BackendServer // servers that one instance opens flows at
	reserved map[string]bool         // servers that only few instances open flows at
	openings map[string]int
}

func (stubPacer *stubPacer) Reserved(server *viewer.BackendServer, _ time.Time) bool {
	return stubPacer.reserved[server.Name]
}

func (stubPacer *stubPacer) Share(server *viewer.BackendServer, _ time.Time) float64 {
	if share, ok := stubPacer.shares[server.Name]; ok {
		return share
	}
	return 1
}

func (stubPacer *stubPacer) Shared(string) []*viewer.BackendServer { return stubPacer.shared }

func (stubPacer *stubPacer) Sharers(server *viewer.BackendServer, _ time.Time) int {
	if viewer.Contains(stubPacer.shared, server) {
		return 1
	}
	return 0
}

func (stubPacer *stubPacer) ObserveView(time.Time) {}

func (stubPacer *stubPacer) OpeningSent(server *viewer.BackendServer, _ time.Time) {
	stubPacer.openings[server.Name]++
}

func newPacedPlacer(shares map[string]float64) (*Placer, *stubPacer) {
	placer, pacer := newPlacer(1), &stubPacer{shares: shares, openings: map[string]int{}}
	placer.SetPacer(pacer)
	return placer, pacer
}

func TestServerWithoutBudgetIsNoCandidate(t *testing.T) {
	servers := candidates("cold", "warm", "other")
	placer, _ := newPacedPlacer(map[string]float64{"cold": 0})
	for range 200 {
		assert.Assert(t, placer.Select(servers, nil, start).Name != "cold")
	}
	// Not even when all others are ejected, or were tried before.
	for range serverUnansweredLimit {
		placer.OpeningUnanswered(servers[1], start)
	}
	for range 50 {
		assert.Assert(t, placer.Select(servers, servers[2:], start).Name != "cold")
	}
	assert.Assert(t, placer.Select(servers[:1], nil, start) == nil)
	assert.Assert(t, placer.Select(servers[:1], servers[:1], start) == nil)
	assert.Assert(t, !placer.MayOpen(servers[0], start))
}

func TestNewFlowsOfAColdServerFollowItsShare(t *testing.T) {
	servers := candidates("cold", "a", "b", "c", "d", "e", "f", "g", "h", "i")
	previous := 0
	for _, share := range []float64{0.25, 0.5, 1} {
		placer, _ := newPacedPlacer(map[string]float64{"cold": share})
		count := 0
		for range 10_000 {
			if server := placer.Select(servers, nil, start); server.Name == "cold" {
				count++
			}
		}
		want := 1000 * share
		assert.Assert(t, float64(count) > 0.75*want && float64(count) < 1.35*want, "share %g: %d of 10000", share, count)
		assert.Assert(t, count > previous)
		previous = count
	}
}

func TestOnlyServerGetsFlowsAlsoWhileItIsCold(t *testing.T) {
	servers := candidates("cold")
	placer, _ := newPacedPlacer(map[string]float64{"cold": 0.25})
	for range 100 {
		assert.Equal(t, placer.Select(servers, nil, start).Name, "cold")
	}
}

func TestSharedServerIsComparedForEachFlow(t *testing.T) {
	names := []string{"cold"}
	for i := range 100 {
		names = append(names, "warm-"+string(rune('a'+i)))
	}
	servers := candidates(names...)
	placer, pacer := newPacedPlacer(map[string]float64{})
	placer.estimator = fiftyInstances{}
	for _, server := range servers[1:] {
		placer.RequestBegan(server, true, start) // 50 at each in all, as each instance has one
	}
	placer.RequestBegan(servers[0], true, start)
	assert.Assert(t, placer.expectedCost(servers[0], start) == placer.expectedCost(servers[1], start))
	pacer.shared = servers[:1]
	assert.Assert(t, placer.expectedCost(servers[0], start) < placer.expectedCost(servers[1], start)/10, "no other instance opens flows there")
	for range 100 {
		assert.Equal(t, placer.Select(servers, nil, start).Name, "cold")
	}
	pacer.shares["cold"] = 0
	for range 100 {
		assert.Assert(t, placer.Select(servers, nil, start).Name != "cold")
	}
}

// fiftyInstances is the estimate of an instance among fifty.
type fiftyInstances struct{ noEstimate }

func (fiftyInstances) FleetInstances() int { return 50 }

func TestDomainOfReservedServersCountsAsNone(t *testing.T) {
	servers := candidates("cold", "colder", "b", "c")
	servers[2].FailureDomain, servers[3].FailureDomain = "dakar-2", "dakar-3"
	placer, pacer := newPacedPlacer(map[string]float64{"cold": 0, "colder": 0})
	pacer.reserved = map[string]bool{"cold": true, "colder": true}
	counts := map[string]int{}
	for range 1000 {
		counts[placer.Select(servers, nil, start).Name]++
	}
	assert.Assert(t, counts["b"] > 400 && counts["c"] > 400, "the other domains share its callers by their room: %v", counts)
	assert.Equal(t, len(placer.indexes["desk-sync"].own.usable), 0)
	delete(pacer.shares, "cold") // this instance opens flows there
	pacer.shared = servers[:1]
	for range 100 {
		assert.Equal(t, placer.Select(servers, nil, start).Name, "cold")
	}
}

func TestRoomOfColdServersGrowsWithTheirShare(t *testing.T) {
	servers := candidates("cold", "warm")
	placer, _ := newPacedPlacer(map[string]float64{"cold": 0.5})
	placer.Select(servers, nil, start)
	assert.Equal(t, placer.indexes["desk-sync"].own.slots, 4.5)
}

func TestOpeningsReachThePacer(t *testing.T) {
	servers := candidates("a")
	placer, pacer := newPacedPlacer(nil)
	placer.OpeningSent(servers[0], start)
	placer.OpeningSent(servers[0], start)
	assert.Equal(t, pacer.openings["a"], 2)
}
