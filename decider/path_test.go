package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
)

// newDeciderWithFlows returns the decider of a lone instance with the given number of flows, and a
// datagram of each.
func newDeciderWithFlows(t testing.TB, flows int) (*Decider, [][]byte) {
	fleet := newFleet(t, "a1")
	fleet.deciders["a1"].flows.maxFlows = flows + 1
	fleet.applySheet(1, testSheet())
	fleet.run(startupGracePeriod + time.Second)
	decider := fleet.deciders["a1"]
	datagrams := make([][]byte, flows)
	for i := range datagrams {
		tuple := testTuple(testTCP, framer.ProtocolTCP, i)
		tuple.Source[1], tuple.Source[2] = byte(i>>24), byte(i>>16)
		for server := 1; server <= 4; server++ { // so that no backend server is full
			decider.servers[serverID("counter", testServer(server, "").Address)].openFlows = 0
		}
		decider.HandlePacket(fleet.now, &framer.Packet{Tuple: tuple, Flags: framer.FlagSYN})
		inner, err := framer.BuildInner(framer.Segment{Tuple: tuple, Flags: framer.FlagACK, Sequence: 1, Payload: make([]byte, 64)})
		assert.NilError(t, err)
		datagrams[i] = framer.Encode(nil, framer.Options{}, inner)
	}
	return decider, datagrams
}

// forwardDatagram decodes and encodes one datagram, and returns its length, or 0 if it is not
// forwarded.
func forwardDatagram(decider *Decider, now time.Time, datagram, out []byte) int {
	var packet framer.Packet
	if framer.Decode(datagram, &packet) != nil {
		return 0
	}
	if decider.HandlePacket(now, &packet).Kind != ToBackendServer {
		return 0
	}
	return len(framer.Encode(out[:0], framer.Options{}, packet.Inner))
}

func TestForwardingDoesNotAllocate(t *testing.T) {
	decider, datagrams := newDeciderWithFlows(t, 1000)
	out := make([]byte, 0, 2048)
	next := 0
	allocations := testing.AllocsPerRun(1000, func() {
		assert.Assert(t, forwardDatagram(decider, decider.now, datagrams[next%len(datagrams)], out) > 0)
		next++
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkForward(b *testing.B) {
	for _, flows := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			decider, datagrams := newDeciderWithFlows(b, flows)
			out := make([]byte, 0, 2048)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				forwardDatagram(decider, decider.now, datagrams[i*7919%flows], out)
			}
		})
	}
}
