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
	loadSpan = 400 * time.Millisecond
	// correctionShare is the part by which the budget moves at each correction to what was
	// admitted less what was shed too much.
	correctionShare = 0.5
	// followShare is the part by which the budget moves at each correction to the fleet's part of
	// the openings, so that callers of all failure domains have the same chance.
	followShare = 0.25
	// growthTime is the time in which the budget grows by all that the servers answer, while their
	// queues are empty.
	growthTime = 500 * time.Millisecond
	// releaseShare is how many times what callers ask for the budget must be to end the limit.
	releaseShare = 1.3
	// emptyQueueRatio is the multiple of the usual response time below which the servers' queues
	// count as empty; then the budget is never cut. From halfQueueRatio it does not grow.
	emptyQueueRatio = 1.1
	halfQueueRatio  = 2
	// minShed is how many recent shed responses show too little room.
	minShed = 1.5
	// displaceableShare is the part of what the servers work off that less urgent classes must
	// have for a class to be admitted without a limit: its requests take places of theirs.
	displaceableShare = 0.1
	// trickleShare is the part of the openings for which there is always a budget, so that no
	// class starves and the return of room shows.
	trickleShare = 0.03
	// shedTimeRatio is the part of the usual response time from which a short response counts
	// as shed after a wait. A shorter one is a failure.
	shedTimeRatio = 0.4
	// usualSmoothing and recentSmoothing are the weights of a response in the usual and the
	// recent response time.
	usualSmoothing  = 0.02
	recentSmoothing = 0.2
	// usualLimit is the multiple of the usual response time above which a response does not
	// change it, and counts no more in the recent one.
	usualLimit = 3
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
	classes  map[Class]*classLoad
	admitted rate    // openings
	answered rate    // responses, shed ones included
	shed     rate    // responses of servers with full queues
	delay    rate    // of each response that was not shed, as a multiple of the usual time
	usual    float64 // response time in seconds while there is room; 0 before the first
	recent   float64 // response time in seconds

	budget       float64 // openings per second; unlimited if there is room
	controlledAt time.Time
	tokens       float64 // openings that may be admitted now
	refilledAt   time.Time
	held         []*heldOpening
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

// recordResponse counts a response.
func (serviceLoad *serviceLoad) recordResponse(response Response, now time.Time) {
	seconds := response.Duration.Seconds()
	if response.IsShort {
		if seconds >= shedTimeRatio*serviceLoad.usual {
			serviceLoad.answered.add(1, now)
			serviceLoad.shed.add(1, now)
		}
		return
	}
	serviceLoad.class(response.Class).served.add(1, now)
	serviceLoad.answered.add(1, now)
	if serviceLoad.usual == 0 {
		serviceLoad.usual, serviceLoad.recent = seconds, seconds
	}
	serviceLoad.delay.add(min(seconds/serviceLoad.usual, usualLimit), now)
	serviceLoad.recent += recentSmoothing * (min(seconds, usualLimit*serviceLoad.usual) - serviceLoad.recent)
	if !serviceLoad.isLimited() && seconds < usualLimit*serviceLoad.usual {
		serviceLoad.usual += usualSmoothing * (seconds - serviceLoad.usual)
	}
}

func (serviceLoad *serviceLoad) isLimited() bool { return !math.IsInf(serviceLoad.budget, 1) }

// control corrects the budget at most once per controlInterval. The limit begins when more than
// twice maxShedShare of the responses is shed. From then on the budget is what was admitted
// less the responses that were shed beyond maxShedShare, and grows as the queues get short.
func (serviceLoad *serviceLoad) control(maxShedShare float64, fleet ServiceLoad, now time.Time) {
	elapsed := min(now.Sub(serviceLoad.controlledAt), 5*controlInterval)
	if elapsed < controlInterval {
		return
	}
	serviceLoad.controlledAt = now
	own := serviceLoad.own(now)
	if !serviceLoad.isLimited() {
		if !serviceLoad.showsShortage(own, 2*maxShedShare, now) {
			return
		}
		serviceLoad.budget = float64(own.Admitted)
		serviceLoad.wasLimited = true
		serviceLoad.refilledAt, serviceLoad.tokens = now, 0
	}
	offered, ratio := float64(own.Offered), serviceLoad.delayRatio()
	excess, meanRatio := own.excess(maxShedShare), ratio
	if fleet.Answered > 0 {
		excess = (excess + fleet.excess(maxShedShare)*float64(own.Answered/fleet.Answered)) / 2
		meanRatio = (ratio + fleet.delayRatio()) / 2
	}
	if fleet.Offered > 0 {
		serviceLoad.budget += followShare * (float64(fleet.Admitted/fleet.Offered)*offered - serviceLoad.budget)
	}
	if excess > 0 && meanRatio > emptyQueueRatio {
		serviceLoad.budget += correctionShare * (float64(own.Admitted) - excess - serviceLoad.budget)
	} else {
		growth := between(ratio, halfQueueRatio, emptyQueueRatio)
		serviceLoad.budget += growth * float64(own.Answered) * elapsed.Seconds() / growthTime.Seconds()
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
	return ServiceLoad{
		Answered: float32(serviceLoad.answered.perSecond(now)),
		Shed:     float32(serviceLoad.shed.perSecond(now)),
		Offered:  float32(serviceLoad.offered(now)),
		Admitted: float32(serviceLoad.admitted.perSecond(now)),
		Delay:    float32(serviceLoad.delay.perSecond(now)),
	}
}

// delayRatio returns the recent response time as a multiple of the usual one.
func (serviceLoad *serviceLoad) delayRatio() float64 {
	if serviceLoad.usual == 0 {
		return 1
	}
	return serviceLoad.recent / serviceLoad.usual
}

// between returns 0 if value is zero or beyond it, 1 if it is one or beyond it, and in proportion
// between them.
func between(value, zero, one float64) float64 {
	return min(max((value-zero)/(one-zero), 0), 1)
}

// offered returns the openings per second that callers ask for.
func (serviceLoad *serviceLoad) offered(now time.Time) float64 {
	sum := 0.0
	for _, load := range serviceLoad.classes {
		sum += load.openings.perSecond(now)
	}
	return sum
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

// take spends a token; it may leave a debt that the next openings wait for.
func (serviceLoad *serviceLoad) take(now time.Time) {
	serviceLoad.admitted.add(1, now)
	if serviceLoad.isLimited() {
		limit := max(serviceLoad.budget*maxTokenTime.Seconds(), 1)
		serviceLoad.tokens = max(serviceLoad.tokens-1, -limit)
	}
}
