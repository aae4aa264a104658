package placer

import (
	"math"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// usableInterval is the longest time after which the usable servers of a failure domain
	// are determined again, since ejections begin and end.
	usableInterval = time.Second
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

// domainIndex holds the candidates of a service by failure domain.
type domainIndex struct {
	candidates []*viewer.BackendServer // that were indexed
	own        *domain                 // nil if no candidate is in the instance's failure domain
	others     []*domain
}

// domain holds the candidates of a service in one failure domain.
type domain struct {
	name       string
	candidates []*viewer.BackendServer
	usable     []*viewer.BackendServer // those that were not ejected when they were last examined
	slots      float64                 // of the usable servers
	examineAt  time.Time               // when the candidates have to be examined again
}

// indexOf returns the index of candidates, the servers of one service. It builds a new one when
// the list is another than before, as it is in each new view.
func (placer *Placer) indexOf(candidates []*viewer.BackendServer, now time.Time) *domainIndex {
	service := candidates[0].Service
	index := placer.indexes[service]
	if index != nil && len(index.candidates) == len(candidates) && &index.candidates[0] == &candidates[0] {
		return index
	}
	index = &domainIndex{candidates: candidates}
	byName := map[string]*domain{}
	for _, candidate := range candidates {
		name := candidate.FailureDomain
		if byName[name] == nil {
			byName[name] = &domain{name: name}
			if name == placer.failureDomain {
				index.own = byName[name]
			} else {
				index.others = append(index.others, byName[name])
			}
		}
		byName[name].candidates = append(byName[name].candidates, candidate)
	}
	placer.indexes[service] = index
	placer.service(service, now)
	return index
}

// examine determines the usable servers of a domain if that is due.
func (placer *Placer) examine(domain *domain, now time.Time) {
	if now.Before(domain.examineAt) {
		return
	}
	domain.usable, domain.slots, domain.examineAt = domain.usable[:0], 0, now.Add(usableInterval)
	for _, candidate := range domain.candidates {
		if !placer.isEjected(candidate, now) {
			domain.usable = append(domain.usable, candidate)
			domain.slots += float64(max(candidate.Slots, 1))
			continue
		}
		if end := placer.ejectionEnd(candidate); end.After(now) && end.Before(domain.examineAt) {
			domain.examineAt = end
		}
	}
}

// ejectionEnd returns when the last ejection of a server for unanswered openings ends; the
// zero time if it had none.
func (placer *Placer) ejectionEnd(candidate *viewer.BackendServer) time.Time {
	if state := placer.servers[keyOf(candidate)]; state != nil {
		return state.ejection.until
	}
	return time.Time{}
}

// isUsable reports whether a flow may go to a domain that is not among the attempted ones.
func (placer *Placer) isUsable(domain *domain, attempted []*viewer.BackendServer, now time.Time) bool {
	if containsDomain(attempted, domain.candidates[0]) || placer.domainEjection(domain.candidates[0]).active(now) {
		return false
	}
	placer.examine(domain, now)
	return len(domain.usable) > 0
}

// drawDomain returns the failure domain for a new flow, or nil if none is usable: the
// instance's own one while it has room, and above that others by the room that they have. As the
// own one fills, a growing part of the flows goes to the others, so that no callers
// wait there while others have room, and the instances don't move their flows all at once.
func (placer *Placer) drawDomain(index *domainIndex, attempted []*viewer.BackendServer, now time.Time) *domain {
	service := index.candidates[0].Service
	demand := placer.estimator.Demand(service, now)
	ownUsable := index.own != nil && placer.isUsable(index.own, attempted, now)
	ownLoad, spillable := 0.0, 1.0
	state := placer.service(service, now)
	if ownUsable {
		background := placer.estimator.Background(service, index.own.name, now)
		ownLoad = max(busySlots(demand+background, index.own.slots), placer.estimator.Surge(service, now))
		comfortable := comfortableLoad(index.own.slots)
		if ownLoad <= spillStart*comfortable && state.correction == 0 {
			return index.own
		}
		if ownLoad > comfortable {
			ownLoad = max(ownLoad, placer.estimator.Offered(service, now))
		}
		spillable = max(ownLoad*demand/(demand+background), 1)
	}
	others := placer.otherLoads(index, attempted, now)
	if len(others) == 0 {
		if ownUsable {
			return index.own
		}
		return nil
	}
	if !ownUsable {
		return placer.drawByRoom(others, evenUtilization(demand, 0, others))
	}
	even := evenUtilization(ownLoad, index.own.slots, others)
	kept := max(keptLoad(ownLoad, index.own.slots), min(even*index.own.slots, ownLoad))
	room := 0.0
	for _, other := range others {
		room += other.room(even)
	}
	busy := busySlots(placer.estimator.Outstanding(service, index.own.name, now), index.own.slots)
	target := max(comfortableLoad(index.own.slots), even*index.own.slots)
	state.correct((busy-target)/index.own.slots, now)
	share := min((ownLoad-kept)/spillable+state.correction, room/spillable)
	if placer.random.Float64() < state.newFlowShare(share) {
		return placer.drawByRoom(others, even)
	}
	return index.own
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

// drawByRoom draws one of the failure domains in proportion to the room there.
func (placer *Placer) drawByRoom(others []domainLoad, even float64) *domain {
	total := 0.0
	for i := range others {
		total += others[i].room(even)
	}
	draw := placer.random.Float64() * total
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
