package placer

import (
	"math/rand/v2"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// responseTimeSmoothing is the weight of a new sample in a moving average of response times.
	responseTimeSmoothing = 0.15
	// maxResponseTimeRatio caps a server's average response time relative to its service's.
	maxResponseTimeRatio = 4.0
	// minResponseTimeRatio is the smallest ratio that is credited to a server; the
	// fastest servers are about 1.6 times as fast as the average. A server with a
	// smaller ratio may be failing its requests immediately.
	minResponseTimeRatio = 0.3
	// crossDomainPenalty multiplies the cost of a server outside the instance's failure domain.
	crossDomainPenalty = 1.5
	// comparedCandidates is how many random candidates are compared for one flow.
	comparedCandidates = 3
	// maxDraws is how many random candidates are tried before all candidates are examined.
	maxDraws = 8
)

// Placer selects servers for new flows and keeps the load of each server as this
// instance measures it; it is not safe for concurrent use.
type Placer struct {
	failureDomain        string
	instanceCount        func() int                             // how many instances share the load, this one included
	isFailing            func(token uint32, now time.Time) bool // by the server's token
	random               *rand.Rand
	pacer                warmUpPacer
	servers              map[serverKey]*serverState
	domainEjections      map[domainKey]*ejection
	serviceResponseTimes map[string]*serviceAverage
}

// serverKey identifies one incarnation of a backend server.
type serverKey struct {
	name      string
	startedAt int64
}

// domainKey identifies the servers of a service in one failure domain.
type domainKey struct {
	service string
	domain  string
}

// serverState is the state of one incarnation of a backend server.
type serverState struct {
	openFlows    int
	responseTime movingAverage // seconds from a request to the end of its response
	ejection     ejection
	lastUsed     time.Time // when the state was last read or updated
}

// serviceAverage is the average response time of a service in seconds.
type serviceAverage struct {
	movingAverage
	lastUsed time.Time // when it was last updated
}

// movingAverage is an exponential moving average that starts at its first sample.
type movingAverage struct{ value float64 }

func (movingAverage *movingAverage) add(sample float64) {
	if movingAverage.value == 0 {
		movingAverage.value = sample
		return
	}
	movingAverage.value += responseTimeSmoothing * (sample - movingAverage.value)
}

// NewPlacer returns a Placer for an instance in failureDomain; instanceCount returns
// how many instances share the load, and isFailing reports whether the server with a
// token is ejected because its requests fail.
func NewPlacer(failureDomain string, instanceCount func() int, isFailing func(token uint32, now time.Time) bool, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain:        failureDomain,
		instanceCount:        instanceCount,
		isFailing:            isFailing,
		random:               random,
		pacer:                unpaced{},
		servers:              map[serverKey]*serverState{},
		domainEjections:      map[domainKey]*ejection{},
		serviceResponseTimes: map[string]*serviceAverage{},
	}
}

