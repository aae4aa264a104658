package relayer

import (
	"fmt"
	"math"
	"net/netip"
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
					const seconds = 20
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
