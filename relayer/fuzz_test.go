package relayer

import (
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(encode(Heartbeat{Sender: Member{Name: "lb-1"}, ServersRevision: 7, ServersDelta: &viewer.ServerDelta{Base: 1, Revision: 7, Removed: []string{"a"}}}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		var heartbeat Heartbeat
		if decode(content, &heartbeat) == nil && heartbeat.ServersDelta != nil {
			(&viewer.Servers{Revision: heartbeat.ServersDelta.Base}).Apply(heartbeat.ServersDelta)
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	plain := encodeSnapshot(snapshotRequest{}, Snapshot{Members: []Member{{Name: "lb-1"}}})
	f.Add(encode(snapshotEnvelope{Age: time.Second, Content: plain.content}))
	f.Add(encode(snapshotEnvelope{IsCompressed: true, Content: s2.Encode(nil, plain.content)}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		decodeSnapshot(content)
	})
}

func TestTooLongSnapshotIsRejected(t *testing.T) {
	content := encode(snapshotEnvelope{IsCompressed: true, Content: s2.Encode(nil, make([]byte, maxSnapshotSize+1))})
	_, _, err := decodeSnapshot(content)
	assert.ErrorContains(t, err, "too long")
}
