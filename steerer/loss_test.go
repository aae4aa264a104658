package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsThatServersLoseAreReported(t *testing.T) {
	request := func(harness *harness) {
		harness.Decide(opening(1), start)
		harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), start)
		harness.Decide(laterPacket(1, tokenOf("a"), 100, 50, Flags{}), start)
	}
	after := func(duration time.Duration, packet *Packet) func(*harness) {
		return func(harness *harness) {
			request(harness)
			harness.Decide(packet, start.Add(duration))
		}
	}
	cases := []struct {
		name string
		play func(harness *harness)
		want []string
	}{
		{"the caller sends nothing more, so it was reset", request, []string{"a"}},
		{"the caller retransmits", after(200*time.Millisecond, laterPacket(1, tokenOf("a"), 100, 50, Flags{})), nil},
		{"the response came", after(50*time.Millisecond, laterPacket(1, tokenOf("a"), 900, 0, Flags{})), nil},
		{"the caller closed the flow", after(50*time.Millisecond, laterPacket(1, tokenOf("a"), 100, 0, Flags{FIN: true})), nil},
		{"a flow of another instance arrives", after(50*time.Millisecond, laterPacket(9, tokenOf("a"), 100, 50, Flags{})), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness("a")
			c.play(harness)
			for _, waited := range []time.Duration{lostRequestTimeout - time.Millisecond, lostRequestTimeout, 2 * time.Second} {
				now := start.Add(waited)
				harness.Next(now, now)
				assert.Assert(t, waited >= lostRequestTimeout || len(harness.lost) == 0)
			}
			assert.DeepEqual(t, harness.lost, c.want)
		})
	}
}

func TestLastPacketOfAClosedFlowIsNotOfAnotherInstance(t *testing.T) {
	harness := newHarness("a")
	token := tokenOf("a")
	harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	harness.Decide(laterPacket(1, token, 900, 0, Flags{FIN: true}), start)
	harness.Decide(laterPacket(1, token, 901, 0, Flags{}), start.Add(10*time.Millisecond))
	assert.Assert(t, harness.foreignAt.IsZero())
}

func TestUnansweredOpeningIsReportedAsLost(t *testing.T) {
	harness := newHarness("a", "b")
	first := harness.Decide(opening(1), start)
	harness.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.DeepEqual(t, harness.lost, []string{first.Server.Name})
}
