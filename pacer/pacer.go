package pacer

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// window is the time in which the openings are counted: a second, and a tenth more since
	// openings that are sent further apart can arrive within a second.
	window = 1100 * time.Millisecond
	// concurrentChoices is how many pairs of instances may share a server's rate at the same
	// time without exceeding the limit: two readers of the store choose different ones if
	// only one of them knows an instance that has just joined.
	concurrentChoices = 2
	// initialShare is the share of new flows that a server gets at its start, in proportion to
	// a warm one, if its service states no rate.
	initialShare = 0.25
)

// Bounds are how far the openings of a second may exceed the rate that a service states.
type Bounds struct {
	Excess float64 // factor of the rate; 0 stands for 1
	Slack  float64 // openings above that
}

// Counter is notified of openings that are sent to cold servers whose service states a rate,
// of cold candidates, not openings, that were passed over because this instance may send none now,
// and, once for each rate, of services that state one at which no instance may ever send any.
type Counter interface {
	WarmUpOpening()
	WarmUpDeclined()
	WarmUpRateTooSmall(service string, rate float64)
}

// Pacer holds the budgets of one instance; only SetBounds may be called concurrently.
type Pacer struct {
	instance    uint32
	bounds      atomic.Pointer[Bounds]
	currentView func() *viewer.View
	counter     Counter
	startedAt   time.Time
	budgets     map[incarnation]*budget

	tooSmall   map[string]float64                // rates that were reported as too small, by service
	observed   *viewer.View                      // whose evacuations were observed last
	returnedAt map[string]time.Time              // when evacuations ended, by failure domain
	viewAge    func(now time.Time) time.Duration // nil if the list of servers counts as up to date

	elsewhere map[string]elsewhere // by service

	view   *viewer.View                       // that shared belongs to
	shared map[string][]*viewer.BackendServer // by service: active servers whose rate this instance shares
}

// incarnation identifies one incarnation of a backend server.
type incarnation struct {
	name      string
	startedAt int64
}

// budget holds the openings, and the requests on open flows, that were sent to a server within
// the last window.
type budget struct {
	sentAt     []time.Time // oldest first
	lastSentAt time.Time   // also if it was sent earlier
	lastUsed   time.Time
}

// NewPacer returns a Pacer for an instance that starts now.
func NewPacer(instance string, bounds Bounds, currentView func() *viewer.View, counter Counter, now time.Time) *Pacer {
	pacer := &Pacer{
		instance: viewer.InstanceHash(instance), currentView: currentView, counter: counter, startedAt: now,
		budgets: map[incarnation]*budget{}, tooSmall: map[string]float64{}, returnedAt: map[string]time.Time{}, elsewhere: map[string]elsewhere{},
	}
	pacer.SetBounds(bounds)
	return pacer
}

// SetBounds replaces the bounds. It may be called concurrently.
func (pacer *Pacer) SetBounds(bounds Bounds) { pacer.bounds.Store(&bounds) }

// Share returns the share of new flows that a server may get from this instance now, from 0 to
// 1 for a warm server; 0 means that none may be sent.
func (pacer *Pacer) Share(server *viewer.BackendServer, now time.Time) float64 {
	view := pacer.currentView()
	pacer.observeReturns(view, now)
	isCold := mayBeCold(server, now)
	if !isCold && !pacer.isHeld(server, view, now) {
		return 1
	}
	service := view.Service(server.Service)
	if service.WarmUpRate <= 0 {
		return rampedShare(server, service.WarmUp, now)
	}
	if isCold && pacer.hasBudget(server, service, now) {
		return 1
	}
	pacer.counter.WarmUpDeclined()
	return 0
}

// Reserved reports whether only the sharers may open flows at a server now, if it has any.
func (pacer *Pacer) Reserved(server *viewer.BackendServer, now time.Time) bool {
	view := pacer.currentView()
	pacer.observeReturns(view, now)
	isReserved := mayBeCold(server, now) || pacer.isHeld(server, view, now)
	return isReserved && view.Service(server.Service).WarmUpRate > 0
}

// OpeningSent counts an opening against the budget, if the server has one.
func (pacer *Pacer) OpeningSent(server *viewer.BackendServer, now time.Time) {
	if pacer.isPaced(server, now) {
		pacer.budgetOf(server, now).add(now)
		pacer.counter.WarmUpOpening()
	}
}

// RequestSent counts a request on an open flow, but the first, against the budget like an
// opening, so that the server gets fewer new flows the more requests those it has send.
func (pacer *Pacer) RequestSent(server *viewer.BackendServer, now time.Time) {
	rate := pacer.currentView().Service(server.Service).WarmUpRate
	if pacer.isPaced(server, now) && pacer.sharers(server, rate).Contains(pacer.instance) {
		pacer.budgetOf(server, now).add(now)
	}
}

// Sharers returns how many instances open flows at the server in place of all, or 0 if all do.
func (pacer *Pacer) Sharers(server *viewer.BackendServer, now time.Time) int {
	if !pacer.isPaced(server, now) {
		return 0
	}
	return pacer.sharers(server, pacer.currentView().Service(server.Service).WarmUpRate).Count()
}

// Shared returns the active servers of a service whose rate this instance shares; some may
// have no budget now, or be warm.
func (pacer *Pacer) Shared(service string) []*viewer.BackendServer {
	if view := pacer.currentView(); view != pacer.view {
		pacer.view, pacer.shared = view, pacer.sharedServers(view)
	}
	return pacer.shared[service]
}

