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
	return NewPlacer("dakar-1", noEstimate{}, neverFailing, rand.New(rand.NewPCG(seed, seed)))
}

func candidates(names ...string) []*viewer.BackendServer {
	var servers []*viewer.BackendServer
	for _, name := range names {
		servers = append(servers, &viewer.BackendServer{Name: name, Service: "desk-sync", FailureDomain: "dakar-1", Slots: 3})
	}
	return servers
}

// placeAndCount places flows whose requests stay outstanding and returns their number by server.
func placeAndCount(placer *Placer, servers []*viewer.BackendServer, flows int) map[string]int {
	result := map[string]int{}
	for range flows {
		server := placer.Select(servers, nil, start)
		placer.FlowOpened(server, start)
		placer.RequestBegan(server, true, start)
		result[server.Name]++
	}
	return result
}

func TestNothingIsSelectedWithoutCandidates(t *testing.T) {
	assert.Assert(t, newPlacer(1).Select(nil, nil, start) == nil)
}

func TestOutstandingRequestsAreSpreadEvenly(t *testing.T) {
	for seed := range uint64(20) {
		for name, count := range placeAndCount(newPlacer(seed), candidates("a", "b", "c", "d"), 200) {
			assert.Assert(t, count >= 45 && count <= 55, "seed %d: %s got %d of 200", seed, name, count)
		}
	}
}

func TestInstancesWithoutMeasurementsSelectDifferentServers(t *testing.T) {
	servers := candidates("a", "b", "c", "d", "e", "f", "g", "h")
	first := map[string]int{}
	for seed := range uint64(800) {
		first[newPlacer(seed).Select(servers, nil, start).Name]++
	}
	for _, server := range servers {
		assert.Assert(t, first[server.Name] > 60 && first[server.Name] < 140, "%s is selected first by %d of 800 placers", server.Name, first[server.Name])
	}
}

func TestSlowServerReceivesFewerFlows(t *testing.T) {
	placer, servers := newPlacer(1), candidates("slow", "fast")
	for range 200 {
		placer.RecordResponseTime(servers[0], 90*time.Millisecond, start)
		placer.RecordResponseTime(servers[1], 30*time.Millisecond, start)
	}
	result := placeAndCount(placer, servers, 100)
	assert.Assert(t, result["fast"] > 2*result["slow"], "%v", result)
	assert.Assert(t, result["slow"] > 0)
}

