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
	relayer.reached(ctx, "read", err)
	relayer.mutex.Lock()
	lead, list := relayer.turn.lead, startedAt.Sub(relayer.listedAt) >= directoryInterval
	if err == nil {
		relayer.turn.RecordSuccess()
	} else {
		relayer.turn.RecordFailure()
	}
	relayer.mutex.Unlock()
	if err == nil {
		relayer.fresh(startedAt)
	}
	switch {
	case lead, err == nil && !starting:
		relayer.tellAll()
	case err == nil:
		relayer.tellLeads()
	}
	if err == nil && list {
		relayer.once("members", func() { relayer.readMembers(ctx) })
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
		relayer.takeConfiguration(configuration, "store")
	}
	relayer.takeServers(servers, "store")
	return nil
}

func (relayer *Relayer) takeServers(servers *viewer.Servers, from string) {
	now := time.Now()
	relayer.tolerateLapses(now)
	before := relayer.viewer.Current().Servers
	if relayer.viewer.TakeServers(servers, now) {
		relayer.mutex.Lock()
		relayer.history.add(before, servers)
		relayer.mutex.Unlock()
		relayer.observer.ServersApplied(before, servers, from)
	}
}

// tolerateLapses keeps servers in use that the first lists after an outage of
// the store lack, because their entries lapsed meanwhile.
func (relayer *Relayer) tolerateLapses(now time.Time) {
	relayer.mutex.Lock()
	known, gap := !relayer.turn.freshAt.IsZero(), relayer.turn.Age(now)
	relayer.mutex.Unlock()
	if known && gap >= outageGap {
		relayer.viewer.Tolerate(now.Add(returnTime))
	}
}

// fresh notes that what is known was true in the store at that time.
func (relayer *Relayer) fresh(at time.Time) {
	relayer.tolerateLapses(at)
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.turn.MarkFresh(at)
}

func (relayer *Relayer) takeConfiguration(configuration *viewer.Configuration, from string) {
	before := relayer.viewer.Current().Configuration
	if relayer.viewer.TakeConfiguration(configuration) {
		relayer.keepRouteDelta(before, configuration)
		relayer.observer.ConfigurationApplied(configuration.Version, from)
	}
}

// keepRouteDelta keeps what changed for instances that have the version before.
func (relayer *Relayer) keepRouteDelta(before, after *viewer.Configuration) {
	var delta *viewer.RouteDelta
	if before != nil {
		delta = viewer.RouteDifference(before, after)
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.routeDelta = delta
}

func (relayer *Relayer) reached(ctx context.Context, call string, err error) {
	switch {
	case err == nil:
		relayer.observer.SourceCallSucceeded(call)
	case ctx.Err() == nil:
		relayer.observer.SourceCallFailed(call, err)
	}
}
