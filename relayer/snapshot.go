package relayer

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// compressionThreshold is the size from which a snapshot is compressed. The
	// snapshots of small fleets gain nothing by compression.
	compressionThreshold = 16 << 10 // bytes
	// maxSnapshotSize limits a snapshot after decompression; it is enough for some 60,000
	// backend servers.
	maxSnapshotSize = 8 << 20 // bytes
)

// snapshotEnvelope is the message that carries an encoded Snapshot.
type snapshotEnvelope struct {
	Age          time.Duration `cbor:"age"`            // of the view in the snapshot
	StoreRead    uint64        `cbor:"read,omitempty"` // identifies the read of the store from which Age counts; 0 if unknown
	IsCompressed bool          `cbor:"packed"`         // whether Content is compressed with S2
	Content      []byte        `cbor:"content"`
}

// cachedSnapshot is the last snapshot that was encoded. It is kept because after a change
// many instances request the same one.
type cachedSnapshot struct {
	request      snapshotRequest
	content      []byte
	isCompressed bool
}

// snapshotRequest holds all that the content of a snapshot depends on; it is the key of the
// cached snapshot.
type snapshotRequest struct {
	version, ownVersion   uint64          // of the requester's and this instance's configuration
	revision, ownRevision viewer.Revision // of the requester's and this instance's servers
	evacuationsRevision   viewer.Revision // of this instance's evacuations
	memberCount           int             // in the snapshot; 0 unless the requester has just started
}

// encodeSnapshot encodes a snapshot, and compresses it if it is large.
func encodeSnapshot(request snapshotRequest, snapshot Snapshot) *cachedSnapshot {
	cached := &cachedSnapshot{request: request, content: encode(snapshot)}
	if len(cached.content) >= compressionThreshold {
		cached.content, cached.isCompressed = s2.Encode(nil, cached.content), true
	}
	return cached
}

// decodeSnapshot decodes an envelope, and returns it with the snapshot in it.
func decodeSnapshot(content []byte) (Snapshot, snapshotEnvelope, error) {
	var envelope snapshotEnvelope
	var snapshot Snapshot
	if err := decode(content, &envelope); err != nil {
		return snapshot, envelope, err
	}
	if envelope.IsCompressed {
		length, err := s2.DecodedLen(envelope.Content)
		if err != nil {
			return snapshot, envelope, errors.Wrap(err, "decompress snapshot")
		}
		if length > maxSnapshotSize {
			return snapshot, envelope, errors.Errorf("decompressed snapshot of %d bytes is too long", length)
		}
		if envelope.Content, err = s2.Decode(nil, envelope.Content); err != nil {
			return snapshot, envelope, errors.Wrap(err, "decompress snapshot")
		}
	}
	if envelope.Age < 0 {
		return snapshot, envelope, errors.Errorf("snapshot has age %s", envelope.Age)
	}
	if err := decode(envelope.Content, &snapshot); err != nil {
		return snapshot, envelope, err
	}
	return snapshot, envelope, snapshot.check()
}

// check returns an error if a part of the snapshot has an impossible value.
func (snapshot *Snapshot) check() error {
	for i := range snapshot.Members {
		if err := snapshot.Members[i].check(); err != nil {
			return err
		}
	}
	return cmp.Or(
		snapshot.Configuration.Check(), snapshot.RouteDelta.Check(),
		snapshot.Servers.Check(), snapshot.ServersDelta.Check(), viewer.CheckRemovals(snapshot.Removals),
		checkEvacuations(snapshot.Evacuations),
	)
}

// fetchAnnounced fetches the snapshot that an announcement or an answer tells of, from the relay
// that passed it on if it has the view, and from its sender otherwise. Announcements that this
// instance has to pass on wait for it.
func (relayer *Relayer) fetchAnnounced(ctx context.Context, heartbeat Heartbeat) {
	defer func() { relayer.passOnWaiting(time.Now()) }()
	if heartbeat.Relay != nil && heartbeat.Relay.IsValid() {
		relay := Member{Name: heartbeat.Relay.String(), FailureDomain: relayer.self.FailureDomain, ControlAddress: *heartbeat.Relay}
		relayer.fetch(ctx, relay)
		if relayer.isCurrent(heartbeat) {
			return
		}
	}
	relayer.fetch(ctx, heartbeat.Sender)
}

