package placer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// crossDomainPenalty multiplies the cost of a server outside the instance's failure domain
	// when a cold server is compared with another.
	crossDomainPenalty = 1.5
	// comparedCandidates is how many random candidates are compared for one flow.
	comparedCandidates = 3
	// maxDraws is how many random candidates of a failure domain are tried before all candidates are
	// examined.
	maxDraws = 8
)

// loadEstimator estimates the load of services in failure domains;
// estimator.Estimator implements it.
type loadEstimator interface {
	RequestBegan(server *viewer.BackendServer, now time.Time)
	// RequestMoved counts a request that was counted at another server before.
	RequestMoved(server *viewer.BackendServer, now time.Time)
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
	isFailing       func(server *viewer.BackendServer, now time.Time) bool
	random          *rand.Rand
	pacer           warmUpPacer
	servers         map[serverKey]*serverState
	domainEjections map[domainKey]*ejection
	services        map[string]*serviceState
	indexes         map[string]*domainIndex // by service
	ignoresDomains  atomic.Bool             // new flows are spread over all failure domains by their slots
}

// domainKey identifies the servers of a service in one failure domain.
type domainKey struct {
	service string
	domain  string
}

// NewPlacer returns a Placer for an instance in failureDomain; isFailing reports whether
// a server is ejected because its requests fail.
func NewPlacer(failureDomain string, estimator loadEstimator, isFailing func(server *viewer.BackendServer, now time.Time) bool, random *rand.Rand) *Placer {
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
	return placer.expectedCost(shared, now)*placer.distancePenalty(shared) < placer.expectedCost(best, now)*placer.distancePenalty(best)
}

// distancePenalty returns what the cost of a server is multiplied by for its failure domain.
func (placer *Placer) distancePenalty(candidate *viewer.BackendServer) float64 {
	if candidate.FailureDomain == placer.failureDomain {
		return 1
	}
	return crossDomainPenalty
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
	return unresponsive || placer.isFailing(candidate, now)
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

// OpeningAnswered records that a server answered an opening, which ends the ejections
// of the server and its failure domain for unanswered openings.
func (placer *Placer) OpeningAnswered(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).ejection.reset()
	placer.domainEjection(backendServer).reset()
}

// Readmit ends the ejections of a server and of its failure domain for unanswered openings, since
// it has answered other instances, and reports whether it did. The next opening that it leaves
// unanswered here ejects it again, and then for the whole time: the way to it is broken.
func (placer *Placer) Readmit(backendServer *viewer.BackendServer, now time.Time) bool {
	isReadmitted := placer.stateOf(backendServer, now).ejection.readmit(now)
	if placer.domainEjection(backendServer).readmit(now) {
		isReadmitted = true
	}
	if isReadmitted {
		placer.ReexamineServers()
	}
	return isReadmitted
}

// ReexamineServers makes the placer look anew which servers are ejected.
func (placer *Placer) ReexamineServers() {
	for _, index := range placer.indexes {
		for _, domain := range index.others {
			domain.examineAt = time.Time{}
		}
		if index.own != nil {
			index.own.examineAt = time.Time{}
		}
	}
}

// OpeningUnanswered records that a server did not answer an opening, and reports
// whether the server, or all servers of its service in its failure domain, are ejected as a result.
func (placer *Placer) OpeningUnanswered(backendServer *viewer.BackendServer, now time.Time) bool {
	isDomainEjected := placer.domainEjection(backendServer).openingUnanswered(domainUnansweredLimit, now)
	return placer.stateOf(backendServer, now).ejection.openingUnanswered(serverUnansweredLimit, now) || isDomainEjected
}
