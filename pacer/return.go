package pacer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// returnHold is how long after the end of a failure domain's evacuation its servers get no new
// flows if their service states a rate: they can have turned cold shortly before, write so at
// their next heartbeat, and are read there.
const returnHold = 2 * time.Second

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
		if view.Evacuations.Contains(domain) || now.Sub(returnedAt) >= returnHold {
			delete(pacer.returnedAt, domain)
		}
	}
	for _, domain := range before.Evacuations.List() {
		if !view.Evacuations.Contains(domain) {
			pacer.returnedAt[domain] = now
		}
	}
}

// hasJustReturned reports whether a failure domain was evacuated until a moment ago.
func (pacer *Pacer) hasJustReturned(domain string, now time.Time) bool {
	returnedAt, ok := pacer.returnedAt[domain]
	return ok && now.Sub(returnedAt) < returnHold
}
