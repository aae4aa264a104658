package relayer

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"
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
