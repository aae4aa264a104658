package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// compressionThreshold is the length from which a snapshot is compressed; the views of
	// small fleets gain nothing by it.
	compressionThreshold = 16 << 10 // bytes
	// maxSnapshotSize bounds what an instance unpacks: some 60,000 backend servers.
	maxSnapshotSize = 8 << 20 // bytes
)

// snapshotEnvelope carries a Snapshot over the network.
type snapshotEnvelope struct {
	Age          time.Duration `cbor:"age"`    // of the knowledge in the snapshot
	IsCompressed bool          `cbor:"packed"` // whether Content is compressed
	Content      []byte        `cbor:"content"`
}

// cachedSnapshot is the last snapshot that was made ready to be sent: after a change all
// that lag ask for the same.
type cachedSnapshot struct {
	request      snapshotRequest
	content      []byte
	isCompressed bool
}

// snapshotRequest is what a snapshot depends on.
type snapshotRequest struct {
	configuration, revision       uint64 // that the asker has
	ownConfiguration, ownRevision uint64
	memberCount                   int
}

func encodeSnapshot(request snapshotRequest, snapshot Snapshot) *cachedSnapshot {
	packing := &cachedSnapshot{request: request, content: encode(snapshot)}
	if len(packing.content) >= compressionThreshold {
		packing.content, packing.isCompressed = s2.Encode(nil, packing.content), true
	}
	return packing
}

// decodeSnapshot returns the snapshot in content and how old it is.
func decodeSnapshot(content []byte) (Snapshot, time.Duration, error) {
	var packet snapshotEnvelope
	var snapshot Snapshot
	if err := decode(content, &packet); err != nil {
		return snapshot, 0, err
	}
	if packet.IsCompressed {
		length, err := s2.DecodedLen(packet.Content)
		if err != nil {
			return snapshot, 0, errors.Wrap(err, "unpack snapshot")
		}
		if length > maxSnapshotSize {
			return snapshot, 0, errors.Errorf("snapshot of %d bytes is too long", length)
		}
		if packet.Content, err = s2.Decode(nil, packet.Content); err != nil {
			return snapshot, 0, errors.Wrap(err, "unpack snapshot")
		}
	}
	err := decode(packet.Content, &snapshot)
	return snapshot, packet.Age, err
}

// fetch takes the view of another instance, as far as it is newer.
func (relayer *Relayer) fetch(ctx context.Context, from Member) {
	var version, revision uint64
	view := relayer.viewer.Current()
	if view.Configuration != nil {
		version = view.Configuration.Version
	}
	if view.Servers != nil {
		revision = view.Servers.Revision
	}
	startedAt := time.Now()
	content, err := relayer.network.Fetch(ctx, from.ControlAddress, version, revision)
	var snapshot Snapshot
	var age time.Duration
	if err == nil {
		snapshot, age, err = decodeSnapshot(content)
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
	relayer.applySnapshot(snapshot, age, from, startedAt)
}

func (relayer *Relayer) applySnapshot(snapshot Snapshot, age time.Duration, from Member, at time.Time) {
	if snapshot.Configuration != nil {
		relayer.applyConfiguration(snapshot.Configuration, from.Name)
	}
	if snapshot.Servers != nil {
		relayer.applyServers(snapshot.Servers, from.Name)
		relayer.confirmFreshness(Heartbeat{Sender: from, Age: age, IsAnswer: true}, at)
	}
	relayer.addMembers(snapshot.Members, at)
}

// Snapshot returns the view for another instance that has a version of the
// configuration and a revision of the servers.
func (relayer *Relayer) Snapshot(configuration, revision uint64) []byte {
	now := time.Now()
	relayer.mutex.Lock()
	view, last := relayer.viewer.Current(), relayer.cachedSnapshot
	request := snapshotRequest{configuration: configuration, revision: revision}
	if view.Configuration != nil {
		request.ownConfiguration = view.Configuration.Version
	}
	if view.Servers != nil {
		request.ownRevision = view.Servers.Revision
	}
	snapshot := Snapshot{ServersDelta: relayer.history.since(revision)}
	if revision == 0 {
		snapshot.Members = relayer.activeMembers() // the asker has just started
	}
	request.memberCount = len(snapshot.Members)
	if delta := relayer.routeDelta; delta != nil && delta.Base == configuration {
		snapshot.RouteDelta = delta
	}
	age := relayer.schedule.Age(now)
	relayer.mutex.Unlock()
	if last == nil || last.request != request {
		last = encodeSnapshot(request, snapshot.complete(view, configuration))
		relayer.mutex.Lock()
		relayer.cachedSnapshot = last
		relayer.mutex.Unlock()
	}
	return encode(snapshotEnvelope{Age: age, IsCompressed: last.isCompressed, Content: last.content})
}

// complete completes a snapshot with what its delta does not say of the view.
func (snapshot Snapshot) complete(view *viewer.View, configuration uint64) Snapshot {
	if view.Servers != nil && (snapshot.ServersDelta == nil || snapshot.ServersDelta.Revision != view.Servers.Revision) {
		snapshot.ServersDelta, snapshot.Servers = nil, view.Servers
	}
	known := view.Configuration == nil || view.Configuration.Version <= configuration
	if known || (snapshot.RouteDelta != nil && snapshot.RouteDelta.Version == view.Configuration.Version) {
		return snapshot
	}
	snapshot.RouteDelta, snapshot.Configuration = nil, view.Configuration
	return snapshot
}
