package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/viewer"
)

// readOrStart loads the saved snapshot if this instance has just started, and reads the
// store otherwise.
func (relayer *Relayer) readOrStart(ctx context.Context) {
	relayer.mutex.Lock()
	starting := !relayer.triedSnapshot
	relayer.mutex.Unlock()
	if starting && !relayer.viewer.Current().Complete() {
		relayer.readFirst(ctx)
		return
	}
	relayer.read(ctx)
}

// read brings the view up to date with the store and announces it to the other
// instances. A leader announces its view also when the read failed, since an instance
// that has just started may have none.
func (relayer *Relayer) read(ctx context.Context) {
	startedAt := time.Now()
	starting := !relayer.viewer.Current().Complete()
	err := relayer.readChanges(ctx)
	relayer.reportSourceCall(ctx, "read", err)
	relayer.mutex.Lock()
	isLeader := relayer.schedule.isLeader
	membersDue := !relayer.hasReadMembers || startedAt.Sub(relayer.membersReadAt) >= membersReadInterval
	if err == nil {
		relayer.schedule.RecordSuccess()
	} else {
		relayer.schedule.RecordFailure()
	}
	relayer.mutex.Unlock()
	if err == nil {
		relayer.markFresh(relayer.newStoreRead(), startedAt)
	}
	switch {
	case isLeader, err == nil && !starting:
		relayer.announceToDomainAndLeaders()
	case err == nil:
		relayer.announceToLeaders()
	}
	if err != nil {
		return
	}
	if membersDue {
		relayer.startUnlessRunning("members", func() { relayer.readMembers(ctx) })
	}
	relayer.saveSnapshot(ctx)
}

// readChanges reads the evacuations, the servers and the configuration from the store and
// applies them. The first call also gives the store's revision: if the rest of a complete
// view is as new, it is not read again. Other evacuations than before are announced at once,
// since the rest may take long.
func (relayer *Relayer) readChanges(ctx context.Context) error {
	var base *viewer.Servers
	since := viewer.Revision{}
	revision, evacuated, err := relayer.readEvacuations(ctx)
	if err != nil {
		return err
	}
	if view := relayer.viewer.Current(); view.Complete() {
		if evacuated {
			relayer.announceToDomainAndLeaders()
		}
		if revision.Era < view.Servers.Era {
			return errors.Errorf("store is in era %d, and was in era %d before", revision.Era, view.Servers.Era)
		}
		if !revision.IsNewerThan(relayer.knownRevision()) {
			return nil
		}
		base, since = view.Servers, view.Servers.At()
	}
	// The revision of the servers serves as the revision of the whole view, so the
	// configuration is read after them: it may be newer than that revision, but never
	// older.
	servers, err := relayer.source.Servers(ctx, base)
	if err != nil {
		return err
	}
	configuration, err := relayer.source.Configuration(ctx, since)
	if err != nil {
		return err
	}
	if configuration != nil {
		relayer.applyConfiguration(configuration, "store")
	}
	relayer.applyServers(relayer.continueWarmUps(servers), "store")
	return nil
}

// knownRevision returns the revision of the store up to which there is nothing to read.
func (relayer *Relayer) knownRevision() viewer.Revision {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	revision := relayer.viewer.Current().Servers.At()
	if relayer.skippedRevision.IsNewerThan(revision) {
		return relayer.skippedRevision
	}
	return revision
}

// applyServers applies a list of servers from the store or an instance unless a newer one has
// been applied.
func (relayer *Relayer) applyServers(servers *viewer.Servers, from string) {
	now := time.Now()
	before := relayer.viewer.Current().Servers
	relayer.recordEra(servers.At(), now)
	relayer.startGracePeriod(now)
	if before != nil && servers.Era > before.Era { // the copy lacks servers that started after it was made
		relayer.viewer.RetainMissingUntil(now.Add(returnGracePeriod))
	}
	if relayer.viewer.ApplyServers(servers, now) {
		relayer.mutex.Lock()
		relayer.history.add(before, servers)
		relayer.mutex.Unlock()
		relayer.observer.ServersApplied(before, servers, from)
	}
}

// startGracePeriod is called before the view is refreshed. If the store was unavailable, it
// keeps servers in use for returnGracePeriod although the new lists lack them,
// because their entries in the store expired during the outage.
func (relayer *Relayer) startGracePeriod(now time.Time) {
	relayer.mutex.Lock()
	everFresh, age := !relayer.schedule.freshAt.IsZero(), relayer.schedule.Age(now)
	relayer.mutex.Unlock()
	switch {
	case !everFresh: // the store may have been unavailable before this instance started
		relayer.viewer.DoubtMissingUntil(now.Add(returnGracePeriod))
	case age >= outageThreshold:
		relayer.viewer.RetainMissingUntil(now.Add(returnGracePeriod))
	}
}

// applyConfiguration applies a configuration from the store or an instance unless a newer one
// has been applied.
func (relayer *Relayer) applyConfiguration(configuration *viewer.Configuration, from string) {
	before := relayer.viewer.Current().Configuration
	if relayer.viewer.ApplyConfiguration(configuration) {
		relayer.recordRouteDelta(before, configuration)
		relayer.observer.ConfigurationApplied(configuration.Version, from)
	}
}

// recordRouteDelta keeps the delta between two configurations for instances that still have
// the older one.
func (relayer *Relayer) recordRouteDelta(before, after *viewer.Configuration) {
	var delta *viewer.RouteDelta
	if before != nil {
		delta = viewer.DiffRoutes(before, after)
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.routeDelta = delta
}

// reportSourceCall notifies the observer of the outcome of a call of the store. A call that
// failed because ctx ended is not reported.
func (relayer *Relayer) reportSourceCall(ctx context.Context, call string, err error) {
	switch {
	case err == nil:
		relayer.observer.SourceCallSucceeded(call)
	case ctx.Err() == nil:
		relayer.observer.SourceCallFailed(call, err)
	}
}
