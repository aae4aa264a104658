package placer

import (
	"math"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// maxComfort is the largest utilization of a failure domain that is comfortable, whatever
	// its size: each server has a queue of its own, and some are slower than others.
	maxComfort = 0.75
	// spillStart is the part of the comfortable load from which new flows begin to go to other
	// failure domains, few at first.
	spillStart = 0.75
	// correctionRate is by how much of all requests the part that leaves changes in a second for
	// each slot's worth of utilization, and maxCorrectionTime the longest time that counts between
	// two flows.
	correctionRate    = 1.0
	maxCorrectionTime = 250 * time.Millisecond
	// minRoomShare is the smallest room that a failure domain counts with when flows are
	// divided, as a part of its slots.
	minRoomShare = 0.02
)

// IgnoreDomains sets whether new flows are spread over all failure domains by their slots, in
// place of staying in the instance's own one while that has room. It may be called concurrently.
func (placer *Placer) IgnoreDomains(ignores bool) { placer.ignoresDomains.Store(ignores) }

// drawBySlots draws one of the usable failure domains in proportion to its slots, or returns nil if
// there is none.
func (placer *Placer) drawBySlots(index *domainIndex, attempted []*viewer.BackendServer, now time.Time) *domain {
	var drawn *domain
	total := 0.0
	consider := func(domain *domain) {
		if domain == nil || !placer.isUsable(domain, attempted, now) {
			return
		}
		total += domain.slots
		if drawn == nil || placer.random.Float64()*total < domain.slots {
			drawn = domain
		}
	}
	consider(index.own)
	for _, other := range index.others {
		consider(other)
	}
	return drawn
}

// drawDomain returns the failure domain for a new flow, or nil if none is usable: the
// instance's own one while it has room, and above that others by the room that they have. As the
// own one fills, a growing part of the flows goes to the others, so that no callers
// wait there while others have room, and the instances don't move their flows all at once.
func (placer *Placer) drawDomain(index *domainIndex, attempted []*viewer.BackendServer, now time.Time) *domain {
	if placer.ignoresDomains.Load() {
		return placer.drawBySlots(index, attempted, now)
	}
	service := placer.service(index.candidates[0].Service, now)
	own := placer.ownLoad(index, attempted, now)
	if own != nil && service.correction == 0 && own.asked <= spillStart*comfortableLoad(own.slots) {
		return own.domain
	}
	others := placer.otherLoads(index, attempted, now)
	switch {
	case len(others) == 0 && own == nil:
		return nil
	case len(others) == 0:
		return own.domain
	case own == nil:
		demand := placer.estimator.Demand(index.candidates[0].Service, now)
		return placer.drawByRoom(others, evenUtilization(demand, 0, others))
	}
	even := evenUtilization(own.asked, own.slots, others)
	service.correct(own.excess(even), now)
	leaving := min(own.planned(even)+service.correction, totalRoom(others, even)/own.demanded)
	if placer.random.Float64() < service.newFlowShare(leaving) {
		return placer.drawByRoom(others, even)
	}
	return own.domain
}

// ownLoad is the load of the instance's own failure domain.
type ownLoad struct {
	*domain
	asked    float64 // slots that requests of all callers ask for, if none of them left
	demanded float64 // the part of these that this domain's callers ask for, one at least
	busy     float64 // slots that are asked for by the requests that are here
}

// ownLoad returns the load of the own failure domain, or nil if no flow may go there.
func (placer *Placer) ownLoad(index *domainIndex, attempted []*viewer.BackendServer, now time.Time) *ownLoad {
	if index.own == nil || !placer.isUsable(index.own, attempted, now) {
		return nil
	}
	service, slots := index.candidates[0].Service, index.own.slots
	demand, background := placer.estimator.Demand(service, now), placer.estimator.Background(service, index.own.name, now)
	asked := max(busySlots(demand+background, slots), placer.estimator.Surge(service, now))
	if asked > comfortableLoad(slots) {
		asked = max(asked, placer.estimator.Offered(service, now))
	}
	demanded := max(asked*demand/max(demand+background, 1), 1)
	busy := busySlots(placer.estimator.Outstanding(service, index.own.name, now), slots)
	return &ownLoad{domain: index.own, asked: asked, demanded: demanded, busy: busy}
}

// planned returns the share of the callers' requests that has to leave, so that what is asked for is
// comfortable here, or even in all domains if there is not that much room.
func (ownLoad *ownLoad) planned(even float64) float64 {
	kept := max(keptLoad(ownLoad.asked, ownLoad.slots), min(even*ownLoad.slots, ownLoad.asked))
	return (ownLoad.asked - kept) / ownLoad.demanded
}

