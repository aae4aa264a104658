package estimator

import (
	"math"
	"time"
)

// Room is how much of a service's slots is taken, in the whole fleet.
type Room struct {
	Slots       int     // of the servers that may get new flows
	Outstanding float64 // requests that have begun and are not answered; above Slots they wait
	// ResponseTimeRatio is the recent response time in this instance's failure domain over
	// that without load; 1 if either is unknown.
	ResponseTimeRatio float64
	// Observed is how much of the estimate rests on observation: 0 for an instance that has
	// just started, for which Outstanding is an assumption, up to 1.
	Observed float64
}

// Free returns how many more requests could be processed at once; it is negative when
// requests wait.
func (room Room) Free() float64 { return float64(room.Slots) - room.Outstanding }

// Room returns how much of a service's slots is taken, in all failure domains together.
func (estimator *Estimator) Room(service string, now time.Time) Room {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	load := estimator.service(service, now)
	room := Room{Slots: load.capacity.total, ResponseTimeRatio: load.responseTimeRatio(estimator.failureDomain, now)}
	load.demand.advance(now, averagingSpan)
	room.Observed = load.demand.observed
	for domain := range load.capacity.byDomain {
		room.Outstanding += estimator.outstanding(load, domain, now)
	}
	return room
}

// Utilization returns the outstanding requests of the whole fleet at the servers of a service
// in a failure domain over the slots there; it is infinite if there are no slots.
func (estimator *Estimator) Utilization(service, failureDomain string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	return estimator.utilization(estimator.service(service, now), failureDomain, now)
}

// Utilizations returns the utilization of each service that was used lately, by failure domain.
func (estimator *Estimator) Utilizations(now time.Time) map[string]map[string]float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	result := map[string]map[string]float64{}
	for name, service := range estimator.services {
		estimator.refreshCapacity(name, service, now)
		result[name] = map[string]float64{}
		for domain := range service.capacity.byDomain {
			result[name][domain] = estimator.utilization(service, domain, now)
		}
	}
	return result
}

// Demand returns the outstanding requests of the callers of this instance's failure domain,
// wherever they are processed.
func (estimator *Estimator) Demand(service string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	return estimator.demand(estimator.service(service, now), now)
}

// Surge returns the outstanding requests of these callers at this moment, less what chance may
// add to those of this instance.
func (estimator *Estimator) Surge(service string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	return float64(estimator.instances().Domain) * estimator.service(service, now).demand.surge()
}

// Offered returns how many slots the requests of this failure domain's callers would keep busy
// if none waited or was rejected: their rate times the response time without load. It is 0 while
// that is unknown.
func (estimator *Estimator) Offered(service string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	load := estimator.service(service, now)
	if load.unloaded.samples < minResponseSamples {
		return 0
	}
	load.began.advance(now, averagingSpan)
	return float64(estimator.instances().Domain) * load.began.perSecond * load.unloaded.seconds
}

// Outstanding returns the requests of all callers that are outstanding in a failure domain.
func (estimator *Estimator) Outstanding(service, failureDomain string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	return estimator.outstanding(estimator.service(service, now), failureDomain, now)
}

// Background returns the requests that are outstanding in a failure domain but do not come from
// callers of this instance's failure domain.
func (estimator *Estimator) Background(service, failureDomain string, now time.Time) float64 {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	load := estimator.service(service, now)
	outstanding := estimator.outstanding(load, failureDomain, now)
	return max(outstanding-estimator.counted(load, failureDomain, now), 0)
}

func (estimator *Estimator) utilization(service *serviceLoad, domain string, now time.Time) float64 {
	slots := service.capacity.byDomain[domain]
	if slots == 0 {
		return math.Inf(1)
	}
	return estimator.outstanding(service, domain, now) / float64(slots)
}

// outstanding returns the requests that are outstanding in a failure domain: the shared
// figure if there is one, and otherwise what this instance counts and assumes, or what the
// response times show if that is more.
func (estimator *Estimator) outstanding(service *serviceLoad, domain string, now time.Time) float64 {
	load := service.domain(domain)
	if now.Sub(load.sharedAt) < sharedLifetime {
		return load.shared.Outstanding
	}
	slots := float64(service.capacity.byDomain[domain])
	byCount := estimator.counted(service, domain, now) + estimator.assumed(service, domain, now)
	return max(byCount, slots*utilizationByResponseTime(service.responseTimeRatio(domain, now)))
}

// counted returns the requests of this failure domain's callers that are outstanding in a
// failure domain, from those of this instance.
func (estimator *Estimator) counted(service *serviceLoad, domain string, now time.Time) float64 {
	load := service.domain(domain)
	load.outstanding.advance(now, averagingSpan)
	return float64(estimator.instances().Domain) * load.outstanding.meanWith(0)
}

// assumed returns the requests that are assumed to be outstanding in a failure domain besides
// the counted ones: in this one for the time before the first observation, in others for their
// own callers, who are taken to ask for as much as those of this domain usually do.
func (estimator *Estimator) assumed(service *serviceLoad, domain string, now time.Time) float64 {
	slots := float64(service.capacity.byDomain[domain])
	if domain != estimator.failureDomain {
		service.usual.advance(now, usualSpan)
		usual := float64(estimator.instances().Domain) * service.usual.meanWith(0)
		return min(usual+slots*unknownUtilization*(1-service.usual.observed), slots)
	}
	service.demand.advance(now, averagingSpan)
	return slots * unknownUtilization * (1 - service.demand.observed)
}

// demand returns the outstanding requests of this failure domain's callers.
func (estimator *Estimator) demand(service *serviceLoad, now time.Time) float64 {
	service.demand.advance(now, averagingSpan)
	counted := float64(estimator.instances().Domain) * service.demand.meanWith(0)
	return counted + estimator.assumed(service, estimator.failureDomain, now)
}

// responseTimeRatio returns the average response time in a failure domain over that of the
// service without load, or 1 if either is unknown.
func (serviceLoad *serviceLoad) responseTimeRatio(domain string, now time.Time) float64 {
	load := serviceLoad.domains[domain]
	if load == nil || now.Sub(load.respondedAt) >= responseTimeLifetime {
		return 1
	}
	if load.responseTimes.samples < minResponseSamples || serviceLoad.unloaded.samples < minResponseSamples {
		return 1
	}
	return max(load.responseTimes.seconds/serviceLoad.unloaded.seconds, 1)
}

// utilizationByResponseTime returns the utilization at which servers with two slots, Poisson
// arrivals and exponential service times take ratio times as long as without load, after
// allowing for responseTimeTolerance.
func utilizationByResponseTime(ratio float64) float64 {
	return math.Sqrt(1 - 1/max(ratio/responseTimeTolerance, 1))
}

// Shared is a figure that instances share.
type Shared struct {
	Service       string
	FailureDomain string        // of the servers
	Outstanding   float64       // requests of all instances that are outstanding there
	Age           time.Duration // since the figure was true
}

// ApplyShared replaces this instance's own estimate by a shared figure until that is too old.
// A figure that is older than the present one, or of a service that has no servers there, has no
// effect.
func (estimator *Estimator) ApplyShared(shared Shared, now time.Time) {
	estimator.mutex.Lock()
	defer estimator.mutex.Unlock()
	service := estimator.service(shared.Service, now)
	if service.capacity.byDomain[shared.FailureDomain] == 0 {
		return
	}
	load := service.domain(shared.FailureDomain)
	if at := now.Add(-shared.Age); at.After(load.sharedAt) {
		load.shared, load.sharedAt = shared, at
	}
}
