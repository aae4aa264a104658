package relayer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// applyTimeLimit is the users' bound on a configuration and on new flows to a server that leaves.
const applyTimeLimit = 3 * time.Second

// assertVersionReachesAll lets the bound pass and checks that every instance has the version.
func assertVersionReachesAll(t *testing.T, version uint64, nodes []*node) {
	t.Helper()
	advance(applyTimeLimit)
	for _, node := range nodes {
		assert.Assert(t, node.hasVersion(version), "%s lacks version %d", node.member.Name, version)
	}
}

func (simulation *fleetSimulation) publish(version uint64) {
	simulation.changeStore(func() { simulation.configuration = &viewer.Configuration{Version: version} })
}

func TestOneInstanceReadsTheStoreForTheFleet(t *testing.T) {
	for _, count := range []int{1, 3, 30} {
		runWithFleet(t, count, func(world *fleetSimulation, _ []*node) {
			world.resetStoreCalls()
			advance(time.Minute)
			calls := world.resetStoreCalls()
			// One probe an interval, and the list of members every ten seconds.
			limit := int(time.Minute/ReadInterval) + int(time.Minute/membersReadInterval) + 2
			assert.Assert(t, calls <= limit, "%d instances made %d calls in a quiet minute, limit %d", 3*count, calls, limit)
		})
	}
}

func TestConfigurationChangeReachesAllInstancesInTime(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		for version := uint64(2); version < 20; version++ {
			world.publish(version)
			assertVersionReachesAll(t, version, nodes)
			advance(37 * time.Millisecond)
		}
	})
}

func TestChangeBetweenTwoCallsOfOneReadIsNotMissed(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.nextVersion = 2 }) // any change has the store read
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestLeavingServerReachesAllInstancesInTime(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.servers[0] = backendServer("a", parser.Leaving) })
		advance(applyTimeLimit)
		for _, node := range nodes {
			active := node.viewer.Current().Active("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
		}
	})
}

func TestSmallServerChangesAreSentInHeartbeats(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		world.addServers(400)
		world.changeStore(func() { world.fetchedBytes = 0 })
		for i := range 20 {
			world.changeStore(func() {
				world.servers[2*i+7].State = parser.Leaving
				world.servers = slices.Delete(slices.Clone(world.servers), 300, 301)
			})
			advance(time.Second)
		}
		advance(applyTimeLimit)
		want := (&viewer.Servers{List: world.servers}).Digest()
		for _, node := range nodes {
			assert.Equal(t, node.viewer.Current().Servers.Digest(), want, "%s", node.member.Name)
		}
		assert.Assert(t, world.longestHeartbeat <= 1200, "a heartbeat had %d bytes", world.longestHeartbeat)
		assert.Assert(t, world.fetchedBytes == 0, "%d bytes of views were fetched", world.fetchedBytes)
	})
}

func TestStartingFleetReadsLongServerListFromStore(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		world.addServers(shortListLength)
		world.changeStore(func() { world.serversReadTime, world.fetchedBytes = 900*time.Millisecond, 0 })
		for i, node := range nodes[1:] {
			node.kill()
			nodes[i+1] = world.startNode(t, node.member.Name, (i+1)/30, byte((i+1)%30))
		}
		advance(time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.hasVersion(1), "%s has no view", node.member.Name)
		}
		assert.Equal(t, world.fetchedBytes, 0)
	})
}

// controlBytesPerSecondLimit is the users' bound on what an instance spends on control, in bytes a second.
const controlBytesPerSecondLimit = 5000

func TestStartOfLargeFleetStaysWithinControlTrafficLimit(t *testing.T) {
	runWithFleet(t, 100, func(world *fleetSimulation, nodes []*node) {
		told := world.heartbeatBytes / len(nodes) / 5 // play lets five seconds pass
		assert.Assert(t, told <= controlBytesPerSecondLimit, "%d bytes a second and instance", told)
		for _, node := range nodes {
			assert.Equal(t, node.Instances(), len(nodes), "%s", node.member.Name)
		}
	})
}