// excess returns by how much the utilization is above the comfortable or even one.
func (ownLoad *ownLoad) excess(even float64) float64 {
	return (ownLoad.busy - max(comfortableLoad(ownLoad.slots), even*ownLoad.slots)) / ownLoad.slots
}

// correct changes the correction by how far the utilization of the own domain is above the target.
// The planned share is right only if requests take as long there as elsewhere.
func (serviceState *serviceState) correct(excess float64, now time.Time) {
	elapsed := min(max(now.Sub(serviceState.correctedAt), 0), maxCorrectionTime)
	serviceState.correctedAt = now
	change := correctionRate * excess * elapsed.Seconds()
	serviceState.correction = min(max(serviceState.correction+change, 0), 1)
}

// domainLoad is a failure domain and the requests that others than this domain's callers have
// outstanding there.
type domainLoad struct {
	*domain
	background float64 // slots that these keep busy
}

// otherLoads returns the usable failure domains besides the instance's own one.
func (placer *Placer) otherLoads(index *domainIndex, attempted []*viewer.BackendServer, now time.Time) []domainLoad {
	loads := make([]domainLoad, 0, len(index.others))
	for _, other := range index.others {
		if placer.isUsable(other, attempted, now) {
			background := placer.estimator.Background(other.candidates[0].Service, other.name, now)
			loads = append(loads, domainLoad{domain: other, background: busySlots(background, other.slots)})
		}
	}
	return loads
}

// room returns how many requests a domain has room for, up to the comfortable load or to the
// utilization that all would have if the load were even, if that is more.
func (domainLoad *domainLoad) room(even float64) float64 {
	target := max(comfortableLoad(domainLoad.slots), even*domainLoad.slots)
	return max(target-domainLoad.background, minRoomShare*domainLoad.slots)
}

// totalRoom returns the room of all the domains together.
func totalRoom(others []domainLoad, even float64) float64 {
	total := 0.0
	for i := range others {
		total += others[i].room(even)
	}
	return total
}

// drawByRoom draws one of the failure domains in proportion to the room there.
func (placer *Placer) drawByRoom(others []domainLoad, even float64) *domain {
	draw := placer.random.Float64() * totalRoom(others, even)
	for i := range others {
		if draw -= others[i].room(even); draw < 0 {
			return others[i].domain
		}
	}
	return others[len(others)-1].domain
}

// evenUtilization returns the utilization of all domains if the load were even.
func evenUtilization(ownLoad, ownSlots float64, others []domainLoad) float64 {
	load, slots := ownLoad, ownSlots
	for _, other := range others {
		load += other.background
		slots += other.slots
	}
	return load / slots
}

// busySlots returns how many slots the outstanding requests ask for, waiting ones included: what
// servers with two slots show with Poisson arrivals and exponential service times up to
// maxComfort, and in proportion above, where requests would wait ever longer or are rejected.
func busySlots(outstanding, slots float64) float64 {
	const (
		steepest = (1 - maxComfort*maxComfort) * (1 - maxComfort*maxComfort) / (1 + maxComfort*maxComfort)
		atMost   = maxComfort / (1 - maxComfort*maxComfort) // requests for each slot at maxComfort
	)
	perSlot := outstanding / slots
	switch {
	case perSlot <= 0:
		return 0
	case perSlot <= atMost:
		return slots * (math.Sqrt(1+4*perSlot*perSlot) - 1) / (2 * perSlot)
	default:
		return slots * (maxComfort + steepest*(perSlot-atMost))
	}
}

// comfortableLoad returns the requests that slots process without much waiting: so many that
// twice the standard deviation of a Poisson distribution fits in as well, and maxComfort of the
// slots at most. Few slots vary more, so they leave more room.
func comfortableLoad(slots float64) float64 {
	root := math.Sqrt(1+slots) - 1
	return min(root*root, maxComfort*slots)
}

// keptLoad returns how much of a load stays in a domain: all of it up to spillStart of the
// comfortable load, then less of each addition, and never more than the comfortable load.
func keptLoad(load, slots float64) float64 {
	comfortable := comfortableLoad(slots)
	excess := load/comfortable - spillStart
	if excess <= 0 {
		return load
	}
	return comfortable * (spillStart + (1-spillStart)*(1-math.Exp(-excess/(1-spillStart))))
}
