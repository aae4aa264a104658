package relayer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/parser"
)

func TestSilentServersAreKnownInTheFailureDomain(t *testing.T) {
	cases := []struct {
		name string
		play func(nodes []*node)
		want string // numbers of the failure domains, or domains and instances, that hold the server silent
	}{
		{"whose callers wait", func([]*node) {}, "0"},
		{"not if an instance of it has seen life", func(nodes []*node) { nodes[4].RecordLife() }, ""},
		{"not if a leader of another one has", func(nodes []*node) { nodes[6].RecordLife() }, ""},
		{"not if its leaders were paused", func(nodes []*node) {
			for _, node := range nodes[:2] {
				node.resumed.Store(true)
			}
		}, ""},
		{"not in an instance that was paused", func(nodes []*node) {
			nodes[5].resumed.Store(true)
		}, "0 but lb-0-5"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, 6, func(simulation *fleetSimulation, nodes []*node) {
				c.play(nodes)
				server := backendServer("a", parser.Active)
				for i, flow := range []uint32{1, 2, 3} {
					nodes[2+i%2].detector.RecordUnanswered(&server, flow, time.Now().Add(-600*time.Millisecond), 800*time.Millisecond, time.Now())
				}
				nodes[2].detector.RecordUnanswered(&server, 4, time.Now().Add(-600*time.Millisecond), 800*time.Millisecond, time.Now())
				advance(time.Second)
				holds := func(node *node) bool { return node.detector.IsSilent(detector.NewServer(&server), time.Now()) }
				for _, node := range nodes {
					isInside := strings.HasPrefix(c.want, "0") && strings.HasPrefix(node.member.Name, "lb-0-") && !strings.HasSuffix(c.want, node.member.Name)
					assert.Equal(t, holds(node), isInside, "%s", node.member.Name)
				}
			})
		})
	}
}

// RecordLife makes the instance see life of server a just before now.
func (node *node) RecordLife() {
	server := backendServer("a", parser.Active)
	node.detector.RecordLife(&server, time.Now().Add(-100*time.Millisecond))
}

func TestReportsOfSignsFitADatagram(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		server := backendServer("a", parser.Active)
		server.StartedAt = time.Now().UnixMilli()
		for number := range uint32(400) {
			server.Token = 1<<31 + number
			nodes[2].detector.RecordLife(&server, time.Now().Add(-2*time.Second))
			if number < 100 {
				nodes[2].detector.RecordUnanswered(&server, 1<<31+number, time.Now().Add(-1234567*time.Microsecond), 2345678*time.Microsecond, time.Now())
			}
		}
		advance(3 * time.Second)
		assert.Assert(t, simulation.longestHeartbeat > 500, "%d bytes", simulation.longestHeartbeat)
		assert.Assert(t, simulation.longestHeartbeat <= 1200, "%d bytes", simulation.longestHeartbeat)
	})
}

func TestHeartbeatsWithImpossibleSignsAreRejected(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.9:7720")
	for name, message := range map[string]detector.Message{
		"data that waits since the future": {Unanswered: []detector.Unanswered{{For: -1}}},
		"life in the future":               {Alive: []detector.ServerAge{{Age: -1}}},
		"a question about the future":      {Questions: []detector.ServerAge{{Age: -1}}},
		"silence since the future":         {Silent: []detector.ServerAge{{Age: -1}}},
	} {
		heartbeat := Heartbeat{Sender: Member{Name: "lb-0-1", PeerAddress: address, ControlAddress: address}, ServerSigns: &message}
		assert.ErrorContains(t, heartbeat.check(), "lb-0-1", name)
	}
}