// fetch requests a snapshot from another instance and applies what is newer in it.
func (relayer *Relayer) fetch(ctx context.Context, from Member) {
	version := uint64(0)
	view := relayer.viewer.Current()
	if view.Configuration != nil {
		version = view.Configuration.Version
	}
	startedAt := time.Now()
	content, err := relayer.network.Fetch(ctx, from.ControlAddress, version, view.Servers.At())
	var snapshot Snapshot
	var envelope snapshotEnvelope
	if err == nil {
		snapshot, envelope, err = decodeSnapshot(content)
	}
	if err != nil {
		relayer.observer.FetchFailed(from.Name, err)
		return
	}
	if snapshot.ServersDelta != nil && view.Servers != nil {
		snapshot.Servers = view.Servers.Apply(snapshot.ServersDelta)
	}
	if snapshot.RouteDelta != nil && view.Configuration != nil {
		snapshot.Configuration = view.Configuration.Apply(snapshot.RouteDelta)
	}
	relayer.applySnapshot(snapshot, envelope, from, startedAt)
}

// applySnapshot applies a snapshot that was requested at a time.
func (relayer *Relayer) applySnapshot(snapshot Snapshot, envelope snapshotEnvelope, from Member, at time.Time) {
	relayer.addMembers(snapshot.Members, at) // first, as a leader announces a fresher view to them
	if relayer.applyEvacuations(snapshot.Evacuations, from.Name) {
		relayer.forwardEvacuations(from)
	}
	if snapshot.Configuration != nil {
		relayer.applyConfiguration(snapshot.Configuration, from.Name)
	}
	if snapshot.Servers != nil {
		relayer.viewer.AdoptRemovals(snapshot.Removals, at)
		relayer.applyServers(snapshot.Servers, from.Name)
		relayer.confirmFreshness(Heartbeat{Sender: from, Age: envelope.Age, StoreRead: envelope.StoreRead, IsAnswer: true}, at)
	}
}

// Snapshot returns an encoded snapshot for another instance that has this version of the
// configuration and this revision of the servers, zero for none.
func (relayer *Relayer) Snapshot(version uint64, revision viewer.Revision) []byte {
	now := time.Now()
	relayer.mutex.Lock()
	view, cached := relayer.viewer.Current(), relayer.cachedSnapshot
	request := snapshotRequest{version: version, revision: revision, ownRevision: view.Servers.At(), evacuationsRevision: view.Evacuations.At()}
	if view.Configuration != nil {
		request.ownVersion = view.Configuration.Version
	}
	snapshot := Snapshot{Evacuations: view.Evacuations}
	deltas := relayer.history.after(revision)
	if revision.IsZero() {
		snapshot.Members = relayer.activeMembers() // the requester has just started
	}
	request.memberCount = len(snapshot.Members)
	if delta := relayer.routeDelta; delta != nil && delta.Base == version {
		snapshot.RouteDelta = delta
	}
	envelope := snapshotEnvelope{Age: relayer.schedule.Age(now), StoreRead: relayer.schedule.freshRead}
	relayer.mutex.Unlock()
	if cached == nil || cached.request != request {
		if view.Servers != nil {
			snapshot.ServersDelta = viewer.ComposeDeltas(deltas, len(view.Servers.List))
		}
		snapshot = snapshot.complete(view, version)
		if snapshot.Servers != nil {
			snapshot.Removals = view.Removals(now)
		}
		cached = encodeSnapshot(request, snapshot)
		relayer.mutex.Lock()
		relayer.cachedSnapshot = cached
		relayer.mutex.Unlock()
	}
	envelope.IsCompressed, envelope.Content = cached.isCompressed, cached.content
	return encode(envelope)
}

// complete replaces each delta in the snapshot that does not lead to the view by the full
// list of servers or the full configuration. The requester has this version of the
// configuration.
func (snapshot Snapshot) complete(view *viewer.View, version uint64) Snapshot {
	if view.Servers != nil && (snapshot.ServersDelta == nil || snapshot.ServersDelta.At() != view.Servers.At()) {
		snapshot.ServersDelta, snapshot.Servers = nil, view.Servers
	}
	requesterIsCurrent := view.Configuration == nil || view.Configuration.Version <= version
	if requesterIsCurrent || (snapshot.RouteDelta != nil && snapshot.RouteDelta.Version == view.Configuration.Version) {
		return snapshot
	}
	snapshot.RouteDelta, snapshot.Configuration = nil, view.Configuration
	return snapshot
}