// Select returns the server for a new flow: the cheapest of a few random
// candidates, or nil if there are no candidates that may get one now. Ejected servers are selected only if
// there are no others, and servers in attempted, which the flow's opening was sent to
// before, only if there are no servers outside attempted.
func (placer *Placer) Select(candidates []*viewer.BackendServer, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	var best *viewer.BackendServer
	bestCost := 0.0
	for range comparedCandidates {
		candidate := placer.drawCandidate(candidates, attempted, now)
		if candidate == nil {
			break
		}
		cost := placer.expectedCost(candidate, now)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if shared := placer.drawShared(candidates, attempted, now); shared != nil && placer.expectedCost(shared, now) < bestCost {
		return shared
	}
	return best
}

// drawCandidate returns a random candidate that is not ejected and lies outside the
// failure domains of the attempted servers. It examines all candidates only if
// maxDraws draws find none, so that the usual cost does not grow with their number; then
// it draws from the preferredCandidates.
func (placer *Placer) drawCandidate(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	for range min(maxDraws, len(candidates)) {
		candidate := candidates[placer.random.IntN(len(candidates))]
		if !containsDomain(attempted, candidate) && !placer.isEjected(candidate, now) && placer.acceptsDraw(candidate, now) {
			return candidate
		}
	}
	preferred := placer.preferredCandidates(candidates, attempted, now)
	if len(preferred) == 0 {
		return nil
	}
	return preferred[placer.random.IntN(len(preferred))]
}

// preferredCandidates returns the first of these groups that is not empty: servers
// that are not ejected, outside the failure domains of the attempted ones; other
// servers that are not ejected; ejected servers; all candidates. Only the last
// contains attempted servers, and none those that may get no flow now.
func (placer *Placer) preferredCandidates(candidates, attempted []*viewer.BackendServer, now time.Time) []*viewer.BackendServer {
	candidates = placer.withoutDeclined(candidates, now)
	var otherDomain, sameDomain, ejected []*viewer.BackendServer
	for _, candidate := range candidates {
		switch {
		case viewer.Contains(attempted, candidate):
		case placer.isEjected(candidate, now):
			ejected = append(ejected, candidate)
		case containsDomain(attempted, candidate):
			sameDomain = append(sameDomain, candidate)
		default:
			otherDomain = append(otherDomain, candidate)
		}
	}
	for _, group := range [][]*viewer.BackendServer{otherDomain, sameDomain, ejected} {
		if len(group) > 0 {
			return group
		}
	}
	return candidates
}

// isEjected reports whether a server gets no new flows because it, or its failure
// domain, does not answer openings, or because its requests fail.
func (placer *Placer) isEjected(candidate *viewer.BackendServer, now time.Time) bool {
	unresponsive := placer.stateOf(candidate, now).ejection.active(now) || placer.domainEjection(candidate).active(now)
	return unresponsive || placer.isFailing(candidate.Token, now)
}

// domainEjection returns the ejection that the servers of backendServer's service and
// failure domain share.
func (placer *Placer) domainEjection(backendServer *viewer.BackendServer) *ejection {
	key := domainKey{service: backendServer.Service, domain: backendServer.FailureDomain}
	shared := placer.domainEjections[key]
	if shared == nil {
		shared = &ejection{}
		placer.domainEjections[key] = shared
	}
	return shared
}

// containsDomain reports whether one of servers is in the failure domain of candidate.
func containsDomain(servers []*viewer.BackendServer, candidate *viewer.BackendServer) bool {
	for _, server := range servers {
		if server.FailureDomain == candidate.FailureDomain {
			return true
		}
	}
	return false
}

// expectedCost estimates how long a flow takes at a server, in multiples of the
// service's average response time. It assumes that each instance that
// opens flows at the server has as many open there as this one.
func (placer *Placer) expectedCost(candidate *viewer.BackendServer, now time.Time) float64 {
	state := placer.stateOf(candidate, now)
	cost := placer.responseTimeRatio(candidate, state)
	flowsPerSlot := float64(state.openFlows*placer.loadFactor(candidate, now)) / float64(max(candidate.Slots, 1))
	cost *= 1 + flowsPerSlot
	if candidate.FailureDomain != placer.failureDomain {
		cost *= crossDomainPenalty
	}
	return cost
}

// responseTimeRatio returns the server's average response time divided by its
// service's, or 1 if either is unknown or the ratio is below minResponseTimeRatio.
func (placer *Placer) responseTimeRatio(candidate *viewer.BackendServer, state *serverState) float64 {
	average := placer.serviceResponseTimes[candidate.Service]
	if average == nil || average.value == 0 || state.responseTime.value == 0 {
		return 1
	}
	ratio := state.responseTime.value / average.value
	if ratio < minResponseTimeRatio {
		return 1
	}
	return min(ratio, maxResponseTimeRatio)
}

// FlowOpened counts a flow as open at a server.
func (placer *Placer) FlowOpened(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).openFlows++
}

// FlowClosed reverts one FlowOpened.
func (placer *Placer) FlowClosed(backendServer *viewer.BackendServer, now time.Time) {
	state := placer.stateOf(backendServer, now)
	state.openFlows = max(state.openFlows-1, 0)
}

// OpeningAnswered records that a server answered an opening, which ends the ejections
// of the server and its failure domain for unanswered openings.
func (placer *Placer) OpeningAnswered(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).ejection.reset()
	placer.domainEjection(backendServer).reset()
}

// OpeningUnanswered records that a server did not answer an opening, and reports
// whether the server is ejected as a result.
func (placer *Placer) OpeningUnanswered(backendServer *viewer.BackendServer, now time.Time) bool {
	placer.domainEjection(backendServer).openingUnanswered(domainUnansweredLimit, now)
	return placer.stateOf(backendServer, now).ejection.openingUnanswered(serverUnansweredLimit, now)
}

// RecordResponseTime adds the time from a request to the end of its response to the
// averages of the server and its service. A time that is implausibly short for the
// service is left out of the service's average.
func (placer *Placer) RecordResponseTime(backendServer *viewer.BackendServer, duration time.Duration, now time.Time) {
	placer.stateOf(backendServer, now).responseTime.add(duration.Seconds())
	average := placer.serviceResponseTimes[backendServer.Service]
	if average == nil {
		average = &serviceAverage{}
		placer.serviceResponseTimes[backendServer.Service] = average
	}
	average.lastUsed = now
	if duration.Seconds() >= minResponseTimeRatio*average.value {
		average.add(duration.Seconds())
	}
}

// ExpireServers deletes the state of servers, and the averages of services, that were last
// used before a time.
func (placer *Placer) ExpireServers(before time.Time) {
	placer.pacer.Expire(before)
	for key, state := range placer.servers {
		if state.lastUsed.Before(before) {
			delete(placer.servers, key)
		}
	}
	for service, average := range placer.serviceResponseTimes {
		if average.lastUsed.Before(before) {
			delete(placer.serviceResponseTimes, service)
		}
	}
}

// stateOf returns the state of a server, created if necessary, and marks it as used.
func (placer *Placer) stateOf(backendServer *viewer.BackendServer, now time.Time) *serverState {
	key := serverKey{name: backendServer.Name, startedAt: backendServer.StartedAt}
	state := placer.servers[key]
	if state == nil {
		state = &serverState{}
		placer.servers[key] = state
	}
	state.lastUsed = now
	return state
}
