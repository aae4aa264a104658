package admitter

import (
	"math"
	"time"
)

const (
	// controlInterval is the time between two corrections of the budget.
	controlInterval = 100 * time.Millisecond
	// loadSpan is the time after which an event counts e times less in what the budget follows. A
	// shed request shows about a quarter of a second after its opening was admitted.
	loadSpan = 250 * time.Millisecond
	// correctionShare is the part by which the budget moves at each correction to what was
	// admitted less what was shed too much.
	correctionShare = 0.5
	// followShare is the part by which the budget moves at each correction to the fleet's part of
	// the openings, so that callers of all failure domains have the same chance.
	followShare = 0.25
	// growthTime is the time in which the budget grows by all that the servers answer, while their
	// queues are empty.
	growthTime = 300 * time.Millisecond
	// releaseShare is how many times what callers ask for the budget must be to end the limit.
	releaseShare = 1.3
	// emptyQueueRatio is the multiple of the usual response time below which the servers' queues
	// count as empty; then the budget is never cut. From halfQueueRatio it does not grow.
	emptyQueueRatio = 1.5
	halfQueueRatio  = 2
	// fleetWeight is the number of own responses, or openings, that count as much as the fleet's
	// figures.
	fleetWeight = 8
	// minShed is how many recent shed responses show too little room.
	minShed = 1.5
	// calmShed is the number of recent shed responses that count as none.
	calmShed = 0.1
	// displaceableShare is the part of what the servers work off that less urgent classes must
	// have for a class to be admitted without a limit: its requests take places of theirs.
	displaceableShare = 0.1
	// trickleShare is the part of the openings for which there is always a budget, so that no
	// class starves and the return of room shows.
	trickleShare = 0.03
	// shedTimeRatio is the part of the usual response time from which a short response counts
	// as shed after a wait. A shorter one is a failure.
	shedTimeRatio = 0.4
	// usualSmoothing is the largest weight of a response in the usual response time, but for the
	// first responses, and usualSpan the time after which responses count e times less, however many
	// there are: a burst fills the queues before anything is shed.
	usualSmoothing = 0.02
	usualSpan      = 10 * time.Second
	// usualSamples is the number of responses that make the usual response time known.
	usualSamples = 20
	// usualLimit is the multiple of the usual response time for which a response counts at most.
	usualLimit = 3
	// shedMemory is the time without a shed response, here and in the fleet, after which there
	// is room.
	shedMemory = time.Second
	// chanceDeviations is how many standard deviations the outstanding requests may be too few by
	// chance.
	chanceDeviations = 2
	// maxTokenTime is the time for which an unused budget is kept.
	maxTokenTime = 50 * time.Millisecond
)

// unlimited is the budget of a service that has room.
var unlimited = math.Inf(1)

// classLoad is the demand of one class for a service.
type classLoad struct {
	openings rate // new flows that callers asked for
	served   rate // responses of the servers
}

// serviceLoad is the load of one service and the budget that follows from it.
type serviceLoad struct {
	classes   map[Class]*classLoad
	admitted  rate      // openings
	answered  rate      // responses, shed ones included
	shed      rate      // responses of servers with full queues
	late      rate      // responses that took longer than their objective
	delay     rate      // of each response that was not shed, as a multiple of the usual time
	usual     float64   // response time in seconds while there is room
	learned   int       // responses in usual; it is known from usualSamples on
	learnedAt time.Time // when the last one was taken into it
	shedAt    time.Time // of the last shed response

	budget       float64 // openings per second; unlimited if there is room
	controlledAt time.Time
	tokens       float64 // openings that may be admitted now
	refilledAt   time.Time
	held         []*heldOpening
	outstanding  int  // requests of this instance at the servers
	wasLimited   bool // at the last summary or since
	events       events
	lastUsed     time.Time
}

func newServiceLoad() *serviceLoad {
	return &serviceLoad{
		classes:  map[Class]*classLoad{},
		budget:   unlimited,
		admitted: rate{span: loadSpan},
		answered: rate{span: loadSpan},
		shed:     rate{span: loadSpan},
		late:     rate{span: loadSpan},
		delay:    rate{span: loadSpan},
	}
}

func (serviceLoad *serviceLoad) class(class Class) *classLoad {
	load := serviceLoad.classes[class]
	if load == nil {
		load = &classLoad{openings: rate{span: loadSpan}, served: rate{span: loadSpan}}
		serviceLoad.classes[class] = load
	}
	return load
}

