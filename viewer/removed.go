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

// maxSharedRemovals is how many removed servers an instance tells others of, the newest.
const maxSharedRemovals = 200

// Removal tells another instance of a server that was removed from the list a time ago.
type Removal struct {
	Server BackendServer `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Removals returns what to tell an instance that has not seen the lists before: the servers that were
// removed within maxFlowAge and may live, as an entry also expires while its server lives.
func (view *View) Removals(now time.Time) []Removal {
	var removals []Removal
	for _, removed := range view.missing {
		if age := now.Sub(removed.RemovedAt); age < maxFlowAge {
			removals = append(removals, Removal{Server: *removed.Server, Age: max(age, 0)})
		}
	}
	return removals[max(len(removals)-maxSharedRemovals, 0):]
}

// AdoptRemovals makes servers that another instance has seen removed found by their tokens here too.
// Their absence never means that they have ended, as this instance does not know what it followed from.
func (viewer *Viewer) AdoptRemovals(removals []Removal, now time.Time) {
	viewer.mutex.Lock()
	defer viewer.mutex.Unlock()
	view := viewer.Current()
	known := map[string]bool{}
	for _, removed := range viewer.removed {
		known[removed.Server.Name] = true
	}
	isChanged := false
	for i := range removals {
		server := &removals[i].Server
		if known[server.Name] || view.EntryOf(server) != nil || removals[i].Age >= maxFlowAge {
			continue
		}
		viewer.removed = append(viewer.removed, RemovedServer{Server: server, RemovedAt: now.Add(-removals[i].Age)})
		isChanged = true
	}
	if isChanged {
		viewer.publish(view.Configuration, view.Servers, view.Evacuations)
	}
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
