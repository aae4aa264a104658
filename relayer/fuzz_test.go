package relayer

import (
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(encode(Heartbeat{Sender: Member{Name: "lb-1"}, ServersRevision: 7, ServersDelta: &viewer.Delta{Base: 1, Revision: 7, Gone: []string{"a"}}}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		var heartbeat Heartbeat
		if decode(content, &heartbeat) == nil && heartbeat.ServersDelta != nil {
			(&viewer.Servers{Revision: heartbeat.ServersDelta.Base}).Apply(heartbeat.ServersDelta)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	plain := pack(snapshotRequest{}, Snapshot{Members: []Member{{Name: "lb-1"}}})
	f.Add(encode(packet{Age: time.Second, Content: plain.content}))
	f.Add(encode(packet{Packed: true, Content: s2.Encode(nil, plain.content)}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		unpack(content)
	})
}

func TestASnapshotThatIsTooLongIsNotUnpacked(t *testing.T) {
	content := encode(packet{Packed: true, Content: s2.Encode(nil, make([]byte, maxSnapshot+1))})
	_, _, err := unpack(content)
	assert.ErrorContains(t, err, "too long")
}
