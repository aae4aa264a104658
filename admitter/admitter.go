package admitter

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// objectiveShare is the part of a request's objective that its opening may wait.
	objectiveShare = 0.25
	// expiryInterval is the time between two searches for unused state.
	expiryInterval = 5 * time.Second
	// serviceLifetime is how long the load of an unused service is kept.
	serviceLifetime = 2 * time.Minute
	// callerSpan is the time after which a caller's place counts e times less against it.
	callerSpan = 300 * time.Millisecond
	// maxCallers bounds the callers whose places are counted; a further one discards all.
	maxCallers = 20_000
)

// Settings hold what operators choose.
type Settings struct {
	Enabled      bool
	MaxWait      time.Duration // of an opening for a place
	MaxShedShare float64       // of the responses; above it openings are limited
}

// FlowID identifies a flow by the caller's address and the one that it calls.
type FlowID struct{ Caller, Service netip.AddrPort }

// Opening is the first packet of a flow, and the route's statements about its request.
type Opening struct {
	Flow      FlowID
	Service   string
	Class     Class
	Objective time.Duration // within which the caller needs its response; 0 if not stated
}

// Decision says what becomes of an opening.
type Decision int

// Decisions about an opening.
const (
	Admit  Decision = iota // send it to a server now
	Hold                   // Next returns it later
	Refuse                 // reset it
)

// Admitter decides about the openings at one instance; it is safe for
// concurrent use.
type Admitter struct {
	isEnabled atomic.Bool // as in settings
	mutex     sync.Mutex
	settings  Settings
	services  map[string]*serviceLoad
	callers   map[netip.Addr]*rate // openings admitted while room was short, by caller
	shared    sharedLoad
	expiredAt time.Time
}

// NewAdmitter returns an Admitter.
func NewAdmitter(settings Settings) *Admitter {
	admitter := &Admitter{settings: settings, services: map[string]*serviceLoad{}, callers: map[netip.Addr]*rate{}}
	admitter.isEnabled.Store(settings.Enabled)
	return admitter
}

// IsEnabled reports whether openings may be held or refused.
func (admitter *Admitter) IsEnabled() bool { return admitter.isEnabled.Load() }

// SetSettings replaces the settings; openings that are held are admitted if admission control
// is now disabled.
func (admitter *Admitter) SetSettings(settings Settings) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.settings = settings
	admitter.isEnabled.Store(settings.Enabled)
	if settings.Enabled {
		return
	}
	for _, service := range admitter.services {
		service.budget = unlimited
	}
}

// Response is a complete response of a backend server.
type Response struct {
	Class     Class
	Duration  time.Duration // from the request to the end of the response
	Objective time.Duration // within which the caller needed it; 0 if not stated
	IsShort   bool          // much shorter than usual on its route, as if the request was not run
}

// RecordResponse counts a response.
func (admitter *Admitter) RecordResponse(service string, response Response, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	if !admitter.settings.Enabled {
		return
	}
	fleet := admitter.sharedService(service, now)
	admitter.service(service, now).recordResponse(response, fleet, now)
}

// IsLimited reports whether the openings of a service are limited for lack of room.
func (admitter *Admitter) IsLimited(service string) bool {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	load := admitter.services[service]
	return load != nil && load.isLimited()
}

// Decide decides about an opening. One that is held is returned by Next once.
func (admitter *Admitter) Decide(opening Opening, now time.Time) Decision {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	if !admitter.settings.Enabled {
		return Admit
	}
	service := admitter.service(opening.Service, now)
	service.class(opening.Class).openings.add(1, now)
	service.control(admitter.settings.MaxShedShare, admitter.sharedService(opening.Service, now), now)
	if !service.isLimited() {
		service.take(now)
		return Admit
	}
	service.refill(now)
	if service.isProtected(opening.Class, now) || service.tokens >= 1 && !service.holdsUrgent(opening.Class) {
		admitter.take(service, opening, now)
		return Admit
	}
	return admitter.hold(service, opening, now)
}

// take admits an opening, and counts its place for its caller.
func (admitter *Admitter) take(service *serviceLoad, opening Opening, now time.Time) {
	service.take(now)
	admitter.callerRate(opening.Flow.Caller.Addr()).add(1, now)
}

// Withdraw undoes the admission of an opening that no server could be sent.
func (admitter *Admitter) Withdraw(opening Opening, now time.Time) {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	service := admitter.services[opening.Service]
	if service == nil {
		return
	}
	service.admitted.add(-1, now)
	if service.isLimited() {
		service.tokens++
		admitter.callerRate(opening.Flow.Caller.Addr()).add(-1, now)
	}
}

func (admitter *Admitter) callerRate(address netip.Addr) *rate {
	places := admitter.callers[address]
	if places == nil {
		if len(admitter.callers) >= maxCallers {
			clear(admitter.callers)
		}
		places = &rate{span: callerSpan}
		admitter.callers[address] = places
	}
	return places
}

// service returns the load of a service, created if necessary, and marks it as used.
func (admitter *Admitter) service(name string, now time.Time) *serviceLoad {
	service := admitter.services[name]
	if service == nil {
		service = newServiceLoad()
		admitter.services[name] = service
	}
	service.lastUsed = now
	return service
}

// expire deletes the state of services and callers that is no longer used, at most once per
// expiryInterval.
func (admitter *Admitter) expire(now time.Time) {
	if now.Sub(admitter.expiredAt) < expiryInterval {
		return
	}
	admitter.expiredAt = now
	for name, service := range admitter.services {
		if now.Sub(service.lastUsed) > serviceLifetime && len(service.held) == 0 {
			delete(admitter.services, name)
		}
	}
	for address, places := range admitter.callers {
		if now.Sub(places.at) > expiryInterval {
			delete(admitter.callers, address)
		}
	}
}

// waitingServices returns the names of the services with held openings.
func (admitter *Admitter) waitingServices() []string {
	var names []string
	for name, service := range admitter.services {
		if len(service.held) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