// recordResponse counts a response. Before the usual time is known, a response only serves to
// learn it.
func (serviceLoad *serviceLoad) recordResponse(response Response, fleet ServiceLoad, now time.Time) {
	seconds := response.Duration.Seconds()
	isKnown := serviceLoad.learned >= usualSamples
	if response.IsShort {
		if isKnown && seconds >= shedTimeRatio*serviceLoad.usual {
			serviceLoad.answered.add(1, now)
			serviceLoad.shed.add(1, now)
			serviceLoad.shedAt = now
		}
		return
	}
	serviceLoad.class(response.Class).served.add(1, now)
	if !isKnown {
		serviceLoad.learnUsual(seconds/max(fleet.delayRatio(), 1), now)
		return
	}
	if response.Objective > 0 && response.Duration > response.Objective {
		serviceLoad.late.add(1, now)
	}
	serviceLoad.answered.add(1, now)
	serviceLoad.delay.add(min(seconds/serviceLoad.usual, usualLimit), now)
	isCalm := !serviceLoad.isLimited() && fleet.Answered == 0 && serviceLoad.shed.weightAt(now) < calmShed
	if isCalm {
		serviceLoad.learnUsual(min(seconds, usualLimit*serviceLoad.usual), now)
	}
}

// learnUsual takes the time in seconds of a response, received while there was room, into the
// usual response time.
func (serviceLoad *serviceLoad) learnUsual(seconds float64, now time.Time) {
	serviceLoad.learned++
	weight := min(usualSmoothing, now.Sub(serviceLoad.learnedAt).Seconds()/usualSpan.Seconds())
	if first := 1 / float64(serviceLoad.learned); first > usualSmoothing {
		weight = first
	}
	serviceLoad.learnedAt = now
	serviceLoad.usual += weight * (seconds - serviceLoad.usual)
}

func (serviceLoad *serviceLoad) isLimited() bool { return !math.IsInf(serviceLoad.budget, 1) }

// control corrects the budget at most once per controlInterval. The limit begins when more than
// twice maxShedShare of the responses is shed. From then on the budget is what was admitted, or
// would be in proportion to the fleet, less the responses that were shed, or took longer than their
// objective, beyond maxShedShare, and grows as the queues get short. The limit ends when the budget
// is more than callers ask for, or nothing is shed any more.
func (serviceLoad *serviceLoad) control(maxShedShare float64, fleet ServiceLoad, now time.Time) {
	elapsed := min(now.Sub(serviceLoad.controlledAt), 5*controlInterval)
	if elapsed < controlInterval {
		return
	}
	serviceLoad.controlledAt = now
	own := serviceLoad.own(now)
	offered, answered := float64(own.Offered), float64(own.Answered)
	admitted := serviceLoad.admittedWithFleet(own, fleet, now)
	if !serviceLoad.isLimited() {
		if !serviceLoad.showsShortage(own, 2*maxShedShare, now) && fleet.excess(2*maxShedShare) <= 0 {
			return
		}
		serviceLoad.budget = admitted
		serviceLoad.wasLimited = true
		serviceLoad.refilledAt, serviceLoad.tokens = now, 0
		if serviceLoad.opensRarely(now) {
			serviceLoad.tokens = 1
		}
	}
	if float64(fleet.Shed)*loadSpan.Seconds() < calmShed && now.Sub(serviceLoad.shedAt) > shedMemory {
		serviceLoad.budget = unlimited
		return
	}
	seen := serviceLoad.withFleet(own, fleet, now)
	growth := between(seen.delayRatio, halfQueueRatio, emptyQueueRatio)
	if fleet.Offered > 0 && growth == 0 { // the fleet's figures are older than own growth
		serviceLoad.budget += followShare * (fleet.admittedShare()*offered - serviceLoad.budget)
	}
	if failed := seen.shedShare + seen.lateShare; failed > maxShedShare && seen.delayRatio > emptyQueueRatio {
		excess := (failed - maxShedShare) * answered
		serviceLoad.budget += correctionShare * (admitted - excess - serviceLoad.budget)
	} else {
		serviceLoad.budget += growth * answered * elapsed.Seconds() / growthTime.Seconds()
		if serviceLoad.budget > releaseShare*offered+1 {
			serviceLoad.budget = unlimited
			return
		}
	}
	serviceLoad.budget = max(serviceLoad.budget, trickleShare*offered)
}

// showsShortage reports whether a larger part of the responses is shed than maxShedShare.
func (serviceLoad *serviceLoad) showsShortage(own ServiceLoad, maxShedShare float64, now time.Time) bool {
	return own.excess(maxShedShare) > 0 && serviceLoad.shed.weightAt(now) >= minShed
}