func TestChangesReachFailureDomainAfterItsLeadersDie(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		for range leadersPerDomain {
			nodes[30].kill()
			nodes = slices.Delete(nodes, 30, 31)
		}
		for version := range uint64(4) {
			world.changeStore(func() { world.configuration = &viewer.Configuration{Version: version + 2} })
			advance(applyTimeLimit)
			for _, node := range nodes {
				assert.Assert(t, node.hasVersion(version+2), "%s has not taken the change", node.member.Name)
			}
		}
	})
}

func TestSmallRouteChangesAreSentInHeartbeats(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.configuration = configurationWithRoutes(2, 500) })
		advance(2 * applyTimeLimit)
		world.changeStore(func() { world.fetchedBytes = 0 })
		for i := range uint64(10) {
			world.changeStore(func() {
				next := configurationWithRoutes(3+i, 500)
				next.Routes = slices.Delete(next.Routes, int(i), int(i)+1)
				world.configuration = next
			})
			advance(time.Second)
		}
		advance(applyTimeLimit)
		for _, node := range nodes {
			view := node.viewer.Current()
			assert.Assert(t, node.hasVersion(12), "%s", node.member.Name)
			for _, route := range world.configuration.Routes {
				assert.Assert(t, view.Route(route.Address) != nil, "%s lacks %s", node.member.Name, route.Name)
			}
			assert.Equal(t, len(view.Configuration.Routes), 499)
		}
		assert.Assert(t, world.longestHeartbeat <= 1200, "a heartbeat had %d bytes", world.longestHeartbeat)
		assert.Assert(t, world.fetchedBytes == 0, "%d bytes of views were fetched", world.fetchedBytes)
	})
}

func TestSuspectedServerIsEjectedInItsReportersFailureDomain(t *testing.T) {
	runWithFleet(t, 10, func(world *fleetSimulation, nodes []*node) {
		for _, node := range nodes[4:7] {
			node.Relayer.ReportSuspicion(7)
		}
		advance(100 * time.Millisecond)
		for _, node := range nodes {
			want := node.member.FailureDomain == "dakar-0"
			assert.Equal(t, slices.Contains(node.ejected, 7), want, "%s", node.member.Name)
		}
	})
}

func TestSuspicionRateLimitProtectsLeaders(t *testing.T) {
	runWithFleet(t, 10, func(world *fleetSimulation, nodes []*node) {
		before := nodes[0].suspicionCount
		for range 300 {
			for _, node := range nodes[4:7] {
				node.Relayer.ReportSuspicion(9)
			}
			advance(10 * time.Millisecond)
		}
		// Three seconds and the burst of three instances.
		heard := nodes[0].suspicionCount - before
		assert.Assert(t, heard > 0 && heard <= 3*4*suspicionRate, "%d suspicions", heard)
	})
}

// TestALongConfigurationFitsTheBoundOnControl: 8,700 changes a day are one in ten seconds.
func TestLongConfigurationStaysWithinControlTrafficLimit(t *testing.T) {
	runWithFleet(t, 10, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.configuration, world.fetchedBytes = configurationWithRoutes(2, 2000), 0 })
		advance(applyTimeLimit)
		for _, node := range nodes {
			configuration := node.viewer.Current().Configuration
			assert.Assert(t, node.hasVersion(2) && len(configuration.Routes) == 2000, "%s", node.member.Name)
		}
		fetched := world.fetchedBytes / (len(nodes) - 1)
		assert.Assert(t, fetched <= 10*controlBytesPerSecondLimit, "%d bytes an instance", fetched)
	})
}

func TestInstanceThatMissedHeartbeatsFetchesOnlyDeltas(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.addServers(400)
		world.changeStore(func() { world.partitioned["dakar-0"] = true })
		for i := range 10 {
			world.changeStore(func() { world.servers[i+7].State = parser.Leaving })
			advance(time.Second)
		}
		world.changeStore(func() {
			world.fetchedBytes = 0
			delete(world.partitioned, "dakar-0")
		})
		advance(2 * applyTimeLimit)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 392, "%s", node.member.Name)
		}
		assert.Assert(t, world.fetchedBytes < 10_000, "%d bytes of views were fetched", world.fetchedBytes)
	})
}

