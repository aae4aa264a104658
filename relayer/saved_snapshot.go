package relayer

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/ticker"
	"github.com/pimentowind/pimentowind/viewer"
)

// The store holds one snapshot of the view, with the leaders of the failure domains, which
// starting instances load in place of all objects. Leaders save it after they have read a
// change. A starting instance serves by it at once, and announces itself to the leaders,
// whose answers confirm the view or lead to a newer one.

const (
	// saveInterval is the shortest time between two writes of the saved snapshot by one
	// instance.
	saveInterval = time.Second
	// saveBytesPerSecond limits the content that one instance writes while servers keep changing,
	// so that a long snapshot is written less often, up to maxSaveInterval. That is shorter than
	// the time that the history of deltas covers, which is historyLength reads.
	saveBytesPerSecond = 25_000
	maxSaveInterval    = 30 * time.Second
	// registrationTime is how long the seeds of a new fleet wait for the other instances to
	// register before they read the members and save the first snapshot.
	registrationTime = 700 * time.Millisecond
	// firstSnapshotWait is how long the other instances of a new fleet wait for the first
	// snapshot before they read all objects themselves.
	firstSnapshotWait = 1200 * time.Millisecond
	// savedMembersPerDomain is how many members of each failure domain the saved snapshot
	// names: the leaders, and one more that replaces either.
	savedMembersPerDomain = leadersPerDomain + 1
	// maxSavedSize limits the content of the saved snapshot; encoded as text it must fit an
	// object of the store, which has 1 MiB at most.
	maxSavedSize = 750 << 10 // bytes
)

// SavedSnapshot is the snapshot that the store holds for starting instances.
type SavedSnapshot struct {
	ConfigurationVersion uint64
	ServersRevision      viewer.Revision
	EvacuatedDomains     []string
	Content              []byte          // as Relayer.Snapshot returns it
	ObjectRevision       viewer.Revision // of the object that holds it; zero if there is none yet
}

// savedState is what a relayer knows of the saved snapshot.
type savedState struct {
	objectRevision viewer.Revision // of the last object that was read or written; zero if there was none
	version        uint64          // of the configuration in it
	digest         uint64          // of the servers, the members and the evacuated failure domains in it
	savedAt        time.Time
	size           int    // of the content of the last one that was read or written
	evacuated      uint64 // hash of the evacuated failure domains in the last one that was written
	missing        bool   // there was none when this instance started
}

// readFirst gives a starting instance its first view: the saved snapshot if there is one,
// and otherwise what it reads of the store itself. A leader also reads the store, since the
// others rely on it; a seed of a new fleet saves the first snapshot.
func (relayer *Relayer) readFirst(ctx context.Context) {
	found, err := relayer.loadSnapshot(ctx)
	isSeed := relayer.isSeed()
	if err == nil && !found && !isSeed {
		relayer.mutex.Lock()
		relayer.saved.missing = true
		relayer.mutex.Unlock()
		ticker.Sleep(ctx, firstSnapshotWait)
		found, err = relayer.loadSnapshot(ctx)
	}
	relayer.reportSourceCall(ctx, "snapshot", err)
	relayer.mutex.Lock()
	relayer.triedSnapshot = err == nil
	relayer.saved.missing = err == nil && !found
	if err != nil {
		relayer.schedule.RecordFailure()
	}
	isLeader := relayer.schedule.isLeader
	relayer.mutex.Unlock()
	if found {
		relayer.announceToLeaders() // their answers are faster than a slow store
	}
	switch {
	case err != nil && isLeader:
		relayer.announceToDomainAndLeaders() // others that start may have no view yet
	case err != nil, found && !isLeader: // peers complete the view
	case !found && isSeed:
		relayer.read(ctx)
		ticker.Sleep(ctx, registrationTime)
		relayer.readMembers(ctx)
		relayer.saveSnapshot(ctx)
	default:
		relayer.read(ctx)
	}
}

// awaitsFirstSnapshot reports whether this instance belongs to a new fleet whose seeds are
// still about to save the first snapshot.
func (relayer *Relayer) awaitsFirstSnapshot(now time.Time) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.saved.missing && now.Sub(relayer.startedAt) < 2*firstSnapshotWait
}

