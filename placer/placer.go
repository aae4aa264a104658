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
	// crossDomainPenalty multiplies the cost of a cold server outside the failure domain that was
	// drawn.
	crossDomainPenalty = 1.5
	// comparedCandidates is how many random candidates are compared for one flow.
	comparedCandidates = 3
	// maxDraws is how many random candidates of a failure domain are tried before all candidates are
	// examined.
	maxDraws = 8
	// activitySmoothing is the weight of a new sample in the average share of open flows
	// that have a request outstanding.
	activitySmoothing = 0.02
	// laterSmoothing is the weight of a request in the average shares of requests that are not the
	// first of their flow.
	laterSmoothing = 0.03
	// minFirstShare is the smallest share of the requests that count as the first of their flow.
	minFirstShare = 0.1
)

// loadEstimator estimates the load of services in failure domains;
// estimator.Estimator implements it.
type loadEstimator interface {
	RequestBegan(server *viewer.BackendServer, now time.Time)
	RequestEnded(server *viewer.BackendServer, now time.Time)
	RecordResponseTime(server *viewer.BackendServer, duration time.Duration, now time.Time)
	// Demand returns the outstanding requests of the callers of this failure domain.
	Demand(service string, now time.Time) float64
	// Surge returns the same at this moment, less what chance may add.
	Surge(service string, now time.Time) float64
	// Offered returns how many slots the requests of these callers would keep busy if none
	// waited or was rejected; 0 while that is unknown.
	Offered(service string, now time.Time) float64
	// Outstanding returns the outstanding requests of all callers in a failure domain.
	Outstanding(service, failureDomain string, now time.Time) float64
	// Background returns the outstanding requests of other callers in a failure domain.
	Background(service, failureDomain string, now time.Time) float64
	// FleetInstances returns how many instances there are, this one included.
	FleetInstances() int
	Expire(before time.Time)
}

// Placer selects servers for new flows and keeps the load of each server as this
// instance measures it; it is not safe for concurrent use.
type Placer struct {
	failureDomain   string
	estimator       loadEstimator
	isFailing       func(token uint32, now time.Time) bool // by the server's token
	random          *rand.Rand
	pacer           warmUpPacer
	servers         map[serverKey]*serverState
	domainEjections map[domainKey]*ejection
	services        map[string]*serviceState
	indexes         map[string]*domainIndex // by service
}

// serverKey identifies one incarnation of a backend server.
type serverKey struct {
	name      string
	startedAt int64
}

func keyOf(backendServer *viewer.BackendServer) serverKey {
	return serverKey{name: backendServer.Name, startedAt: backendServer.StartedAt}
}

// domainKey identifies the servers of a service in one failure domain.
type domainKey struct {
	service string
	domain  string
}

// serverState is the state of one incarnation of a backend server.
type serverState struct {
	openFlows    int
	outstanding  int           // requests that this instance has sent and that are not answered
	responseTime movingAverage // seconds from a request to the end of its response
	ejection     ejection
	lastUsed     time.Time // when the state was last read or updated
}

// serviceState is what is known of a service as a whole.
type serviceState struct {
	responseTime movingAverage // seconds
	openFlows    int
	outstanding  int
	activity     float64   // average share of the open flows that have a request outstanding
	later        float64   // average share of the requests that are not the first of their flow
	laterOutside float64   // average share of these that go to other failure domains
	correction   float64   // share of the requests that has to leave besides the planned one
	correctedAt  time.Time // when the correction was last changed
	lastUsed     time.Time // when it was last updated
}

