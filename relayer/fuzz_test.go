package relayer

import (
	"testing"

	"github.com/pimentowind/pimentowind/viewer"
)

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(encode(Heartbeat{Sender: Member{Name: "lb-1"}, Revision: 7, Delta: &viewer.Delta{Base: 1, Revision: 7, Gone: []string{"a"}}}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		var heartbeat Heartbeat
		if decode(content, &heartbeat) == nil && heartbeat.Delta != nil {
			(&viewer.Servers{Revision: heartbeat.Delta.Base}).Apply(heartbeat.Delta)
		}
	})
}
