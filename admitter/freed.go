package admitter

import (
	"slices"
	"time"
)

// The load: the servers' queues are full nearly all the time, mostly of requests on open flows,
// that cannot be refused. A server takes one more request just after it has served one; a moment
// later the next request on an open flow has its place. So an urgent opening waits for a response
// of any server, and is sent to that one at once.

// ServerFreed says that a server, by its token, has just served a request of a service, so that
// its queue has a place.
func (admitter *Admitter) ServerFreed(service string, token uint32, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	load := admitter.services[service]
	if load == nil || len(load.urgent) == 0 {
		return
	}
	freed := load.urgent[0]
	load.urgent = load.urgent[1:]
	freed.server = token
	load.freed = append(load.freed, freed)
}

// RequestBegan counts a request, or an opening that was sent, as outstanding at the servers of a
// service until RequestEnded.
func (admitter *Admitter) RequestBegan(service string, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.service(service, now).outstanding++
}

// RequestEnded ends what RequestBegan counted.
func (admitter *Admitter) RequestEnded(service string, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	load := admitter.service(service, now)
	load.outstanding = max(load.outstanding-1, 0)
}

// awaitsServer reports whether an opening of a class is to wait for a server that has just served
// a request: the servers have queues, and shed.
func (admitter *Admitter) awaitsServer(service *serviceLoad, name string, class Class, now time.Time) bool {
	if !service.isProtected(class, now) {
		return false
	}
	own, fleet, maxShedShare := service.own(now), admitter.sharedService(name, now), admitter.settings.MaxShedShare
	if !service.isLimited() && !service.showsShortage(own, maxShedShare, now) && fleet.excess(maxShedShare) <= 0 {
		return false
	}
	seen := service.withFleet(own, fleet, now)
	return seen.delayRatio > halfQueueRatio && seen.shedShare > maxShedShare/2
}

// awaitServer queues an opening until a server has served a request, behind those that are at least
// as urgent.
func (admitter *Admitter) awaitServer(service *serviceLoad, opening Opening, now time.Time) {
	held := &heldOpening{Opening: opening, heldAt: now, until: now.Add(admitter.maxWait(opening))}
	position, _ := slices.BinarySearchFunc(service.urgent, held, func(a, b *heldOpening) int {
		if byClass := a.Class.Compare(b.Class); byClass != 0 {
			return byClass
		}
		return -1 // the longest wait first
	})
	service.urgent = slices.Insert(service.urgent, position, held)
	service.events.held++
}

// nextUrgent returns the next opening that waited for a server and is sent now, or nil.
func (serviceLoad *serviceLoad) nextUrgent(isEnabled bool, now time.Time) *heldOpening {
	if len(serviceLoad.freed) > 0 {
		next := serviceLoad.freed[0]
		serviceLoad.freed = serviceLoad.freed[1:]
		return next
	}
	for i, held := range serviceLoad.urgent {
		if !isEnabled || !now.Before(held.until) {
			serviceLoad.urgent = slices.Delete(serviceLoad.urgent, i, i+1)
			return held
		}
	}
	return nil
}
