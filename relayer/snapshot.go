package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// packedLength is the length from which a snapshot is compressed; the views of
	// small fleets gain nothing by it.
	packedLength = 16 << 10 // bytes
	// maxSnapshot bounds what an instance unpacks: some 60,000 backend servers.
	maxSnapshot = 8 << 20 // bytes
)

// packet carries a Snapshot over the network.
type packet struct {
	Age     time.Duration `cbor:"age"`    // of the knowledge in the snapshot
	Packed  bool          `cbor:"packed"` // whether Content is compressed
	Content []byte        `cbor:"content"`
}

// packing is the last snapshot that was made ready to be sent: after a change all
// that lag ask for the same.
type packing struct {
	request  snapshotRequest
	content  []byte
	isPacked bool
}

// snapshotRequest is what a snapshot depends on.
type snapshotRequest struct {
	configuration, revision       uint64 // that the asker has
	ownConfiguration, ownRevision uint64
	members                       int
}

func pack(request snapshotRequest, snapshot Snapshot) *packing {
	packing := &packing{request: request, content: encode(snapshot)}
	if len(packing.content) >= packedLength {
		packing.content, packing.isPacked = s2.Encode(nil, packing.content), true
	}
	return packing
}

// unpack returns the snapshot in content and how old it is.
func unpack(content []byte) (Snapshot, time.Duration, error) {
	var packet packet
	var snapshot Snapshot
	if err := decode(content, &packet); err != nil {
		return snapshot, 0, err
	}
	if packet.Packed {
		length, err := s2.DecodedLen(packet.Content)
		if err != nil {
			return snapshot, 0, errors.Wrap(err, "unpack snapshot")
		}
		if length > maxSnapshot {
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
		snapshot, age, err = unpack(content)
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
	relayer.takeSnapshot(snapshot, age, from, startedAt)
}

func (relayer *Relayer) takeSnapshot(snapshot Snapshot, age time.Duration, from Member, at time.Time) {
	if snapshot.Configuration != nil {
		relayer.takeConfiguration(snapshot.Configuration, from.Name)
	}
	if snapshot.Servers != nil {
		relayer.takeServers(snapshot.Servers, from.Name)
		relayer.learned(Heartbeat{Sender: from, Age: age, IsAnswer: true}, at)
	}
	relayer.merge(snapshot.Members, at)
}

// Snapshot returns the view for another instance that has a version of the
// configuration and a revision of the servers.
func (relayer *Relayer) Snapshot(configuration, revision uint64) []byte {
	now := time.Now()
	relayer.mutex.Lock()
	view, last := relayer.viewer.Current(), relayer.packing
	request := snapshotRequest{configuration: configuration, revision: revision}
	if view.Configuration != nil {
		request.ownConfiguration = view.Configuration.Version
	}
	if view.Servers != nil {
		request.ownRevision = view.Servers.Revision
	}
	snapshot := Snapshot{ServersDelta: relayer.history.since(revision)}
	if revision == 0 {
		snapshot.Members = relayer.list() // the asker has just started
	}
	request.members = len(snapshot.Members)
	if delta := relayer.routeDelta; delta != nil && delta.Base == configuration {
		snapshot.RouteDelta = delta
	}
	age := relayer.turn.Age(now)
	relayer.mutex.Unlock()
	if last == nil || last.request != request {
		last = pack(request, snapshot.of(view, configuration))
		relayer.mutex.Lock()
		relayer.packing = last
		relayer.mutex.Unlock()
	}
	return encode(packet{Age: age, Packed: last.isPacked, Content: last.content})
}

// of completes a snapshot with what its delta does not say of the view.
func (snapshot Snapshot) of(view *viewer.View, configuration uint64) Snapshot {
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
