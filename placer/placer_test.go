package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

var start = time.Unix(1_000_000, 0)

func newPlacer(seed uint64) *Placer {
	return NewPlacer("dakar-1", func() int { return 1 }, func(uint32, time.Time) bool { return false }, rand.New(rand.NewPCG(seed, seed)))
}

func candidates(names ...string) []*viewer.BackendServer {
	var servers []*viewer.BackendServer
	for _, name := range names {
		servers = append(servers, &viewer.BackendServer{Name: name, Service: "desk-sync", FailureDomain: "dakar-1", Slots: 3})
	}
	return servers
}

// placeAndCount places flows that stay open and counts them by server.
func placeAndCount(placer *Placer, servers []*viewer.BackendServer, flows int) map[string]int {
	result := map[string]int{}
	for range flows {
		server := placer.Select(servers, nil, start)
		placer.FlowOpened(server, start)
		result[server.Name]++
	}
	return result
}

func TestWithoutCandidatesNothingIsPlaced(t *testing.T) {
	assert.Assert(t, newPlacer(1).Select(nil, nil, start) == nil)
}

func TestOpenFlowsAreSpreadEvenly(t *testing.T) {
	for seed := range uint64(20) {
		for name, count := range placeAndCount(newPlacer(seed), candidates("a", "b", "c", "d"), 200) {
			assert.Assert(t, count >= 45 && count <= 55, "seed %d: %s got %d of 200", seed, name, count)
		}
	}
}

func TestWithoutKnowledgeInstancesDoNotChooseTheSameServer(t *testing.T) {
	servers := candidates("a", "b", "c", "d", "e", "f", "g", "h")
	first := map[string]int{}
	for seed := range uint64(800) {
		first[newPlacer(seed).Select(servers, nil, start).Name]++
	}
	for _, server := range servers {
		assert.Assert(t, first[server.Name] > 60 && first[server.Name] < 140, "%s is the first choice of %d of 800", server.Name, first[server.Name])
	}
}

func TestASlowServerGetsLess(t *testing.T) {
	placer, servers := newPlacer(1), candidates("slow", "fast")
	for range 200 {
		placer.RecordResponseTime(servers[0], 90*time.Millisecond, start)
		placer.RecordResponseTime(servers[1], 30*time.Millisecond, start)
	}
	result := placeAndCount(placer, servers, 100)
	assert.Assert(t, result["fast"] > 2*result["slow"], "%v", result)
	assert.Assert(t, result["slow"] > 0)
}

func TestAServerThatFailsAtOnceAttractsNoLoad(t *testing.T) {
	placer, servers := newPlacer(1), candidates("failing", "a", "b", "c", "d", "e")
	result := map[string]int{}
	for range 3000 {
		server := placer.Select(servers, nil, start)
		duration := 50 * time.Millisecond
		if server.Name == "failing" {
			duration = 5 * time.Millisecond
		}
		placer.RecordResponseTime(server, duration, start)
		result[server.Name]++
	}
	assert.Assert(t, result["failing"] < 600, "%v", result)
}

func TestTheOwnFailureDomainComesFirst(t *testing.T) {
	placer, servers := newPlacer(1), candidates("near", "far")
	servers[1].FailureDomain = "dakar-2"
	result := placeAndCount(placer, servers, 100)
	assert.Assert(t, result["near"] > result["far"], "%v", result)
}

func TestASilentServerIsHeldOffAndTriedAgain(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	assert.Assert(t, !placer.OpeningUnanswered(servers[0], start), "one lost packet is no evidence")
	assert.Assert(t, placer.OpeningUnanswered(servers[0], start))
	for range 50 {
		assert.Equal(t, placer.Select(servers, nil, start).Name, "b")
	}
	later := start.Add(baseEjectionTime)
	tried := false
	for range 50 {
		tried = tried || placer.Select(servers, nil, later).Name == "a"
	}
	assert.Assert(t, tried)
	assert.Assert(t, placer.OpeningUnanswered(servers[0], later), "after a pause one more silent opening is enough")
	assert.Equal(t, placer.Select(servers, nil, later.Add(baseEjectionTime)).Name, "b")
	placer.OpeningAnswered(servers[0], later)
	assert.Assert(t, !placer.OpeningUnanswered(servers[0], later))
}