func TestServerThatFailsImmediatelyAttractsNoLoad(t *testing.T) {
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

func TestOwnFailureDomainIsPreferred(t *testing.T) {
	placer, servers := newPlacer(1), candidates("near", "far")
	servers[1].FailureDomain = "dakar-2"
	result := placeAndCount(placer, servers, 100)
	assert.Assert(t, result["near"] > result["far"], "%v", result)
}

func TestUnresponsiveServerIsEjectedAndReadmitted(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	assert.Assert(t, !placer.OpeningUnanswered(servers[0], start), "a single unanswered opening may be a lost packet")
	assert.Assert(t, placer.OpeningUnanswered(servers[0], start))
	for range 50 {
		assert.Equal(t, placer.Select(servers, nil, start).Name, "b")
	}
	afterEjection := start.Add(baseEjectionTime)
	selected := false
	for range 50 {
		selected = selected || placer.Select(servers, nil, afterEjection).Name == "a"
	}
	assert.Assert(t, selected)
	assert.Assert(t, placer.OpeningUnanswered(servers[0], afterEjection), "after an ejection one more unanswered opening ejects again")
	assert.Equal(t, placer.Select(servers, nil, afterEjection.Add(baseEjectionTime)).Name, "b")
	placer.OpeningAnswered(servers[0], afterEjection)
	assert.Assert(t, !placer.OpeningUnanswered(servers[0], afterEjection))
}

func TestRestartedServerIsNotEjected(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a")
	placer.OpeningUnanswered(servers[0], start)
	placer.OpeningUnanswered(servers[0], start)
	restarted := *servers[0]
	restarted.StartedAt = 7
	both := append(candidates("b"), &restarted)
	selected := false
	for range 50 {
		selected = selected || placer.Select(both, nil, start).Name == "a"
	}
	assert.Assert(t, selected)
}

func TestEjectedServerIsSelectedWhenAllAreEjected(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	for _, server := range servers {
		placer.OpeningUnanswered(server, start)
		placer.OpeningUnanswered(server, start)
	}
	assert.Assert(t, placer.Select(servers, nil, start) != nil)
}

func TestAttemptedServersAreAvoided(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	for range 50 {
		assert.Equal(t, placer.Select(servers, servers[:1], start).Name, "b")
	}
	assert.Assert(t, placer.Select(servers, servers, start) != nil)
}

func TestExpireServersDeletesUnusedState(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	placer.FlowOpened(servers[0], start)
	placer.FlowOpened(servers[1], start.Add(time.Minute))
	placer.ExpireServers(start.Add(time.Second))
	assert.Equal(t, len(placer.servers), 1)
}

// serversInThreeDomains returns perDomain servers in each of three failure domains.
func serversInThreeDomains(perDomain int) []*viewer.BackendServer {
	var servers []*viewer.BackendServer
	for domain := range 3 {
		for i := range perDomain {
			servers = append(servers, &viewer.BackendServer{
				Name: fmt.Sprintf("s-%d-%d", domain, i), Service: "desk-sync",
				FailureDomain: fmt.Sprintf("dakar-%d", domain), Slots: 3,
			})
		}
	}
	return servers
}

// openUntilAnswered places a flow, retries it while servers outside the alive domain
// are selected, and returns the number of attempts.
func openUntilAnswered(placer *Placer, servers []*viewer.BackendServer, aliveDomain string, now time.Time) int {
	var attempted []*viewer.BackendServer
	for range servers {
		server := placer.Select(servers, attempted, now)
		attempted = append(attempted, server)
		if server.FailureDomain == aliveDomain {
			placer.OpeningAnswered(server, now)
			break
		}
		placer.OpeningUnanswered(server, now)
	}
	return len(attempted)
}

func TestUnreachableDomainsCauseFewRetries(t *testing.T) {
	for _, perDomain := range []int{5, 40} {
		for seed := range uint64(10) {
			placer, servers := newPlacer(seed), serversInThreeDomains(perDomain)
			retried, retriedOften := 0, 0
			for i := range 120 {
				attempts := openUntilAnswered(placer, servers, "dakar-1", start.Add(time.Duration(i)*50*time.Millisecond))
				if attempts > 1 {
					retried++
				}
				if attempts > 3 {
					retriedOften++
				}
			}
			assert.Equal(t, retriedOften, 0, "a retry avoids the failure domains of the attempted servers")
			// Four unanswered openings eject each of the two unreachable domains; then one
			// follows each ejection of 0.5, 1, 2 and 4 s.
			assert.Assert(t, retried <= 16, "%d servers per domain, seed %d: %d of 120 flows retried in six seconds", perDomain, seed, retried)
		}
	}
}

func TestDomainIsNotEjectedForOneDeadServer(t *testing.T) {
	placer, servers := newPlacer(1), candidates("dead", "b", "c")
	for range 20 {
		placer.OpeningUnanswered(servers[0], start)
		placer.OpeningAnswered(servers[1], start)
	}
	assert.Assert(t, !placer.isEjected(servers[2], start))
}

func TestAverageOfUnusedServiceExpires(t *testing.T) {
	placer := newPlacer(1)
	for i := range 1000 {
		server := &viewer.BackendServer{Name: "a", Service: fmt.Sprintf("service-%d", i)}
		placer.RecordResponseTime(server, time.Second, start)
	}
	placer.RecordResponseTime(candidates("b")[0], time.Second, start.Add(time.Minute))
	placer.ExpireServers(start.Add(time.Second))
	assert.Equal(t, len(placer.services), 1)
}

func TestFlowsAreSpreadOverAllDomainsIfTheseAreIgnored(t *testing.T) {
	placer := newPlacer(9)
	placer.IgnoreDomains(true)
	var candidates []*viewer.BackendServer
	for i, domain := range []string{"dakar-1", "dakar-2", "dakar-2", "dakar-3"} {
		candidates = append(candidates, &viewer.BackendServer{Name: string(rune('a' + i)), Service: "desk-sync", FailureDomain: domain, Slots: 2})
	}
	placed := map[string]int{}
	for range 4000 {
		placed[placer.Select(candidates, nil, start).FailureDomain]++
	}
	for domain, share := range map[string]int{"dakar-1": 1000, "dakar-2": 2000, "dakar-3": 1000} {
		assert.Assert(t, placed[domain] > share*9/10 && placed[domain] < share*11/10, "%v", placed)
	}
}

func TestServerIsReadmittedOnce(t *testing.T) {
	placer, servers := newPlacer(1), candidates("a", "b")
	isSelected := func(at time.Time) bool {
		for range 50 {
			if placer.Select(servers, nil, at).Name == "a" {
				return true
			}
		}
		return false
	}
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	assert.Assert(t, !placer.Readmit(servers[0], start), "it is not ejected")
	placer.OpeningUnanswered(servers[0], start)
	placer.OpeningUnanswered(servers[0], start)
	assert.Assert(t, !isSelected(at(10)))
	assert.Assert(t, placer.Readmit(servers[0], at(20)))
	assert.Assert(t, isSelected(at(20)), "at once")
	assert.Assert(t, placer.OpeningUnanswered(servers[0], at(100)))
	assert.Assert(t, !placer.Readmit(servers[0], at(120)), "the way to it is broken")
	assert.Assert(t, !isSelected(at(900)))
	assert.Assert(t, isSelected(at(1100)))
	placer.OpeningAnswered(servers[0], at(1200))
	placer.OpeningUnanswered(servers[0], at(1300))
	placer.OpeningUnanswered(servers[0], at(1300))
	assert.Assert(t, placer.Readmit(servers[0], at(1320)))
}

func TestFailureDomainIsReadmitted(t *testing.T) {
	placer, servers := newPlacer(1), serversInThreeDomains(5)
	for i := range 3 {
		assert.Assert(t, !placer.OpeningUnanswered(servers[5+i], start))
	}
	assert.Assert(t, placer.OpeningUnanswered(servers[8], start), "the servers of its failure domain are ejected")
	assert.Assert(t, placer.isEjected(servers[9], start))
	assert.Assert(t, placer.Readmit(servers[8], start))
	assert.Assert(t, !placer.isEjected(servers[9], start))
}
