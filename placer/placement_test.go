package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/estimator"
)

// large is the load of a deployment of 86 instances and 120 servers. Requests of 50 ms on 80 slots
// fill a failure domain at 1,600 a second; most come on long flows.
func large(perSecond func(domain int, at time.Duration) float64) load {
	return load{
		instances: [3]int{30, 28, 28}, servers: [3]int{40, 40, 40}, slots: 2, strengths: []float64{1},
		work: 50 * time.Millisecond, longShare: 0.7, objective: 500 * time.Millisecond,
		perSecond: perSecond, length: 15 * time.Second,
	}
}

func steady(first, second, third float64) func(int, time.Duration) float64 {
	return func(domain int, _ time.Duration) float64 { return [3]float64{first, second, third}[domain] }
}

// wave swings by 0.55 within 13 s, in each domain a second later than in the one before.
func wave(perSecond float64) func(int, time.Duration) float64 {
	return func(domain int, at time.Duration) float64 {
		return perSecond * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+0.08*float64(domain))))
	}
}

// burst multiplies the demand of some domains for five seconds.
func burst(demand func(int, time.Duration) float64, factors [3]float64) func(int, time.Duration) float64 {
	return func(domain int, at time.Duration) float64 {
		if at < 6*time.Second || at > 11*time.Second {
			return demand(domain, at)
		}
		return demand(domain, at) * factors[domain]
	}
}

// herd multiplies the demand of the first 0.3 s, when instances know nothing yet.
func herd(demand func(int, time.Duration) float64, factors [3]float64) func(int, time.Duration) float64 {
	return func(domain int, at time.Duration) float64 {
		if at > 300*time.Millisecond {
			return demand(domain, at)
		}
		return demand(domain, at) * factors[domain]
	}
}

func withStrengths(load load) load {
	load.strengths = []float64{0.6, 1, 1.6}
	return load
}

func withLoss(load load, servers int) load {
	load.lost, load.lostAt = servers, 6*time.Second
	return load
}

// small is a deployment of seven instances with a short objective; a failure domain has few slots.
func small(servers [3]int, strengths []float64, perSecond float64) load {
	return load{
		instances: [3]int{3, 2, 2}, servers: servers, slots: 3, strengths: strengths,
		work: 55 * time.Millisecond, objective: 250 * time.Millisecond,
		perSecond: steady(perSecond, 1.1*perSecond, perSecond), length: 20 * time.Second,
	}
}

// TestCallersAreServedInTheirOwnDomain plays loads with the Placer and with the baseline. Callers
// must be served as well as with the baseline, those of no domain much worse than others, and
// few flows may cross failure domains: each that does is lost in a partition.
func TestCallersAreServedInTheirOwnDomain(t *testing.T) {
	uneven := []float64{0.7, 0.7, 1.7}
	for _, c := range []struct {
		name     string
		load     load
		crossing float64 // most requests that may cross failure domains
		busiest  float64 // most requests at a server, in multiples of the mean
	}{
		{"even load at 25 %", large(steady(400, 400, 400)), 0.02, 1.6},
		{"a wave", large(wave(800)), 0.1, 1.5},
		{"three domains 1 : 0.8 : 0.8 at 80 %", large(steady(1400, 1120, 1120)), 0.1, 1.5},
		{"a burst of three in one domain", large(burst(steady(600, 600, 600), [3]float64{3, 1, 1})), 0.15, 1.6},
		{"a burst beyond all room", large(burst(wave(600), [3]float64{4, 4, 4})), 0.25, 1.5},
		{"a herd in one domain after a restart", large(herd(steady(600, 600, 600), [3]float64{10, 1, 1})), 0.25, 1.6},
		{"a herd everywhere after a restart", large(herd(steady(600, 600, 600), [3]float64{5, 5, 5})), 0.25, 1.6},
		{"half of a domain's servers go down", withLoss(large(steady(900, 600, 600)), 20), 0.2, 2.5},
		{"servers of strengths 0.6 to 1.6", withStrengths(large(steady(1100, 1100, 850))), 0.1, 2.1},
		{"7 instances and 14 servers", small([3]int{5, 5, 4}, uneven, 130), 0.05, 2.2},
		{"a domain with two weak servers", small([3]int{5, 5, 2}, uneven, 122), 0.3, 2.5},
		{"domains of one server", small([3]int{2, 1, 1}, []float64{1}, 20), 0.1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			baseline, placed := newPlay(c.load, 1, true).run(), newPlay(c.load, 1, false).run()
			t.Logf("baseline: %s", &baseline)
			t.Logf("by room:  %s", &placed)
			assert.Assert(t, placed.total() > baseline.total()-0.005)
			assert.Assert(t, placed.worst() > min(baseline.worst()-0.005, placed.total()-0.02))
			assert.Assert(t, placed.crossing() < c.crossing)
			assert.Assert(t, placed.busiest < c.busiest)
		})
	}
}

// Figures that instances share must be no worse than their own estimates.
func TestSharedFiguresKeepCallersServed(t *testing.T) {
	load := large(burst(steady(600, 600, 600), [3]float64{3, 1, 1}))
	alone := newPlay(load, 1, false).run()
	load.sharesLoad = true
	shared := newPlay(load, 1, false).run()
	t.Logf("alone: %s", &alone)
	t.Logf("shared: %s", &shared)
	assert.Assert(t, shared.worst() > alone.worst()-0.002)
	assert.Assert(t, shared.rejected <= alone.rejected)
}

