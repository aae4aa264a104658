package relayer

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// runWithDomain is runWithFleet with count instances in one failure domain and two in each of
// two others.
func runWithDomain(t *testing.T, count int, test func(simulation *fleetSimulation, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		simulation := newFleetSimulation()
		for i := range 400 {
			simulation.servers = append(simulation.servers, backendServer(fmt.Sprintf("i-%08x", i), parser.Active))
		}
		for i := range count {
			simulation.startNodeAt(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), fmt.Sprintf("lb-0-%03d", i), 0)
		}
		for domain := 1; domain < 3; domain++ {
			for i := range byte(2) {
				simulation.startNode(t, fmt.Sprintf("lb-%d-%d", domain, i), domain, i)
			}
		}
		defer func() {
			for _, node := range simulation.started {
				node.stop()
			}
			time.Sleep(10 * time.Second) // lets every call finish
		}()
		advance(30 * time.Second)
		test(simulation, simulation.started)
	})
}

// resetTraffic starts counting the traffic of each node anew.
func (simulation *fleetSimulation) resetTraffic() {
	simulation.update(func() {
		for _, node := range simulation.started {
			node.sentDatagrams, node.sentBytes, node.servedSnapshots, node.servedBytes, node.storeCalls = 0, 0, 0, 0, 0
			node.suspicionBytes = 0
		}
	})
}

// changeServers changes the state of count servers in the store.
func (simulation *fleetSimulation) changeServers(first, count int) {
	simulation.update(func() {
		for i := range count {
			server := &simulation.servers[(first+i)%len(simulation.servers)]
			if server.State == parser.Active {
				server.State = parser.Leaving
			} else {
				server.State = parser.Active
			}
		}
	})
}

// traffic is what the busiest instance does in one second.
type traffic struct{ datagrams, bytes, snapshots float64 }

// busiest returns the largest of each figure among the nodes.
func (simulation *fleetSimulation) busiest(duration time.Duration) traffic {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	var busiest traffic
	for _, node := range simulation.started {
		busiest.datagrams = max(busiest.datagrams, float64(node.sentDatagrams)/duration.Seconds())
		busiest.bytes = max(busiest.bytes, float64(node.sentBytes+node.servedBytes)/duration.Seconds())
		busiest.snapshots = max(busiest.snapshots, float64(node.servedSnapshots)/duration.Seconds())
	}
	return busiest
}

// The traffic of the busiest instance grows less than the failure domain, with small changes,
// which heartbeats carry, and with larger ones, which are fetched.
func TestTrafficOfLeaderGrowsLessThanItsFailureDomain(t *testing.T) {
	const maxPower = 0.5
	for name, changed := range map[string]int{"small changes": 2, "large changes": 20} {
		t.Run(name, func(t *testing.T) {
			first := traffic{}
			for _, count := range []int{30, 100, 300} {
				runWithDomain(t, count, func(simulation *fleetSimulation, nodes []*node) {
					simulation.resetTraffic()
					const seconds = 10
					for i := range seconds {
						simulation.changeServers(i*changed, changed)
						advance(time.Second)
					}
					busiest := simulation.busiest(seconds * time.Second)
					t.Logf("%d instances: %.1f datagrams, %.0f bytes, %.1f snapshots a second", count, busiest.datagrams, busiest.bytes, busiest.snapshots)
					assert.Assert(t, simulation.longestHeartbeat <= maxHeartbeatSize, "a heartbeat had %d bytes", simulation.longestHeartbeat)
					if first.bytes == 0 {
						first = busiest
						return
					}
					power := func(figure, base float64) float64 { return math.Log(figure/base) / math.Log(float64(count)/30) }
					assert.Assert(t, power(busiest.bytes, first.bytes) <= maxPower, "bytes grow with power %.2f", power(busiest.bytes, first.bytes))
					assert.Assert(t, power(busiest.datagrams, first.datagrams) <= maxPower, "datagrams grow with power %.2f", power(busiest.datagrams, first.datagrams))
					want := (&viewer.Servers{List: simulation.servers}).Digest()
					advance(applyTimeLimit)
					for _, node := range nodes {
						assert.Equal(t, node.viewer.Current().Servers.Digest(), want, "%s", node.member.Name)
					}
				})
			}
		})
	}
}

// Each instance gets a heartbeat once, in datagrams of a limited size, and only instances that
// answer have to pass it on.
func TestHeartbeatIsDealtToAll(t *testing.T) {
	silence := func(peer *peer, now time.Time) {
		peer.unansweredSince, peer.receivedAt = now.Add(-time.Minute), now.Add(-2*time.Minute)
	}
	cases := map[string]struct {
		count, evacuated int
		isIPv6           bool
		disturb          func(peer *peer, number int, now time.Time)
		maxDatagrams     int
	}{
		"small domain":  {15, 0, false, nil, 15},
		"smallest tree": {18, 0, false, nil, 6},
		"large domain":  {390, 0, false, nil, 22},
		"IPv6":          {390, 0, true, nil, 22},
		"little room":   {390, 40, false, nil, 50},
		"no room":       {390, 61, false, nil, 390},
		"many are silent": {100, 0, false, func(peer *peer, number int, now time.Time) {
			if number%10 > 0 {
				silence(peer, now)
			}
		}, 12},
		"nearly all are silent": {100, 0, false, func(peer *peer, number int, now time.Time) {
			if number != 50 {
				silence(peer, now)
			}
		}, 40},
		"many leave": {100, 0, false, func(peer *peer, number int, _ time.Time) { peer.leaving = number%2 > 0 }, 12},
		"many are doubted": {100, 0, false, func(peer *peer, number int, now time.Time) {
			if number%2 > 0 {
				peer.doubtedAt = now.Add(time.Second)
			}
		}, 12},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			relayer, now := newMuteRelayer(nil), time.Now()
			var members []Member
			for i := range test.count {
				ip := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
				if test.isIPv6 {
					ip = netip.AddrFrom16([16]byte{0xfd, 14: byte(i >> 8), 15: byte(i)})
				}
				address := netip.AddrPortFrom(ip, 7720)
				members = append(members, Member{Name: fmt.Sprintf("lb-1-%03d", i), FailureDomain: "dakar-0", PeerAddress: address, ControlAddress: address})
			}
			relayer.addMembers(members, now)
			relays := map[netip.AddrPort]bool{}
			for i, member := range members {
				peer := relayer.members[member.Name]
				if test.disturb != nil {
					test.disturb(peer, i, now)
				}
				relays[member.PeerAddress] = peer.canRelay(now)
			}
			_, positions := rankMembers(members)
			heartbeat := Heartbeat{Sender: backendMember("lb-0"), Suspicions: slices.Repeat([]uint32{1 << 30}, 3*test.evacuated)}
			received := map[netip.AddrPort]int{}
			datagrams := relayer.distribute(heartbeat, members, positions, now)
			for _, datagram := range datagrams {
				var decoded Heartbeat
				assert.NilError(t, decode(datagram.content, &decoded))
				assert.Assert(t, len(datagram.content) <= maxHeartbeatSize, "%d bytes", len(datagram.content))
				received[datagram.to]++
				for _, address := range decoded.PassOn {
					received[address]++
				}
				assert.Assert(t, len(decoded.PassOn) == 0 || relays[datagram.to], "%s is no relay", datagram.to)
			}
			assert.Equal(t, len(received), test.count)
			for address, count := range received {
				assert.Equal(t, count, 1, "%s", address)
			}
			assert.Assert(t, len(datagrams) <= test.maxDatagrams, "%d datagrams", len(datagrams))
		})
	}
}