func TestNextInstanceReadsAfterReaderDies(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		// The order of reading is lb-0-0, lb-1-0, lb-2-0, lb-0-1 and so on.
		for i, dead := range []int{0, 3, 6, 1} {
			nodes[dead].kill()
			world.publish(uint64(2 + i))
			var alive []*node
			for _, node := range nodes {
				if node.ctx.Err() == nil {
					alive = append(alive, node)
				}
			}
			assertVersionReachesAll(t, uint64(2+i), alive)
		}
	})
}

func TestInstancesRejectedByStoreAreUpdatedByOthers(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() {
			for _, i := range []int{0, 3, 4, 5, 6} { // a whole failure domain and the first of the others
				world.rejectedByStore[nodes[i].member.Name] = true
			}
		})
		world.publish(2)
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestPartitionedFailureDomainKeepsItsViewAndCatchesUp(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.partitioned["dakar-0"] = true })
		world.publish(2)
		assertVersionReachesAll(t, 2, nodes[3:])
		for _, node := range nodes[:3] {
			assert.Assert(t, node.hasVersion(1))
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 2)
		}
		advance(10 * time.Second)
		world.changeStore(func() { delete(world.partitioned, "dakar-0") })
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestInstanceStartedInPartitionFetchesViewFromPeer(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.partitioned["dakar-0"] = true })
		for i, first := range []int{0, 1, 2} {
			nodes[first].kill()
			again := world.startNode(t, nodes[first].member.Name, 0, byte(i))
			advance(2 * time.Second)
			assert.Assert(t, again.hasVersion(1), "%s has no view", again.member.Name)
			nodes[first] = again
		}
	})
}

func TestExpiredServersStayInUseDuringGracePeriodAfterStoreOutage(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.storeDown = true })
		advance(10 * time.Second)
		world.changeStore(func() {
			world.storeDown = false
			world.servers = nil
		})
		advance(time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 2, "%s", node.member.Name)
		}
		world.changeStore(func() { world.servers = []viewer.BackendServer{backendServer("b", parser.Active)} })
		advance(returnGracePeriod + 2*time.Second)
		synctest.Wait()
		for _, node := range nodes {
			active := node.viewer.Current().Active("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
			assert.DeepEqual(t, node.expired, []string{"a"})
		}
	})
}

func TestNextInstanceReadsAfterReaderLeaves(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		nodes[0].Leave()
		advance(100 * time.Millisecond)
		nodes[0].kill()
		world.publish(2)
		assertVersionReachesAll(t, 2, nodes[1:])
	})
}

func TestUnresponsiveInstancesAreRemovedFromStore(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		nodes[2].kill()
		advance(memberTimeout + 3*membersReadInterval)
		synctest.Wait()
		assert.Equal(t, len(world.members), 8)
		for i, node := range nodes {
			if i != 2 {
				assert.Assert(t, node.hasVersion(1))
			}
		}
		assert.DeepEqual(t, nodes[0].lost, []string{"lb-0-2"})
	})
}

func TestReaderRemovesInstancesNoLongerInStore(t *testing.T) {
	runWithFleet(t, 3, func(world *fleetSimulation, nodes []*node) {
		nodes[5].kill()
		world.changeStore(func() { delete(world.members, nodes[5].member.Name) })
		advance(3 * membersReadInterval)
		synctest.Wait()
		assert.Equal(t, nodes[0].Instances(), 8)
	})
}

func TestStoreCallsAreLimitedDuringOutage(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.storeDown = true })
		advance(10 * time.Second)
		world.resetStoreCalls()
		advance(32 * time.Second)
		calls := world.resetStoreCalls()
		// The two that lead each failure domain try every interval, the others every 3.2 s.
		limit := 6*40 + len(nodes)*10 + len(nodes)
		assert.Assert(t, calls <= limit, "%d calls in 32 s, limit %d", calls, limit)
		world.changeStore(func() { world.storeDown = false })
		world.publish(2)
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestStoreCallsAreLimitedAfterOutage(t *testing.T) {
	runWithFleet(t, 30, func(world *fleetSimulation, nodes []*node) {
		world.changeStore(func() { world.storeDown = true })
		advance(10 * time.Second)
		world.changeStore(func() { world.storeDown = false })
		world.resetStoreCalls()
		advance(time.Second)
		calls := world.resetStoreCalls()
		assert.Assert(t, calls < 2*len(nodes), "%d calls in the first second", calls)
	})
}