// A domain without servers, as one that is evacuated, sends its flows to the others by their room.
func TestDomainWithoutServers(t *testing.T) {
	load := large(steady(600, 600, 600))
	load.servers[0] = 0
	placed := newPlay(load, 1, false).run()
	t.Log(&placed)
	assert.Assert(t, placed.worst() > 0.99)
	assert.Assert(t, placed.busiest < 1.6)
	ownRequests := 2.0 / 3
	assert.Assert(t, placed.crossing() < 1-ownRequests+0.05)
}

// The share of flows that leaves a domain grows without a step, so that the instances, whose
// estimates differ, don't move all their flows at once.
func TestSpillGrowsSmoothly(t *testing.T) {
	for _, slots := range []float64{1, 3, 15, 80, 1000} {
		kept := 0.0
		for load := 0.0; load < 3*slots; load += slots / 1000 {
			next := keptLoad(load, slots)
			assert.Assert(t, next >= kept && next-kept <= slots/1000+1e-9, "%v slots, load %v", slots, load)
			assert.Assert(t, next <= load && next <= comfortableLoad(slots)+1e-9)
			kept = next
		}
	}
}

// fixedEstimate gives the same load for each domain at any time.
type fixedEstimate struct {
	noEstimate
	demand     float64
	background map[string]float64
}

func (fixedEstimate fixedEstimate) Demand(string, time.Time) float64 { return fixedEstimate.demand }

func (fixedEstimate fixedEstimate) Background(_, domain string, _ time.Time) float64 {
	return fixedEstimate.background[domain]
}

func TestFlowsSpillByTheRoomOfOtherDomains(t *testing.T) {
	for _, c := range []struct {
		demand float64
		loads  [2]float64 // outstanding requests in the other domains, of 15 slots each
		want   [3]float64 // share of the flows
	}{
		{4, [2]float64{0, 0}, [3]float64{1, 0, 0}},
		{30, [2]float64{3, 3}, [3]float64{0.74, 0.13, 0.13}}, // 8.8 of the 11.8 slots asked for are kept
		{30, [2]float64{2, 12}, [3]float64{0.74, 0.24, 0.02}},
		{30, [2]float64{30, 30}, [3]float64{1, 0, 0}}, // nothing is gained elsewhere
		{200, [2]float64{3, 3}, [3]float64{0.4, 0.3, 0.3}},
	} {
		placer := newPlacer(1)
		placer.estimator = fixedEstimate{demand: c.demand, background: map[string]float64{"dakar-1": c.loads[0], "dakar-2": c.loads[1]}}
		placer.failureDomain = "dakar-0"
		servers, counts := serversInThreeDomains(5), map[string]float64{}
		for range 20_000 {
			counts[placer.Select(servers, nil, start).FailureDomain] += 1.0 / 20_000
		}
		for domain, want := range c.want {
			got := counts[fmt.Sprintf("dakar-%d", domain)]
			assert.Assert(t, math.Abs(got-want) < 0.02, "demand %v, others %v: %v", c.demand, c.loads, counts)
		}
	}
}

// Long flows count by the requests that they are to bring, so a new server gets a share of the
// later ones, and no rush.
func TestNewServerGetsItsShareOfLongFlows(t *testing.T) {
	placer := newPlacer(1)
	servers := candidates("a", "b", "c", "d", "e")
	for i := range 100 { // each flow has one request of 50 ms in a second
		server := servers[i%4]
		placer.FlowOpened(server, start)
		placer.RequestBegan(server, true, start)
		if i%20 > 0 {
			placer.RequestEnded(server, start)
		}
	}
	result := map[string]int{}
	for range 25 {
		server := placer.Select(servers, nil, start)
		placer.FlowOpened(server, start)
		result[server.Name]++
	}
	assert.Assert(t, result["e"] >= 8 && result["e"] <= 20, "%v", result)
}

var _ loadEstimator = (*estimator.Estimator)(nil)

// The cost of a flow must not grow with the number of servers.
func BenchmarkSelect(b *testing.B) {
	for _, perDomain := range []int{5, 40, 5000} {
		for _, perSecond := range []float64{400, 1400} {
			b.Run(fmt.Sprintf("%d servers, %v requests a second", 3*perDomain, perSecond), func(b *testing.B) {
				load := large(steady(perSecond, perSecond, perSecond))
				load.length = 2 * time.Second
				play := newPlay(load, 1, false)
				play.run()
				selector := play.instances[0][0]
				servers := serversInThreeDomains(perDomain)
				for i := range servers {
					servers[i].FailureDomain = domainName(i / perDomain)
					servers[i].Service = "s"
				}
				b.ResetTimer()
				for i := range b.N {
					now := play.now.Add(time.Duration(i) * 10 * time.Millisecond)
					server := selector.Select(servers, nil, now)
					selector.FlowOpened(server, now)
					selector.RequestBegan(server, true, now)
					selector.RequestEnded(server, now.Add(time.Millisecond))
					selector.FlowClosed(server, now.Add(time.Millisecond))
				}
			})
		}
	}
}
