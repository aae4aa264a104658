package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/viewer"
)

// The evacuations are read from the store at the start of every read, apply at once, and are
// sent in full in every announcement and answer, so that an instance that missed any number
// of messages has them with the next one. They have a revision of their own: the view of an
// instance that lags in its servers or its configuration may have the newest evacuations.

const (
	// maxEvacuatedDomains and maxEvacuatedBytes limit the evacuated failure domains and the
	// length of their names together, so that a heartbeat fits one datagram.
	maxEvacuatedDomains = 32
	maxEvacuatedBytes   = 600
)

// checkEvacuations returns an error if another instance cannot have sent these evacuations,
// which may be nil.
func checkEvacuations(evacuations *viewer.Evacuations) error {
	if limitEvacuations(evacuations) != evacuations {
		return errors.Errorf("%d evacuated failure domains are too many", len(evacuations.Domains))
	}
	for i, domain := range evacuations.List() {
		if domain == "" || i > 0 && domain <= evacuations.Domains[i-1] {
			return errors.Errorf("evacuated failure domain %q is not in order", domain)
		}
	}
	return nil
}

// limitEvacuations returns the evacuations themselves if they fit a heartbeat, and otherwise
// as many of them as do.
func limitEvacuations(evacuations *viewer.Evacuations) *viewer.Evacuations {
	bytes := 0
	for i, domain := range evacuations.List() {
		bytes += len(domain)
		if i == maxEvacuatedDomains || bytes > maxEvacuatedBytes {
			return &viewer.Evacuations{Revision: evacuations.Revision, Domains: evacuations.Domains[:i], Era: evacuations.Era}
		}
	}
	return evacuations
}

// HasDomainLeft reports whether an instance of the fleet is in a failure domain that is not
// evacuated.
func (relayer *Relayer) HasDomainLeft(evacuations *viewer.Evacuations) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return slices.ContainsFunc(relayer.activeMembers(), func(member Member) bool { return !evacuations.Contains(member.FailureDomain) })
}

// readEvacuations reads the evacuations from the store and applies them. It returns the
// revision of the store, and whether other failure domains are evacuated than before.
func (relayer *Relayer) readEvacuations(ctx context.Context) (viewer.Revision, bool, error) {
	evacuations, err := relayer.source.Evacuations(ctx)
	if err != nil {
		return viewer.Revision{}, false, err
	}
	relayer.observer.StoreRead(evacuations.At())
	limited := limitEvacuations(evacuations)
	if ignored := len(evacuations.Domains) - len(limited.Domains); ignored > 0 {
		relayer.observer.EvacuationsIgnored(evacuations.Domains[len(limited.Domains):])
	}
	return limited.At(), relayer.applyEvacuations(limited, "store"), nil
}

// applyEvacuations applies evacuations from the store or an instance unless newer ones have
// been applied, and reports whether other failure domains are evacuated than before.
func (relayer *Relayer) applyEvacuations(evacuations *viewer.Evacuations, from string) bool {
	relayer.recordEra(evacuations.At(), time.Now())
	before, applied := relayer.viewer.ApplyEvacuations(evacuations)
	if !applied || evacuations.SameDomains(before) {
		return false
	}
	relayer.observer.EvacuationsApplied(before, evacuations, from)
	return true
}

// receiveEvacuations applies the evacuations of another instance. A leader passes new ones
// on to its failure domain, whatever else the heartbeat says, and an instance with older
// ones gets an answer.
func (relayer *Relayer) receiveEvacuations(heartbeat Heartbeat, now time.Time) {
	if relayer.applyEvacuations(heartbeat.Evacuations, heartbeat.Sender.Name) {
		relayer.forwardEvacuations(heartbeat.Sender)
		return
	}
	own := relayer.viewer.Current().Evacuations
	if !heartbeat.IsAnswer && own.IsNewerThan(heartbeat.Evacuations) && !own.SameDomains(heartbeat.Evacuations) {
		relayer.answer(heartbeat.Sender, minAnswerInterval, now)
	}
}

// forwardEvacuations announces this instance's evacuations to its failure domain if it is a
// leader and received them from another domain.
func (relayer *Relayer) forwardEvacuations(from Member) {
	if from.FailureDomain != relayer.self.FailureDomain && relayer.isLeader() {
		relayer.announceToDomain()
	}
}