// isSeed reports whether this instance is one of the seeds.
func (relayer *Relayer) isSeed() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, seed := range relayer.seeds {
		if seed == relayer.self.ControlAddress {
			return true
		}
	}
	return false
}

// loadSnapshot applies the saved snapshot and reports whether there is a valid one. The view
// does not count as fresh, since the time of the snapshot is unknown.
func (relayer *Relayer) loadSnapshot(ctx context.Context) (bool, error) {
	saved, err := relayer.source.SavedSnapshot(ctx)
	if err != nil || saved.ObjectRevision.IsZero() {
		return false, err
	}
	relayer.mutex.Lock()
	relayer.saved.objectRevision, relayer.saved.size = saved.ObjectRevision, len(saved.Content)
	relayer.mutex.Unlock()
	snapshot, err := saved.decode()
	if err != nil {
		relayer.observer.FetchFailed("saved snapshot", err)
		return false, nil
	}
	relayer.recordSavedCounts(snapshot.InstanceCounts)
	relayer.addMembers(snapshot.Members, time.Now())
	relayer.applyEvacuations(snapshot.Evacuations, "saved snapshot")
	relayer.applyConfiguration(snapshot.Configuration, "saved snapshot")
	relayer.viewer.AdoptRemovals(snapshot.Removals, time.Now())
	relayer.applyServers(snapshot.Servers, "saved snapshot")
	relayer.recordSaved(saved.ObjectRevision, snapshot.Configuration.Version, savedDigest(snapshot.Servers.Digest(), snapshot))
	return true, nil
}

// decode returns the snapshot, or an error if it is not complete or its revision is not one
// that the store had when it was saved.
func (savedSnapshot *SavedSnapshot) decode() (Snapshot, error) {
	snapshot, _, err := decodeSnapshot(savedSnapshot.Content)
	switch {
	case err != nil:
		return Snapshot{}, err
	case snapshot.Configuration == nil || snapshot.Servers == nil:
		return Snapshot{}, errors.New("saved snapshot has no configuration or no servers")
	case !savedSnapshot.follows(snapshot.Servers.At()):
		return Snapshot{}, errors.Errorf("saved snapshot of revision %v was written at revision %v", snapshot.Servers.At(), savedSnapshot.ObjectRevision)
	case snapshot.Evacuations != nil && !savedSnapshot.follows(snapshot.Evacuations.At()):
		return Snapshot{}, errors.Errorf("saved snapshot with evacuations of revision %v was written at revision %v", snapshot.Evacuations.At(), savedSnapshot.ObjectRevision)
	}
	return snapshot, nil
}

// follows reports whether the snapshot can have been saved after a revision was read. One that
// states no era was saved by an older program and is taken to be of the same era.
func (savedSnapshot *SavedSnapshot) follows(revision viewer.Revision) bool {
	if revision.Era == 0 {
		return savedSnapshot.ObjectRevision.Number > revision.Number
	}
	return savedSnapshot.ObjectRevision.IsNewerThan(revision)
}

// recordSaved notes what the saved snapshot holds.
func (relayer *Relayer) recordSaved(objectRevision viewer.Revision, version, digest uint64) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.saved.objectRevision, relayer.saved.version, relayer.saved.digest = objectRevision, version, digest
}

