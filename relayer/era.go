package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// A store that returns from an older copy may have lost what instances wrote since: their
// registrations and the saved snapshot. Each instance therefore registers again once it learns of
// the new era, from the store or from another instance.

const (
	// registrationSpread is the time over which the instances of a fleet register again, so that
	// thousands of them stay under the rate of writes that the store accepts.
	registrationSpread = 10 * time.Second
	// registrationGrace is how long after a return members that are not listed are kept.
	registrationGrace = 2 * registrationSpread
)

// eraState is what a relayer knows of the era of the store.
type eraState struct {
	current    uint64    // newest era in which the store was read, by this instance or another
	changedAt  time.Time // when it was first heard of; zero before the first change
	registered uint64    // newest era in which the store acknowledged this instance's registration

	isRegistered bool // whether it ever did
}

// recordEra notes an era of the store.
func (relayer *Relayer) recordEra(revision viewer.Revision, now time.Time) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if revision.Era <= relayer.era.current {
		return
	}
	if relayer.era.current != 0 {
		relayer.era.changedAt = now
	}
	relayer.era.current = revision.Era
}

// newestEra returns the newest era of which this instance knows.
func (relayer *Relayer) newestEra() uint64 {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.era.current
}

// recordRegistration notes that the store has this instance's registration in an era.
func (relayer *Relayer) recordRegistration(era uint64) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.era.registered, relayer.era.isRegistered = era, true
}

// registerAgain registers this instance again if the store may have lost its registration.
func (relayer *Relayer) registerAgain(ctx context.Context, now time.Time) {
	relayer.mutex.Lock()
	delay := time.Duration(relayer.schedule.spread * float64(registrationSpread))
	due := relayer.era.isRegistered && relayer.era.registered < relayer.era.current && now.Sub(relayer.era.changedAt) >= delay && !relayer.leaving
	relayer.mutex.Unlock()
	if due {
		relayer.startUnlessRunning("register", func() { relayer.register(ctx) })
	}
}

// mayHaveLostMembers reports whether the store may lack the registrations of members because it
// has just returned from an older copy. The mutex must be held.
func (relayer *Relayer) mayHaveLostMembers(now time.Time) bool {
	return !relayer.era.changedAt.IsZero() && now.Sub(relayer.era.changedAt) < registrationGrace
}