// sharedServers indexes the active servers whose rate this instance shares by service.
func (pacer *Pacer) sharedServers(view *viewer.View) map[string][]*viewer.BackendServer {
	shared := map[string][]*viewer.BackendServer{}
	if view.Configuration == nil {
		return shared
	}
	for _, service := range view.Configuration.Services {
		if service.WarmUpRate <= 0 {
			continue
		}
		for _, server := range view.ActiveServers(service.Name) {
			if pacer.sharers(server, service.WarmUpRate).Contains(pacer.instance) {
				shared[service.Name] = append(shared[service.Name], server)
			}
		}
	}
	return shared
}

// Expire forgets the budgets that were last used before a time.
func (pacer *Pacer) Expire(before time.Time) {
	for key, budget := range pacer.budgets {
		if budget.lastUsed.Before(before) {
			delete(pacer.budgets, key)
		}
	}
}

// isPaced reports whether only the sharers may open flows at a server now.
func (pacer *Pacer) isPaced(server *viewer.BackendServer, now time.Time) bool {
	return mayBeCold(server, now) && pacer.currentView().Service(server.Service).WarmUpRate > 0
}

// mayBeCold reports whether a server may still be cold. Its warm-up can end later than it is
// known to by WarmUpTolerance.
func mayBeCold(server *viewer.BackendServer, now time.Time) bool {
	return !server.ColdUntil.IsZero() && now.Before(server.ColdUntil.Add(viewer.WarmUpTolerance))
}

// hasBudget reports whether this instance may send an opening to a cold server now. A process
// sends none in its first window, as the one before it may have sent some just before.
func (pacer *Pacer) hasBudget(server *viewer.BackendServer, service viewer.Service, now time.Time) bool {
	sharers := pacer.sharers(server, service.WarmUpRate)
	if !sharers.Contains(pacer.instance) || now.Sub(pacer.startedAt) < window {
		return false
	}
	limit, spacing := allowance(service.WarmUpRate, *pacer.bounds.Load(), sharers.Count())
	if limit == 0 && pacer.tooSmall[service.Name] != service.WarmUpRate {
		pacer.tooSmall[service.Name] = service.WarmUpRate
		pacer.counter.WarmUpRateTooSmall(service.Name, service.WarmUpRate)
	}
	budget := pacer.budgetOf(server, now)
	budget.expire(now)
	return len(budget.sentAt) < limit && now.Sub(budget.lastSentAt) >= spacing
}

// sharers returns the instances that may open flows at a cold server: those that the list names,
// or only the first if the limit of the rate is too small for a part of each.
func (pacer *Pacer) sharers(server *viewer.BackendServer, rate float64) viewer.Sharers {
	if most(rate, *pacer.bounds.Load(), server.Sharers.Count()) < 1 {
		return server.Sharers.First()
	}
	return server.Sharers
}

// most returns how many openings each of count instances may send to a cold server in a window
// at most, so that concurrentChoices of them stay within the limit.
func most(rate float64, bounds Bounds, count int) float64 {
	total := rate*max(bounds.Excess, 0) + max(bounds.Slack, 0)
	if bounds.Excess == 0 {
		total += rate
	}
	return math.Floor(total / float64(concurrentChoices*max(count, 1)))
}

// allowance returns how many openings each of count instances may send to a cold server in a
// window, and the shortest time between two of them.
func allowance(rate float64, bounds Bounds, count int) (int, time.Duration) {
	stated := math.Floor(rate * window.Seconds() / float64(count))
	interval := min(float64(count)/rate, viewer.MaxWarmUp.Seconds()) // between two openings at the stated rate
	if stated >= 2 {
		interval /= 2 // so that a pause in the demand can be made up for
	}
	limit := int(min(most(rate, bounds, count), max(stated, 1), math.MaxInt32))
	return limit, time.Duration(interval * float64(time.Second))
}

// add counts an opening or a request.
func (budget *budget) add(now time.Time) {
	budget.expire(now)
	budget.sentAt, budget.lastSentAt = append(budget.sentAt, now), now
}

// expire forgets the openings that were sent a window ago.
func (budget *budget) expire(now time.Time) {
	for len(budget.sentAt) > 0 && now.Sub(budget.sentAt[0]) >= window {
		budget.sentAt = budget.sentAt[1:]
	}
}

// budgetOf returns the budget of a server, created if necessary.
func (pacer *Pacer) budgetOf(server *viewer.BackendServer, now time.Time) *budget {
	key := incarnation{name: server.Name, startedAt: server.StartedAt}
	existing := pacer.budgets[key]
	if existing == nil {
		existing = &budget{}
		pacer.budgets[key] = existing
	}
	existing.lastUsed = now
	return existing
}

// rampedShare returns the share of new flows that a server gets if no rate is stated: it grows
// evenly from initialShare over the warm-up.
func rampedShare(server *viewer.BackendServer, warmUp time.Duration, now time.Time) float64 {
	remaining := server.ColdUntil.Sub(now)
	if remaining <= 0 {
		return 1
	}
	if remaining >= warmUp {
		return initialShare
	}
	return 1 - (1-initialShare)*float64(remaining)/float64(warmUp)
}
