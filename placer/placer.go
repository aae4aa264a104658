package placer

import (
	"math/rand/v2"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// responseTimeSmoothing is the weight of a new sample in the average time of a flow.
	responseTimeSmoothing = 0.15
	// maxResponseTimeRatio bounds how far a server's time can lie above its service's.
	maxResponseTimeRatio = 4.0
	// minResponseTimeRatio is the smallest that speed explains; the fastest servers are
	// about 1.6 times as fast as the average. One that is faster may be failing
	// its requests at once, and gets no credit for it.
	minResponseTimeRatio = 0.3
	// crossDomainPenalty multiplies the cost of a server in another failure domain.
	crossDomainPenalty = 1.5
	// coldStartPenalty multiplies the cost of a server that has just started.
	coldStartPenalty = 1.6
	// comparedCandidates is how many candidates are compared for one flow.
	comparedCandidates = 3
	// maxDraws is how often a candidate is drawn before all are looked at.
	maxDraws = 8
)

// Placer keeps what is known of the load of every backend server.
type Placer struct {
	failureDomain string
	instanceCount     func() int // how many instances share the load
	isFailing       func(token uint32, now time.Time) bool
	random        *rand.Rand
	servers       map[serverKey]*serverState
	domainEjections       map[domainKey]*ejection
	serviceResponseTimes      map[string]*movingAverage
}

type serverKey struct {
	name      string
	startedAt int64
}

// domainKey names the servers of a service in one failure domain.
type domainKey struct {
	service string
	domain  string
}

// serverState is the state of one incarnation of a backend server.
type serverState struct {
	openFlows int
	responseTime movingAverage // of a flow, in seconds
	ejection ejection
	lastUsed time.Time
}

// movingAverage is a moving average that starts with its first sample.
type movingAverage struct{ value float64 }

func (movingAverage *movingAverage) add(sample float64) {
	if movingAverage.value == 0 {
		movingAverage.value = sample
		return
	}
	movingAverage.value += responseTimeSmoothing * (sample - movingAverage.value)
}

// NewPlacer returns a Placer for an instance in failureDomain; instances tells how
// many share the load, failing which servers get no new flows.
func NewPlacer(failureDomain string, instances func() int, failing func(token uint32, now time.Time) bool, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain: failureDomain,
		instanceCount:     instances,
		isFailing:       failing,
		random:        random,
		servers:       map[serverKey]*serverState{},
		domainEjections:       map[domainKey]*ejection{},
		serviceResponseTimes:      map[string]*movingAverage{},
	}
}

