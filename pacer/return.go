package pacer

import (
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// heartbeatTime is how long after the end of a failure domain's evacuation its servers have
	// written into the store that they are cold: they can have turned cold shortly before, and
	// write so at their next heartbeat.
	heartbeatTime = 1200 * time.Millisecond
	// returnHold is the shortest time after the end of an evacuation for which the domain's servers
	// get no new flows if their service states a rate. They wait on until the store was read
	// heartbeatTime after the end or later, for maxReturnHold at most.
	returnHold = 2 * time.Second
	// maxReturnHold is longer than servers are cold.
	maxReturnHold = 15 * time.Second
)

// SetViewAge sets the function that returns the time since the store last confirmed the list of
// servers; it has to be set before the first packet. Without one the list counts as up to date.
func (pacer *Pacer) SetViewAge(viewAge func(now time.Time) time.Duration) { pacer.viewAge = viewAge }

// ObserveView notes when failure domains are no longer evacuated. It has to be called after each
// change of the view, also if no flows are opened.
func (pacer *Pacer) ObserveView(now time.Time) { pacer.observeReturns(pacer.currentView(), now) }

// observeReturns notes when failure domains are no longer evacuated.
func (pacer *Pacer) observeReturns(view *viewer.View, now time.Time) {
	if view == pacer.observed {
		return
	}
	before := pacer.observed
	pacer.observed = view
	if before == nil || before.Evacuations == view.Evacuations {
		return
	}
	for domain, returnedAt := range pacer.returnedAt {
		if view.Evacuations.Contains(domain) || now.Sub(returnedAt) >= maxReturnHold {
			delete(pacer.returnedAt, domain)
		}
	}
	for _, domain := range before.Evacuations.List() {
		if !view.Evacuations.Contains(domain) {
			pacer.returnedAt[domain] = now
		}
	}
}

// elsewhere says whether a service had a warm server outside the failure domains that have just
// returned.
type elsewhere struct {
	view  *viewer.View
	at    time.Time
	found bool
}

// isHeld reports whether a server that is not known to be cold gets no new flows, as its failure
// domain has just returned and other servers can serve the callers.
func (pacer *Pacer) isHeld(server *viewer.BackendServer, view *viewer.View, now time.Time) bool {
	return pacer.hasJustReturned(server.FailureDomain, now) && pacer.isServedElsewhere(server.Service, view, now)
}

// isServedElsewhere reports whether a service has a warm server outside the failure domains that
// have just returned.
func (pacer *Pacer) isServedElsewhere(service string, view *viewer.View, now time.Time) bool {
	known := pacer.elsewhere[service]
	if known.view != view || !known.at.Equal(now) {
		isWarm := func(server *viewer.BackendServer) bool {
			return !pacer.hasJustReturned(server.FailureDomain, now) && !mayBeCold(server, now)
		}
		known = elsewhere{view: view, at: now, found: slices.ContainsFunc(view.ActiveServers(service), isWarm)}
		pacer.elsewhere[service] = known
	}
	return known.found
}

// hasJustReturned reports whether a failure domain was evacuated until a moment ago, or no list of
// servers has been read since from which it would show that they are cold.
func (pacer *Pacer) hasJustReturned(domain string, now time.Time) bool {
	returnedAt, ok := pacer.returnedAt[domain]
	if !ok {
		return false
	}
	since := now.Sub(returnedAt)
	switch {
	case since < returnHold:
		return true
	case since >= maxReturnHold || pacer.viewAge == nil:
		return false
	default:
		return pacer.viewAge(now) > since-heartbeatTime
	}
}
