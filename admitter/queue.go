package admitter

import (
	"cmp"
	"slices"
	"time"
)

// heldOpening is an opening that waits for a place.
type heldOpening struct {
	Opening
	places  float64 // of its caller, when it was held
	heldAt  time.Time
	until   time.Time // when it is refused
	evicted bool      // its place in the queue went to a more urgent one
}

// lateTime is how long after the end of its wait an opening is known to have been held while the
// process was paused.
const lateTime = 100 * time.Millisecond

// Result is the decision about an opening that was held.
type Result struct {
	Flow     FlowID
	Decision Decision
	Waited   time.Duration
	IsLate   bool // it was held for longer than it may wait, since the process was paused
}

// hold queues an opening if a place within its time is likely, and refuses it or one that is
// less urgent otherwise.
func (admitter *Admitter) hold(service *serviceLoad, opening Opening, now time.Time) Decision {
	wait := admitter.settings.MaxWait
	if opening.Objective > 0 {
		wait = min(wait, time.Duration(objectiveShare*float64(opening.Objective)))
	}
	places := service.budget * wait.Seconds()
	limit := int(places + 0.5)
	if service.tokens+places >= 1 {
		limit = max(limit, 1)
	}
	held := &heldOpening{Opening: opening, heldAt: now, until: now.Add(wait)}
	held.places = admitter.callerRate(opening.Flow.Caller.Addr()).weightAt(now)
	position, _ := slices.BinarySearchFunc(service.held, held, compareHeld)
	if position >= limit {
		service.events.refuse(opening.Class)
		return Refuse
	}
	service.events.held++
	service.held = slices.Insert(service.held, position, held)
	for i := limit; i < len(service.held); i++ {
		service.held[i].evicted = true
	}
	return Hold
}

// compareHeld orders openings by their claim to the next place: the more urgent class, the
// caller with fewer places, the longer wait.
func compareHeld(a, b *heldOpening) int {
	return cmp.Or(a.Class.Compare(b.Class), cmp.Compare(a.places, b.places), a.heldAt.Compare(b.heldAt))
}

// holdsUrgent reports whether an opening waits whose class is at least as urgent.
func (serviceLoad *serviceLoad) holdsUrgent(class Class) bool {
	return len(serviceLoad.held) > 0 && serviceLoad.held[0].Class.Compare(class) <= 0
}

// Next returns the decision about the next opening whose wait has ended, or false if there is none.
func (admitter *Admitter) Next(now time.Time) (Result, bool) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	for _, name := range admitter.waitingServices() {
		service := admitter.services[name]
		if admitter.settings.Enabled {
			service.control(admitter.settings.MaxShedShare, admitter.sharedService(name, now), now)
		}
		service.refill(now)
		if !service.isLimited() || service.tokens >= 1 {
			held := service.remove(0)
			admitter.take(service, held.Opening, now)
			return service.end(held, Admit, now), true
		}
		for i, held := range service.held {
			if held.evicted || !now.Before(held.until) {
				service.remove(i)
				return service.end(held, Refuse, now), true
			}
		}
	}
	return Result{}, false
}

// end counts the decision about an opening that was held, and returns it.
func (serviceLoad *serviceLoad) end(held *heldOpening, decision Decision, now time.Time) Result {
	result := Result{Flow: held.Flow, Decision: decision, Waited: now.Sub(held.heldAt), IsLate: now.Sub(held.until) > lateTime}
	serviceLoad.events.end(result, held.Class)
	return result
}

// remove removes the held opening at an index and returns it.
func (serviceLoad *serviceLoad) remove(index int) *heldOpening {
	held := serviceLoad.held[index]
	serviceLoad.held = slices.Delete(serviceLoad.held, index, index+1)
	return held
}

// WakeTime returns when Next has to be called; the zero time if no opening is held.
func (admitter *Admitter) WakeTime() time.Time {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	var earliest time.Time
	for _, service := range admitter.services {
		if len(service.held) == 0 {
			continue
		}
		if due := service.dueAt(); earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	return earliest
}

// dueAt returns when the next held opening may be released or refused.
func (serviceLoad *serviceLoad) dueAt() time.Time {
	due := serviceLoad.controlledAt.Add(controlInterval)
	for _, held := range serviceLoad.held {
		if held.evicted {
			return held.heldAt
		}
		if held.until.Before(due) {
			due = held.until
		}
	}
	if serviceLoad.budget > 0 && serviceLoad.isLimited() {
		missing := (1 - serviceLoad.tokens) / serviceLoad.budget
		token := serviceLoad.refilledAt.Add(time.Duration(missing * float64(time.Second)))
		if token.Before(due) {
			due = token
		}
	}
	return due
}
