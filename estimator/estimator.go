package estimator

import (
	"math"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// averagingSpan is the time after which an outstanding request counts e times less.
	averagingSpan = 500 * time.Millisecond
	// surgeDeviations is by how many standard deviations the requests of this moment exceed
	// their average in a surge.
	surgeDeviations = 2.0
	// usualSpan is the same for the demand that is assumed of other failure domains.
	usualSpan = 30 * time.Second
	// unknownUtilization is assumed of a service before anything was observed.
	unknownUtilization = 0.5
	// unloadedUtilization is the utilization below which response times are those of
	// servers without a queue.
	unloadedUtilization = 0.5
	// unloadedSmoothing and domainSmoothing are the weights of a new sample in the average
	// response times of a service without load and of a failure domain.
	unloadedSmoothing = 0.01
	domainSmoothing   = 0.1
	// minResponseSamples is how many response times an average needs before it is used.
	minResponseSamples = 20
	// responseTimeTolerance is how many times as long as without load the average of a few
	// response times may be without showing a load.
	responseTimeTolerance = 1.5
	// responseTimeLifetime is how long the average of a failure domain is used after its last
	// sample, and responseTimeSpan the time after which an earlier one counts e times less at
	// most, since a full domain gets few flows that could show that it no longer is.
	responseTimeLifetime = 5 * time.Second
	responseTimeSpan     = 2 * time.Second
	// sharedLifetime is how long a shared figure is used.
	sharedLifetime = 2 * time.Second
)

// Instances are the numbers of instances among which callers' packets are divided.
type Instances struct {
	Fleet  int // all instances
	Domain int // those of this instance's failure domain
}

// Estimator estimates the load of each service in each failure domain; it is safe for
// concurrent use.
type Estimator struct {
	failureDomain string
	instances     func() Instances
	currentView   func() *viewer.View
	isEjected     func(server *viewer.BackendServer, now time.Time) bool

	mutex    sync.Mutex
	services map[string]*serviceLoad
}

// NewEstimator returns an Estimator for an instance in failureDomain. isEjected reports
// whether a server gets no new flows, so that its slots are no room.
func NewEstimator(failureDomain string, instances func() Instances, currentView func() *viewer.View, isEjected func(server *viewer.BackendServer, now time.Time) bool) *Estimator {
	return &Estimator{failureDomain: failureDomain, instances: instances, currentView: currentView, isEjected: isEjected, services: map[string]*serviceLoad{}}
}

// FleetInstances returns how many instances there are, this one included.
func (estimator *Estimator) FleetInstances() int { return estimator.instances().Fleet }

// serviceLoad is the load of a service as this instance knows it.
type serviceLoad struct {
	domains  map[string]*domainLoad
	demand   timeAverage // requests of this instance that are outstanding anywhere
	usual    timeAverage // the same, over a long time
	began    eventRate   // requests of this instance
	unloaded sampleAverage
	capacity capacity
	lastUsed time.Time
}

// domainLoad is the load of a service in one failure domain as this instance knows it.
type domainLoad struct {
	outstanding   timeAverage // requests of this instance
	responseTimes sampleAverage
	respondedAt   time.Time // when the last of these was added
	shared        Shared
	sharedAt      time.Time // when the shared figure was true; zero if there is none
}

// sampleAverage is a moving average of response times in seconds.
type sampleAverage struct {
	seconds float64
	samples int
}

// add adds a sample with a weight, or the weight of the plain mean while there are few.
func (sampleAverage *sampleAverage) add(duration time.Duration, weight float64) {
	sampleAverage.samples++
	weight = max(weight, 1/float64(sampleAverage.samples))
	sampleAverage.seconds += weight * (duration.Seconds() - sampleAverage.seconds)
}

// RequestBegan counts a request as outstanding at a server.
func (estimator *Estimator) RequestBegan(server *viewer.BackendServer, now time.Time) {
	estimator.count(server, 1, now)
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	estimator.service(server.Service, now).began.add(now, averagingSpan)
}

// RequestMoved counts a request as outstanding at a server that was counted at another before.
func (estimator *Estimator) RequestMoved(server *viewer.BackendServer, now time.Time) {
	estimator.count(server, 1, now)
}

// RequestEnded reverts one RequestBegan or RequestMoved: the request was answered or given up.
func (estimator *Estimator) RequestEnded(server *viewer.BackendServer, now time.Time) {
	estimator.count(server, -1, now)
}

func (estimator *Estimator) count(server *viewer.BackendServer, change int, now time.Time) {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	service := estimator.service(server.Service, now)
	service.demand.add(change, now, averagingSpan)
	service.usual.add(change, now, usualSpan)
	service.domain(server.FailureDomain).outstanding.add(change, now, averagingSpan)
}

// RecordResponseTime adds the time from a request to the end of its response. The time
// without load is learned in this instance's failure domain, where most requests are counted.
func (estimator *Estimator) RecordResponseTime(server *viewer.BackendServer, duration time.Duration, now time.Time) {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	service := estimator.service(server.Service, now)
	service.domain(server.FailureDomain).addResponseTime(duration, now)
	if server.FailureDomain != estimator.failureDomain {
		return
	}
	unloadedLimit := unloadedUtilization * float64(service.capacity.byDomain[server.FailureDomain])
	isUnloaded := estimator.counted(service, server.FailureDomain, now)+estimator.assumed(service, server.FailureDomain, now) < unloadedLimit
	if isUnloaded {
		service.unloaded.add(duration, unloadedSmoothing)
	}
}

// addResponseTime adds a response time to the average of the failure domain.
func (domainLoad *domainLoad) addResponseTime(duration time.Duration, now time.Time) {
	elapsed := now.Sub(domainLoad.respondedAt)
	domainLoad.respondedAt = now
	domainLoad.responseTimes.add(duration, max(domainSmoothing, 1-math.Exp(-elapsed.Seconds()/responseTimeSpan.Seconds())))
}

// Expire deletes what is known of services that were last used before a time.
func (estimator *Estimator) Expire(before time.Time) {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	for name, service := range estimator.services {
		if service.lastUsed.Before(before) {
			delete(estimator.services, name)
		}
	}
}

// service returns the load of a service, created if necessary, and marks it as used.
func (estimator *Estimator) service(name string, now time.Time) *serviceLoad {
	service := estimator.services[name]
	if service == nil {
		service = &serviceLoad{domains: map[string]*domainLoad{}}
		service.demand.advance(now, averagingSpan)
		service.usual.advance(now, usualSpan)
		estimator.services[name] = service
	}
	service.lastUsed = now
	estimator.refreshCapacity(name, service, now)
	return service
}

// domain returns the load of the service in a failure domain, created if necessary.
func (serviceLoad *serviceLoad) domain(name string) *domainLoad {
	domain := serviceLoad.domains[name]
	if domain == nil {
		domain = &domainLoad{}
		serviceLoad.domains[name] = domain
	}
	return domain
}
