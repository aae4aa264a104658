package placer

import (
	"math/rand/v2"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// timeGain is the weight of a new sample in the average time of a flow.
	timeGain = 0.15
	// maxTimeRatio bounds how far a server's time can lie above its service's.
	maxTimeRatio = 4.0
	// minTimeRatio is the smallest that speed explains; the fastest servers are
	// about 1.6 times as fast as the average. One that is faster may be failing
	// its requests at once, and gets no credit for it.
	minTimeRatio = 0.3
	// remotePenalty multiplies the cost of a server in another failure domain.
	remotePenalty = 1.5
	// coldPenalty multiplies the cost of a server that has just started.
	coldPenalty = 1.6
	// choices is how many candidates are compared for one flow.
	choices = 3
	// maxDraws is how often a candidate is drawn before all are looked at.
	maxDraws = 8
)

// Placer keeps what is known of the load of every backend server.
type Placer struct {
	failureDomain string
	instances     func() int // how many instances share the load
	failing       func(token uint32, now time.Time) bool
	random        *rand.Rand
	servers       map[key]*server
	domains       map[domainKey]*hold
	services      map[string]*average
}

type key struct {
	name      string
	startedAt int64
}

// domainKey names the servers of a service in one failure domain.
type domainKey struct {
	service string
	domain  string
}

// server is the state of one incarnation of a backend server.
type server struct {
	open int
	time average // of a flow, in seconds
	hold hold
	seen time.Time
}

// average is a moving average that starts with its first sample.
type average struct{ value float64 }

func (average *average) add(sample float64) {
	if average.value == 0 {
		average.value = sample
		return
	}
	average.value += timeGain * (sample - average.value)
}

// NewPlacer returns a Placer for an instance in failureDomain; instances tells how
// many share the load, failing which servers get no new flows.
func NewPlacer(failureDomain string, instances func() int, failing func(token uint32, now time.Time) bool, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain: failureDomain,
		instances:     instances,
		failing:       failing,
		random:        random,
		servers:       map[key]*server{},
		domains:       map[domainKey]*hold{},
		services:      map[string]*average{},
	}
}

// Select returns the candidate for a new flow, or nil when there is none. Those
// in tried are taken only when nothing else is left.
func (placer *Placer) Select(candidates []*viewer.BackendServer, tried []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	var best *viewer.BackendServer
	bestCost := 0.0
	for range choices {
		candidate := placer.draw(candidates, tried, now)
		if candidate == nil {
			break
		}
		cost := placer.cost(candidate, now)
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// draw returns a random candidate that is not held off, outside the failure
// domains of tried ones. Only when a few draws find none are all candidates looked
// at, so that the work does not grow with their number.
func (placer *Placer) draw(candidates, tried []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	for range min(maxDraws, len(candidates)) {
		candidate := candidates[placer.random.IntN(len(candidates))]
		if !sharesDomain(tried, candidate) && !placer.heldOff(candidate, now) {
			return candidate
		}
	}
	usable := placer.usable(candidates, tried, now)
	if len(usable) == 0 {
		return nil
	}
	return usable[placer.random.IntN(len(usable))]
}

// usable returns the best group of candidates that is not empty: those that
// answer, outside the failure domains of tried ones; those that answer; those
// that are held off; all.
func (placer *Placer) usable(candidates, tried []*viewer.BackendServer, now time.Time) []*viewer.BackendServer {
	var elsewhere, fresh, held []*viewer.BackendServer
	for _, candidate := range candidates {
		switch {
		case viewer.Contains(tried, candidate):
		case placer.heldOff(candidate, now):
			held = append(held, candidate)
		case sharesDomain(tried, candidate):
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

func (placer *Placer) heldOff(candidate *viewer.BackendServer, now time.Time) bool {
	silent := placer.state(candidate, now).hold.active(now) || placer.domain(candidate).active(now)
	return silent || placer.failing(candidate.Token, now)
}

// domain returns the hold of the failure domain of a server.
func (placer *Placer) domain(backendServer *viewer.BackendServer) *hold {
	key := domainKey{service: backendServer.Service, domain: backendServer.FailureDomain}
	domain := placer.domains[key]
	if domain == nil {
		domain = &hold{}
		placer.domains[key] = domain
	}
	return domain
}

func sharesDomain(servers []*viewer.BackendServer, wanted *viewer.BackendServer) bool {
	for _, server := range servers {
		if server.FailureDomain == wanted.FailureDomain {
			return true
		}
	}
	return false
}

// cost is the time that a flow is expected to take at a server, up to a factor.
func (placer *Placer) cost(candidate *viewer.BackendServer, now time.Time) float64 {
	state := placer.state(candidate, now)
	cost := placer.timeRatio(candidate, state)
	waiting := float64(state.open*placer.instances()) / float64(max(candidate.Slots, 1))
	cost *= 1 + waiting
	if candidate.FailureDomain != placer.failureDomain {
		cost *= remotePenalty
	}
	if now.Before(candidate.ColdUntil) {
		cost *= coldPenalty
	}
	return cost
}

// timeRatio compares the time of a flow at a server with the service's.
func (placer *Placer) timeRatio(candidate *viewer.BackendServer, state *server) float64 {
	service := placer.services[candidate.Service]
	if service == nil || service.value == 0 || state.time.value == 0 {
		return 1
	}
	ratio := state.time.value / service.value
	if ratio < minTimeRatio {
		return 1
	}
	return min(ratio, maxTimeRatio)
}

// FlowOpened counts a flow that was sent to a server.
func (placer *Placer) FlowOpened(backendServer *viewer.BackendServer, now time.Time) {
	placer.state(backendServer, now).open++
}

// FlowClosed takes back one Opened.
func (placer *Placer) FlowClosed(backendServer *viewer.BackendServer, now time.Time) {
	state := placer.state(backendServer, now)
	state.open = max(state.open-1, 0)
}

// OpeningAnswered says that a server took an opening.
func (placer *Placer) OpeningAnswered(backendServer *viewer.BackendServer, now time.Time) {
	placer.state(backendServer, now).hold.accepted()
	placer.domain(backendServer).accepted()
}

// OpeningUnanswered says that a server did not answer an opening, and reports whether it is held off from now on.
func (placer *Placer) OpeningUnanswered(backendServer *viewer.BackendServer, now time.Time) bool {
	placer.domain(backendServer).silent(domainSilentLimit, now)
	return placer.state(backendServer, now).hold.silent(silentLimit, now)
}

// RecordResponseTime adds the time from a request to the end of its response.
func (placer *Placer) RecordResponseTime(backendServer *viewer.BackendServer, duration time.Duration, now time.Time) {
	placer.state(backendServer, now).time.add(duration.Seconds())
	service := placer.services[backendServer.Service]
	if service == nil {
		service = &average{}
		placer.services[backendServer.Service] = service
	}
	if duration.Seconds() >= minTimeRatio*service.value {
		service.add(duration.Seconds())
	}
}

// ExpireServers drops the state of servers that were not touched since before.
func (placer *Placer) ExpireServers(before time.Time) {
	for key, state := range placer.servers {
		if state.seen.Before(before) {
			delete(placer.servers, key)
		}
	}
}

func (placer *Placer) state(backendServer *viewer.BackendServer, now time.Time) *server {
	key := key{name: backendServer.Name, startedAt: backendServer.StartedAt}
	state := placer.servers[key]
	if state == nil {
		state = &server{}
		placer.servers[key] = state
	}
	state.seen = now
	return state
}