// newFlowShare returns the share of new flows that has to go to other failure domains, so that a
// share of all requests does: the later requests of open flows stay where these are.
func (serviceState *serviceState) newFlowShare(share float64) float64 {
	first := max(1-serviceState.later, minFirstShare)
	return min(max((share-serviceState.later*serviceState.laterOutside)/first, 0), 1)
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

// NewPlacer returns a Placer for an instance in failureDomain; isFailing reports whether
// the server with a token is ejected because its requests fail.
func NewPlacer(failureDomain string, estimator loadEstimator, isFailing func(token uint32, now time.Time) bool, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain:   failureDomain,
		estimator:       estimator,
		isFailing:       isFailing,
		random:          random,
		pacer:           unpaced{},
		servers:         map[serverKey]*serverState{},
		domainEjections: map[domainKey]*ejection{},
		services:        map[string]*serviceState{},
		indexes:         map[string]*domainIndex{},
	}
}

// Select returns the server for a new flow: the cheapest of a few random candidates in the
// failure domain that drawDomain chooses, or nil if there are no candidates that may get one now.
// Ejected servers are selected only if there are no others, and servers in attempted, which the
// flow's opening was sent to before, only if there are no servers outside attempted; servers
// outside the failure domains of attempted come first. All candidates are examined only where the
// drawn ones don't serve, so that the usual cost does not grow with their number.
func (placer *Placer) Select(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	if len(candidates) == 0 {
		return nil
	}
	index := placer.indexOf(candidates, now)
	var best *viewer.BackendServer
	if domain := placer.drawDomain(index, attempted, now); domain != nil {
		best = placer.cheapest(domain.usable, now)
	}
	if best == nil {
		best = placer.drawPreferred(candidates, attempted, now)
	}
	if shared := placer.drawShared(candidates, attempted, now); placer.isCheaper(shared, best, now) {
		return shared
	}
	return best
}

// isCheaper reports whether a cold server that was drawn beside the others is to be taken in place
// of best, which may be nil.
func (placer *Placer) isCheaper(shared, best *viewer.BackendServer, now time.Time) bool {
	if shared == nil || best == nil {
		return shared != nil
	}
	cost := placer.expectedCost(shared, now)
	if shared.FailureDomain != best.FailureDomain {
		cost *= crossDomainPenalty
	}
	return cost < placer.expectedCost(best, now)
}

// drawPreferred returns a random one of the preferredCandidates, or nil if there are none.
func (placer *Placer) drawPreferred(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	preferred := placer.preferredCandidates(candidates, attempted, now)
	if len(preferred) == 0 {
		return nil
	}
	return preferred[placer.random.IntN(len(preferred))]
}

// cheapest returns the cheapest of comparedCandidates random candidates that may get a flow and are
// not ejected, or nil if maxDraws draws find none.
func (placer *Placer) cheapest(candidates []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	var best *viewer.BackendServer
	bestCost := 0.0
	compared := 0
	for range maxDraws {
		candidate := candidates[placer.random.IntN(len(candidates))]
		if placer.isEjected(candidate, now) || !placer.acceptsDraw(candidate, now) {
			continue
		}
		cost := placer.expectedCost(candidate, now)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
		if compared++; compared == comparedCandidates {
			break
		}
	}
	return best
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
	state := placer.servers[keyOf(candidate)]
	unresponsive := state != nil && state.ejection.active(now) || placer.domainEjection(candidate).active(now)
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

// expectedCost estimates how long a request takes at a server, in multiples of the
// service's average response time. It assumes that each instance that may send flows to the server
// has as many requests there as this one. Of this instance's flows, one between two requests counts
// as much as such a flow is active on average.
func (placer *Placer) expectedCost(candidate *viewer.BackendServer, now time.Time) float64 {
	state := placer.stateOf(candidate, now)
	cost := placer.responseTimeRatio(candidate, state)
	pausing := float64(max(state.openFlows-state.outstanding, 0))
	load := float64(state.outstanding) + pausing*placer.service(candidate.Service, now).activity
	cost *= 1 + load*float64(placer.loadFactor(candidate, now))/float64(max(candidate.Slots, 1))
	return cost
}

// responseTimeRatio returns the server's average response time divided by its
// service's, or 1 if either is unknown or the ratio is below minResponseTimeRatio.
func (placer *Placer) responseTimeRatio(candidate *viewer.BackendServer, state *serverState) float64 {
	service := placer.services[candidate.Service]
	if service == nil || service.responseTime.value == 0 || state.responseTime.value == 0 {
		return 1
	}
	ratio := state.responseTime.value / service.responseTime.value
	if ratio < minResponseTimeRatio {
		return 1
	}
	return min(ratio, maxResponseTimeRatio)
}

// FlowOpened counts a flow as open at a server.
func (placer *Placer) FlowOpened(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).openFlows++
	placer.service(backendServer.Service, now).openFlows++
}