func TestAServerThatStartsAgainIsNotHeldOff(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a")
	placer.OpeningUnanswered(servers[0], start)
	placer.OpeningUnanswered(servers[0], start)
	again := *servers[0]
	again.StartedAt = 7
	both := append(candidates("b"), &again)
	tried := false
	for range 50 {
		tried = tried || placer.Select(both, nil, start).Name == "a"
	}
	assert.Assert(t, tried)
}

func TestWhenAllAreHeldOffOneIsUsedAllTheSame(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	for _, server := range servers {
		placer.OpeningUnanswered(server, start)
		placer.OpeningUnanswered(server, start)
	}
	assert.Assert(t, placer.Select(servers, nil, start) != nil)
}

func TestTriedServersAreAvoided(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	for range 50 {
		assert.Equal(t, placer.Select(servers, servers[:1], start).Name, "b")
	}
	assert.Assert(t, placer.Select(servers, servers, start) != nil)
}

func TestForgetDropsServersThatWereNotTouched(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	placer.FlowOpened(servers[0], start)
	placer.FlowOpened(servers[1], start.Add(time.Minute))
	placer.ExpireServers(start.Add(time.Second))
	assert.Equal(t, len(placer.servers), 1)
}

// serversInThreeDomains returns servers in three failure domains.
func serversInThreeDomains(each int) []*viewer.BackendServer {
	var servers []*viewer.BackendServer
	for domain := range 3 {
		for i := range each {
			servers = append(servers, &viewer.BackendServer{
				Name: fmt.Sprintf("s-%d-%d", domain, i), Service: "desk-sync",
				FailureDomain: fmt.Sprintf("dakar-%d", domain), Slots: 3,
			})
		}
	}
	return servers
}

// openUntilAccepted places a flow and retries it as long as dead servers are
// chosen, and returns how often it was placed.
func openUntilAccepted(placer *Placer, servers []*viewer.BackendServer, alive string, now time.Time) int {
	var tried []*viewer.BackendServer
	for range servers {
		server := placer.Select(servers, tried, now)
		tried = append(tried, server)
		if server.FailureDomain == alive {
			placer.OpeningAnswered(server, now)
			break
		}
		placer.OpeningUnanswered(server, now)
	}
	return len(tried)
}

func TestInADomainThatIsCutOffFewFlowsAreRetried(t *testing.T) {
	for _, each := range []int{5, 40} {
		for seed := range uint64(10) {
			placer, servers := newPlacer(seed), serversInThreeDomains(each)
			retried, often := 0, 0
			for i := range 120 {
				placed := openUntilAccepted(placer, servers, "dakar-1", start.Add(time.Duration(i)*50*time.Millisecond))
				if placed > 1 {
					retried++
				}
				if placed > 3 {
					often++
				}
			}
			assert.Equal(t, often, 0, "a retry leaves the failure domains that were silent")
			// Four to find out each of two domains, then one for each pause of 0.5, 1, 2 and 4 s.
			assert.Assert(t, retried <= 16, "%d servers, seed %d: %d of 120 flows in six seconds", each, seed, retried)
		}
	}
}

func TestADomainIsNotHeldOffForOneDeadServer(t *testing.T) {
	placer, servers := newPlacer(1), candidates("dead", "b", "c")
	for range 20 {
		placer.OpeningUnanswered(servers[0], start)
		placer.OpeningAnswered(servers[1], start)
	}
	assert.Assert(t, !placer.isEjected(servers[2], start))
}