// own returns the load as this instance sees it.
func (serviceLoad *serviceLoad) own(now time.Time) ServiceLoad {
	own := ServiceLoad{
		Answered: float32(serviceLoad.answered.perSecond(now)),
		Shed:     float32(serviceLoad.shed.perSecond(now)),
		Delay:    float32(serviceLoad.delay.perSecond(now)),
		Late:     float32(serviceLoad.late.perSecond(now)),
		Admitted: float32(serviceLoad.admitted.perSecond(now)),
	}
	for _, load := range serviceLoad.classes {
		own.Offered += float32(load.openings.perSecond(now))
	}
	own.Delay = min(own.Delay, float32(serviceLoad.outstandingRatio(own))*(own.Answered-own.Shed))
	return own
}

// pressure is how full the servers of a service are.
type pressure struct {
	shedShare  float64 // of the responses
	lateShare  float64 // of the responses, that took longer than their objective
	delayRatio float64 // recent response time over the usual one
}

// withFleet returns the pressure as this instance and the fleet see it. The fewer recent
// responses this instance has, the more the fleet's figures count.
func (serviceLoad *serviceLoad) withFleet(own, fleet ServiceLoad, now time.Time) pressure {
	ownSamples, fleetSamples := serviceLoad.answered.weightAt(now), 0.0
	if fleet.Answered > 0 {
		fleetSamples = fleetWeight
	}
	mean := func(own, fleet float64) float64 {
		return (own*ownSamples + fleet*fleetSamples) / max(ownSamples+fleetSamples, 1)
	}
	return pressure{
		shedShare:  mean(own.shedShare(), fleet.shedShare()),
		lateShare:  mean(own.lateShare(), fleet.lateShare()),
		delayRatio: mean(own.delayRatio(), fleet.delayRatio()),
	}
}

// outstandingRatio returns how long the outstanding requests are likely to take, as a multiple of the
// usual response time: what is outstanding takes as long as the servers need to answer that many.
// It falls at once when callers ask for less, while response times tell of what was asked for
// before. Few requests say little, so as many are added as may be missing by chance.
func (serviceLoad *serviceLoad) outstandingRatio(own ServiceLoad) float64 {
	atUsualTime := float64(own.Answered) * serviceLoad.usual
	if atUsualTime == 0 {
		return 1
	}
	outstanding := float64(serviceLoad.outstanding)
	return (outstanding + chanceDeviations*math.Sqrt(outstanding+1)) / atUsualTime
}

// admittedWithFleet returns the openings admitted per second; an instance with few recent ones
// counts at least those that it would admit in proportion to the fleet.
func (serviceLoad *serviceLoad) admittedWithFleet(own, fleet ServiceLoad, now time.Time) float64 {
	admitted := float64(own.Admitted)
	if serviceLoad.opensRarely(now) {
		admitted = max(admitted, fleet.admittedShare()*float64(own.Offered))
	}
	return admitted
}

// opensRarely reports whether few openings were admitted here of late.
func (serviceLoad *serviceLoad) opensRarely(now time.Time) bool {
	return serviceLoad.admitted.weightAt(now) < fleetWeight
}

// between returns 0 if value is zero or beyond it, 1 if it is one or beyond it, and in proportion
// between them.
func between(value, zero, one float64) float64 {
	return min(max((value-zero)/(one-zero), 0), 1)
}

// isProtected reports whether less urgent classes have places that a class can take.
func (serviceLoad *serviceLoad) isProtected(class Class, now time.Time) bool {
	all, lessUrgent := 0.0, 0.0
	for other, load := range serviceLoad.classes {
		served := load.served.perSecond(now)
		all += served
		if other.Compare(class) > 0 {
			lessUrgent += served
		}
	}
	return lessUrgent > displaceableShare*all
}

// refill adds the tokens of the time since the last call.
func (serviceLoad *serviceLoad) refill(now time.Time) {
	if !serviceLoad.isLimited() {
		return
	}
	limit := max(serviceLoad.budget*maxTokenTime.Seconds(), 1)
	serviceLoad.tokens += serviceLoad.budget * max(now.Sub(serviceLoad.refilledAt), 0).Seconds()
	serviceLoad.tokens = min(serviceLoad.tokens, limit)
	serviceLoad.refilledAt = now
}

// take counts an opening as admitted and spends a token; it may leave a debt that the next
// openings wait for.
func (serviceLoad *serviceLoad) take(now time.Time) {
	serviceLoad.admitted.add(1, now)
	if serviceLoad.isLimited() {
		limit := max(serviceLoad.budget*maxTokenTime.Seconds(), 1)
		serviceLoad.tokens = max(serviceLoad.tokens-1, -limit)
	}
}