// saveSnapshot writes the view into the store if the saved snapshot is older and this
// instance is to keep it up to date. The write fails if another instance has written since.
func (relayer *Relayer) saveSnapshot(ctx context.Context) {
	now, view := time.Now(), relayer.viewer.Current()
	relayer.mutex.Lock()
	if relayer.saved.objectRevision.Era < view.Servers.At().Era { // the object may be lost, or an older one
		relayer.saved.objectRevision = viewer.Revision{}
	}
	before := relayer.saved
	evacuated := evacuationsHash(view.Evacuations)
	due := relayer.hasReadMembers && (relayer.schedule.isLeader || before.missing) && now.Sub(before.savedAt) >= before.interval(evacuated)
	if !due || !view.Complete() {
		relayer.mutex.Unlock()
		return
	}
	snapshot := Snapshot{
		Configuration: view.Configuration, Servers: view.Servers, Removals: view.Removals(now),
		Members: relayer.savedMembers(), Evacuations: view.Evacuations, InstanceCounts: relayer.countByDomain(),
	}
	digest := savedDigest(relayer.cachedDigest(view.Servers), snapshot)
	if !before.objectRevision.IsZero() && before.version == view.Configuration.Version && before.digest == digest {
		relayer.mutex.Unlock()
		return
	}
	relayer.saved.savedAt = now
	relayer.mutex.Unlock()
	encoded := encodeSnapshot(snapshotRequest{}, snapshot)
	if len(encoded.content) > maxSavedSize {
		relayer.observer.SourceCallFailed("save", errors.Errorf("snapshot of %d bytes is too long, instances that start read all objects", len(encoded.content)))
		return
	}
	saved, err := relayer.source.SaveSnapshot(ctx, SavedSnapshot{
		ConfigurationVersion: view.Configuration.Version,
		ServersRevision:      view.Servers.At(),
		EvacuatedDomains:     view.Evacuations.List(),
		Content:              encode(snapshotEnvelope{IsCompressed: encoded.isCompressed, Content: encoded.content}),
		ObjectRevision:       before.objectRevision,
	})
	relayer.reportSourceCall(ctx, "save", err)
	if err != nil {
		return
	}
	relayer.skipRevision(saved.ObjectRevision)
	isOlder := saved.ConfigurationVersion < view.Configuration.Version || view.Servers.At().IsNewerThan(saved.ServersRevision)
	if isOlder || !slices.Equal(saved.EvacuatedDomains, view.Evacuations.List()) {
		relayer.recordSaved(saved.ObjectRevision, 0, 0) // another instance's view, to be replaced next time
		return
	}
	relayer.recordSaved(saved.ObjectRevision, view.Configuration.Version, digest)
	relayer.recordWritten(len(encoded.content), evacuated)
}

// interval returns the shortest time until the next write. The evacuated failure domains, of which
// this is the hash, do not wait for a long snapshot if they have changed.
func (savedState *savedState) interval(evacuated uint64) time.Duration {
	if evacuated != savedState.evacuated {
		return saveInterval
	}
	writing := time.Duration(savedState.size) * time.Second / saveBytesPerSecond
	return min(max(writing, saveInterval), maxSaveInterval)
}

// evacuationsHash returns a hash of the evacuated failure domains.
func evacuationsHash(evacuations *viewer.Evacuations) uint64 {
	return xxhash.Sum64String(strings.Join(evacuations.List(), "\n"))
}

// recordWritten notes the length of the snapshot that this instance has saved, and the hash of
// the evacuated failure domains in it.
func (relayer *Relayer) recordWritten(size int, evacuated uint64) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.saved.size, relayer.saved.evacuated = size, evacuated
}

// savedDigest returns a hash of the digest of the servers, the names of the members and the
// evacuated failure domains.
func savedDigest(serversDigest uint64, snapshot Snapshot) uint64 {
	digest := xxhash.New()
	digest.Write(binary.LittleEndian.AppendUint64(nil, serversDigest))
	for _, member := range snapshot.Members {
		digest.WriteString(member.Name + "\n")
	}
	for _, domain := range snapshot.Evacuations.List() {
		digest.WriteString("evacuated " + domain + "\n")
	}
	return digest.Sum64()
}

// skipRevision notes that a revision of the store is a write of this instance. If it directly
// follows the newest one that was read, there is nothing else to read up to it.
func (relayer *Relayer) skipRevision(revision viewer.Revision) {
	known := relayer.knownRevision()
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if revision.Era == known.Era && revision.Number == known.Number+1 {
		relayer.skippedRevision = revision
	}
}

// savedMembers returns the members that the saved snapshot names. The mutex must be held.
func (relayer *Relayer) savedMembers() []Member {
	sorted, positions := rankMembers(relayer.allMembers())
	var members []Member
	for _, member := range sorted {
		if positions[member.Name] < savedMembersPerDomain {
			members = append(members, member)
		}
	}
	return members
}