// Select returns the candidate for a new flow, or nil when there is none. Those
// in tried are taken only when nothing else is left.
func (placer *Placer) Select(candidates []*viewer.BackendServer, tried []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	var best *viewer.BackendServer
	bestCost := 0.0
	for range comparedCandidates {
		candidate := placer.drawCandidate(candidates, tried, now)
		if candidate == nil {
			break
		}
		cost := placer.expectedCost(candidate, now)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// drawCandidate returns a random candidate that is not held off, outside the failure
// domains of tried ones. Only when a few draws find none are all candidates looked
// at, so that the work does not grow with their number.
func (placer *Placer) drawCandidate(candidates, tried []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	for range min(maxDraws, len(candidates)) {
		candidate := candidates[placer.random.IntN(len(candidates))]
		if !containsDomain(tried, candidate) && !placer.isEjected(candidate, now) {
			return candidate
		}
	}
	usable := placer.preferredCandidates(candidates, tried, now)
	if len(usable) == 0 {
		return nil
	}
	return usable[placer.random.IntN(len(usable))]
}

// preferredCandidates returns the best group of candidates that is not empty: those that
// answer, outside the failure domains of tried ones; those that answer; those
// that are held off; all.
func (placer *Placer) preferredCandidates(candidates, tried []*viewer.BackendServer, now time.Time) []*viewer.BackendServer {
	var elsewhere, fresh, held []*viewer.BackendServer
	for _, candidate := range candidates {
		switch {
		case viewer.Contains(tried, candidate):
		case placer.isEjected(candidate, now):
			held = append(held, candidate)
		case containsDomain(tried, candidate):
			fresh = append(fresh, candidate)
		default:
			elsewhere = append(elsewhere, candidate)
		}
	}
	for _, group := range [][]*viewer.BackendServer{elsewhere, fresh, held} {
		if len(group) > 0 {
			return group
		}
	}
	return candidates
}

func (placer *Placer) isEjected(candidate *viewer.BackendServer, now time.Time) bool {
	silent := placer.stateOf(candidate, now).ejection.active(now) || placer.domainEjection(candidate).active(now)
	return silent || placer.isFailing(candidate.Token, now)
}

// domainEjection returns the hold of the failure domain of a server.
func (placer *Placer) domainEjection(backendServer *viewer.BackendServer) *ejection {
	key := domainKey{service: backendServer.Service, domain: backendServer.FailureDomain}
	domain := placer.domainEjections[key]
	if domain == nil {
		domain = &ejection{}
		placer.domainEjections[key] = domain
	}
	return domain
}

func containsDomain(servers []*viewer.BackendServer, wanted *viewer.BackendServer) bool {
	for _, server := range servers {
		if server.FailureDomain == wanted.FailureDomain {
			return true
		}
	}
	return false
}

// expectedCost is the time that a flow is expected to take at a server, up to a factor.
func (placer *Placer) expectedCost(candidate *viewer.BackendServer, now time.Time) float64 {
	state := placer.stateOf(candidate, now)
	cost := placer.responseTimeRatio(candidate, state)
	waiting := float64(state.openFlows*placer.instanceCount()) / float64(max(candidate.Slots, 1))
	cost *= 1 + waiting
	if candidate.FailureDomain != placer.failureDomain {
		cost *= crossDomainPenalty
	}
	if now.Before(candidate.ColdUntil) {
		cost *= coldStartPenalty
	}
	return cost
}

// responseTimeRatio compares the time of a flow at a server with the service's.
func (placer *Placer) responseTimeRatio(candidate *viewer.BackendServer, state *serverState) float64 {
	service := placer.serviceResponseTimes[candidate.Service]
	if service == nil || service.value == 0 || state.responseTime.value == 0 {
		return 1
	}
	ratio := state.responseTime.value / service.value
	if ratio < minResponseTimeRatio {
		return 1
	}
	return min(ratio, maxResponseTimeRatio)
}

// FlowOpened counts a flow that was sent to a server.
func (placer *Placer) FlowOpened(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).openFlows++
}

// FlowClosed takes back one Opened.
func (placer *Placer) FlowClosed(backendServer *viewer.BackendServer, now time.Time) {
	state := placer.stateOf(backendServer, now)
	state.openFlows = max(state.openFlows-1, 0)
}

// OpeningAnswered says that a server took an opening.
func (placer *Placer) OpeningAnswered(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).ejection.reset()
	placer.domainEjection(backendServer).reset()
}

// OpeningUnanswered says that a server did not answer an opening, and reports whether it is held off from now on.
func (placer *Placer) OpeningUnanswered(backendServer *viewer.BackendServer, now time.Time) bool {
	placer.domainEjection(backendServer).openingUnanswered(domainUnansweredLimit, now)
	return placer.stateOf(backendServer, now).ejection.openingUnanswered(serverUnansweredLimit, now)
}

// RecordResponseTime adds the time from a request to the end of its response.
func (placer *Placer) RecordResponseTime(backendServer *viewer.BackendServer, duration time.Duration, now time.Time) {
	placer.stateOf(backendServer, now).responseTime.add(duration.Seconds())
	service := placer.serviceResponseTimes[backendServer.Service]
	if service == nil {
		service = &movingAverage{}
		placer.serviceResponseTimes[backendServer.Service] = service
	}
	if duration.Seconds() >= minResponseTimeRatio*service.value {
		service.add(duration.Seconds())
	}
}

// ExpireServers drops the state of servers that were not touched since before.
func (placer *Placer) ExpireServers(before time.Time) {
	for key, state := range placer.servers {
		if state.lastUsed.Before(before) {
			delete(placer.servers, key)
		}
	}
}

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
