package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// read brings the view up to date with the store and tells the others. An
// instance that leads tells them also when it could not read, since one that
// has just started may know nothing.
func (relayer *Relayer) read(ctx context.Context) {
	startedAt := time.Now()
	starting := !relayer.viewer.Current().Complete()
	err := relayer.readChanges(ctx)
	relayer.reportSourceCall(ctx, "read", err)
	relayer.mutex.Lock()
	lead, list := relayer.schedule.isLeader, startedAt.Sub(relayer.membersReadAt) >= membersReadInterval
	if err == nil {
		relayer.schedule.RecordSuccess()
	} else {
		relayer.schedule.RecordFailure()
	}
	relayer.mutex.Unlock()
	if err == nil {
		relayer.markFresh(startedAt)
	}
	switch {
	case lead, err == nil && !starting:
		relayer.announceToDomainAndLeaders()
	case err == nil:
		relayer.announceToLeaders()
	}
	if err == nil && list {
		relayer.startUnlessRunning("members", func() { relayer.readMembers(ctx) })
	}
}

// readChanges reads the servers and the configuration unless the store's revision is known.
func (relayer *Relayer) readChanges(ctx context.Context) error {
	var known *viewer.Servers
	since := uint64(0)
	if view := relayer.viewer.Current(); view.Complete() {
		revision, err := relayer.source.Revision(ctx)
		if err != nil || view.Servers.Revision >= revision {
			return err
		}
		known, since = view.Servers, view.Servers.Revision
	}
	// The revision of the servers stands for the whole view, so the configuration
	// is read after them: it may be newer than the revision says, never older.
	servers, err := relayer.source.Servers(ctx, known)
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
	relayer.applyServers(servers, "store")
	return nil
}

func (relayer *Relayer) applyServers(servers *viewer.Servers, from string) {
	now := time.Now()
	relayer.startGracePeriod(now)
	before := relayer.viewer.Current().Servers
	if relayer.viewer.TakeServers(servers, now) {
		relayer.mutex.Lock()
		relayer.history.add(before, servers)
		relayer.mutex.Unlock()
		relayer.observer.ServersApplied(before, servers, from)
	}
}

// startGracePeriod keeps servers in use that the first lists after an outage of
// the store lack, because their entries lapsed meanwhile.
func (relayer *Relayer) startGracePeriod(now time.Time) {
	relayer.mutex.Lock()
	known, gap := !relayer.schedule.freshAt.IsZero(), relayer.schedule.Age(now)
	relayer.mutex.Unlock()
	if known && gap >= outageThreshold {
		relayer.viewer.Tolerate(now.Add(returnGracePeriod))
	}
}

// markFresh notes that what is known was true in the store at that time.
func (relayer *Relayer) markFresh(at time.Time) {
	relayer.startGracePeriod(at)
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.schedule.MarkFresh(at)
}

func (relayer *Relayer) applyConfiguration(configuration *viewer.Configuration, from string) {
	before := relayer.viewer.Current().Configuration
	if relayer.viewer.TakeConfiguration(configuration) {
		relayer.recordRouteDelta(before, configuration)
		relayer.observer.ConfigurationApplied(configuration.Version, from)
	}
}

// recordRouteDelta keeps what changed for instances that have the version before.
func (relayer *Relayer) recordRouteDelta(before, after *viewer.Configuration) {
	var delta *viewer.RouteDelta
	if before != nil {
		delta = viewer.RouteDifference(before, after)
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.routeDelta = delta
}

func (relayer *Relayer) reportSourceCall(ctx context.Context, call string, err error) {
	switch {
	case err == nil:
		relayer.observer.SourceCallSucceeded(call)
	case ctx.Err() == nil:
		relayer.observer.SourceCallFailed(call, err)
	}
}