// FlowClosed reverts one FlowOpened.
func (placer *Placer) FlowClosed(backendServer *viewer.BackendServer, now time.Time) {
	state, service := placer.stateOf(backendServer, now), placer.service(backendServer.Service, now)
	state.openFlows = max(state.openFlows-1, 0)
	service.openFlows = max(service.openFlows-1, 0)
}

// RequestBegan counts a request as outstanding at a server; isFirst says that it is the first of
// its flow.
func (placer *Placer) RequestBegan(backendServer *viewer.BackendServer, isFirst bool, now time.Time) {
	placer.stateOf(backendServer, now).outstanding++
	service := placer.service(backendServer.Service, now)
	if service.openFlows > 0 {
		sample := float64(service.outstanding) / float64(service.openFlows)
		service.activity += activitySmoothing * (min(sample, 1) - service.activity)
	}
	service.outstanding++
	service.countLater(isFirst, backendServer.FailureDomain != placer.failureDomain)
	placer.estimator.RequestBegan(backendServer, now)
}

// countLater adds a request to the average shares.
func (serviceState *serviceState) countLater(isFirst, isOutside bool) {
	if isFirst {
		serviceState.later -= laterSmoothing * serviceState.later
		return
	}
	serviceState.later += laterSmoothing * (1 - serviceState.later)
	outside := 0.0
	if isOutside {
		outside = 1
	}
	serviceState.laterOutside += laterSmoothing * (outside - serviceState.laterOutside)
}

// RequestEnded reverts one RequestBegan: the request was answered or given up.
func (placer *Placer) RequestEnded(backendServer *viewer.BackendServer, now time.Time) {
	state, service := placer.stateOf(backendServer, now), placer.service(backendServer.Service, now)
	state.outstanding = max(state.outstanding-1, 0)
	service.outstanding = max(service.outstanding-1, 0)
	placer.estimator.RequestEnded(backendServer, now)
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
	placer.estimator.RecordResponseTime(backendServer, duration, now)
	placer.stateOf(backendServer, now).responseTime.add(duration.Seconds())
	service := placer.service(backendServer.Service, now)
	if duration.Seconds() >= minResponseTimeRatio*service.responseTime.value {
		service.responseTime.add(duration.Seconds())
	}
}

// ExpireServers deletes the state of servers and of services that were last used before a
// time.
func (placer *Placer) ExpireServers(before time.Time) {
	placer.pacer.Expire(before)
	for key, state := range placer.servers {
		if state.lastUsed.Before(before) {
			delete(placer.servers, key)
		}
	}
	for name, service := range placer.services {
		if service.lastUsed.Before(before) {
			delete(placer.services, name)
			delete(placer.indexes, name)
		}
	}
	placer.estimator.Expire(before)
}

// service returns the state of a service, created if necessary, and marks it as used.
func (placer *Placer) service(name string, now time.Time) *serviceState {
	service := placer.services[name]
	if service == nil {
		service = &serviceState{}
		placer.services[name] = service
	}
	service.lastUsed = now
	return service
}

// stateOf returns the state of a server, created if necessary, and marks it as used.
func (placer *Placer) stateOf(backendServer *viewer.BackendServer, now time.Time) *serverState {
	key := keyOf(backendServer)
	state := placer.servers[key]
	if state == nil {
		state = &serverState{}
		placer.servers[key] = state
	}
	state.lastUsed = now
	return state
}
