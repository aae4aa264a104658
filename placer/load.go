package placer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// responseTimeSmoothing is the weight of a new sample in a moving average of response times.
	responseTimeSmoothing = 0.15
	// activitySmoothing is the weight of a new sample in the average share of open flows
	// that have a request outstanding.
	activitySmoothing = 0.02
	// laterSmoothing is the weight of a request in the average shares of requests that are not the
	// first of their flow.
	laterSmoothing = 0.03
	// minFirstShare is the smallest share of the requests that count as the first of their flow.
	minFirstShare = 0.1
)

// serverKey identifies one incarnation of a backend server.
type serverKey struct {
	name      string
	startedAt int64
}

func keyOf(backendServer *viewer.BackendServer) serverKey {
	return serverKey{name: backendServer.Name, startedAt: backendServer.StartedAt}
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

// RequestMoved counts a request as outstanding at a server that was counted at another, or there
// until it was given up, before.
func (placer *Placer) RequestMoved(backendServer *viewer.BackendServer, now time.Time) {
	placer.stateOf(backendServer, now).outstanding++
	placer.service(backendServer.Service, now).outstanding++
	placer.estimator.RequestMoved(backendServer, now)
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

// RequestEnded reverts one RequestBegan or RequestMoved: the request was answered or given up.
func (placer *Placer) RequestEnded(backendServer *viewer.BackendServer, now time.Time) {
	state, service := placer.stateOf(backendServer, now), placer.service(backendServer.Service, now)
	state.outstanding = max(state.outstanding-1, 0)
	service.outstanding = max(service.outstanding-1, 0)
	placer.estimator.RequestEnded(backendServer, now)
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
