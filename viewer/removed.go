package viewer

import (
	"slices"
	"time"
)

const (
	// doubtfulShare is the part of the list above which servers that are removed within
	// doubtPeriod have more likely lost the store than ended.
	doubtfulShare = 0.5
	// doubtPeriod is how long servers have to rewrite their entries after the store lost
	// them; they do so about every second.
	doubtPeriod = 2500 * time.Millisecond
)

// RemovedServer is a backend server that the newest list lacks.
type RemovedServer struct {
	Server    *BackendServer
	RemovedAt time.Time // when a list without it was applied
	GoneAt    time.Time // from when on its absence means that it has ended; zero if it never does
}

// DoubtMissingUntil keeps servers that a list lacks from counting as gone before a time,
// because their entries may have expired while they were alive. An earlier time than the
// current one has no effect.
func (viewer *Viewer) DoubtMissingUntil(until time.Time) {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	if until.After(viewer.doubtUntil) {
		viewer.doubtUntil = until
	}
}

// rememberRemoved adds the servers that the new list lacks to those removed, and
// drops those removed at least maxFlowAge ago.
func (viewer *Viewer) rememberRemoved(before, after *Servers, now time.Time) {
	recent := viewer.removed[:0:0]
	removedLately := 0
	listed := serversByName(before)
	for _, removed := range viewer.removed {
		if now.Sub(removed.RemovedAt) < maxFlowAge && listed[removed.Server.Name] == nil { // otherwise it has come back since
			recent = append(recent, removed)
		}
		if now.Sub(removed.RemovedAt) < doubtPeriod {
			removedLately++
		}
	}
	present := serversByName(after)
	var missing []*BackendServer
	for i := range before.List {
		if server := &before.List[i]; present[server.Name] == nil {
			missing = append(missing, server)
		}
	}
	if float64(removedLately+len(missing)) > doubtfulShare*float64(len(before.List)+removedLately) {
		viewer.doubtUntil = latest(viewer.doubtUntil, now.Add(doubtPeriod))
	}
	goneAt := latest(now, viewer.retainUntil, viewer.doubtUntil)
	for i := range recent {
		if removed := &recent[i]; !removed.GoneAt.IsZero() && now.Sub(removed.RemovedAt) < doubtPeriod {
			removed.GoneAt = latest(removed.GoneAt, viewer.doubtUntil)
		}
	}
	for _, server := range missing {
		removed := RemovedServer{Server: server, RemovedAt: now, GoneAt: goneAt}
		if slices.Contains(after.Unreadable, server.Name) {
			removed.GoneAt = time.Time{}
		}
		recent = append(recent, removed)
	}
	viewer.removed = recent
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
