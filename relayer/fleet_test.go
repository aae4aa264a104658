package relayer

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// applyTimeLimit is the required time within which a new configuration is applied on every
// instance and a leaving server stops receiving new flows.
const applyTimeLimit = 3 * time.Second

// assertVersionReachesAll checks that every node has the configuration version after
// applyTimeLimit.
func assertVersionReachesAll(t *testing.T, version uint64, nodes []*node) {
	t.Helper()
	advance(applyTimeLimit)
	for _, node := range nodes {
		assert.Assert(t, node.hasVersion(version), "%s lacks version %d", node.member.Name, version)
	}
}

// publish replaces the configuration in the store by one without routes.
func (simulation *fleetSimulation) publish(version uint64) {
	simulation.update(func() { simulation.configuration = &viewer.Configuration{Version: version} })
}

func TestOneInstanceReadsTheStoreForTheFleet(t *testing.T) {
	for _, count := range []int{1, 3, 30} {
		runWithFleet(t, count, func(simulation *fleetSimulation, _ []*node) {
			simulation.resetStoreCalls()
			advance(time.Minute)
			calls := simulation.resetStoreCalls()
			// One read of the revision per interval, and of the members every ten seconds.
			limit := int(time.Minute/ReadInterval) + int(time.Minute/membersReadInterval) + 2
			assert.Assert(t, calls <= limit, "%d instances made %d calls in a quiet minute, limit %d", 3*count, calls, limit)
		})
	}
}

func TestConfigurationChangeReachesAllInstancesInTime(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		for version := uint64(2); version < 20; version++ {
			simulation.publish(version)
			assertVersionReachesAll(t, version, nodes)
			advance(37 * time.Millisecond)
		}
	})
}

func TestChangeBetweenTwoCallsOfOneReadIsNotMissed(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.nextVersion = 2 }) // the update changes the revision, which causes a read
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestLeavingServerReachesAllInstancesInTime(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.servers[0] = backendServer("a", parser.Leaving) })
		advance(applyTimeLimit)
		for _, node := range nodes {
			active := node.viewer.Current().ActiveServers("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
		}
	})
}

func TestSmallServerChangesAreSentInHeartbeats(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(400)
		simulation.update(func() { simulation.fetchedBytes = 0 })
		for i := range 20 {
			simulation.update(func() {
				simulation.servers[2*i+7].State = parser.Leaving
				simulation.servers = slices.Delete(slices.Clone(simulation.servers), 300, 301)
			})
			advance(time.Second)
		}
		advance(applyTimeLimit)
		want := (&viewer.Servers{List: simulation.servers}).Digest()
		for _, node := range nodes {
			assert.Equal(t, node.viewer.Current().Servers.Digest(), want, "%s", node.member.Name)
		}
		assert.Assert(t, simulation.longestHeartbeat <= 1200, "a heartbeat had %d bytes", simulation.longestHeartbeat)
		assert.Assert(t, simulation.fetchedBytes == 0, "%d bytes of views were fetched", simulation.fetchedBytes)
	})
}

func TestStartingFleetReadsLongServerListFromStore(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(shortListLength)
		simulation.update(func() { simulation.serversReadTime, simulation.fetchedBytes = 900*time.Millisecond, 0 })
		for i, node := range nodes[1:] {
			node.kill()
			nodes[i+1] = simulation.startNode(t, node.member.Name, (i+1)/30, byte((i+1)%30))
		}
		advance(time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.hasVersion(1), "%s has no view", node.member.Name)
		}
		assert.Equal(t, simulation.fetchedBytes, 0)
	})
}

// controlBytesPerSecondLimit is the required limit on the control traffic of one instance.
const controlBytesPerSecondLimit = 5000

func TestStartOfLargeFleetStaysWithinControlTrafficLimit(t *testing.T) {
	runWithFleet(t, 100, func(simulation *fleetSimulation, nodes []*node) {
		rate := simulation.heartbeatBytes / len(nodes) / 5 // runWithFleet lets five seconds pass
		assert.Assert(t, rate <= controlBytesPerSecondLimit, "%d bytes per second and instance", rate)
		for _, node := range nodes {
			assert.Equal(t, node.Instances(), len(nodes), "%s", node.member.Name)
		}
	})
}

func TestChangesReachFailureDomainAfterItsLeadersDie(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		for range leadersPerDomain {
			nodes[30].kill()
			nodes = slices.Delete(nodes, 30, 31)
		}
		for version := range uint64(4) {
			simulation.update(func() { simulation.configuration = &viewer.Configuration{Version: version + 2} })
			advance(applyTimeLimit)
			for _, node := range nodes {
				assert.Assert(t, node.hasVersion(version+2), "%s has not applied the change", node.member.Name)
			}
		}
	})
}

func TestSmallRouteChangesAreSentInHeartbeats(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.configuration = configurationWithRoutes(2, 500) })
		advance(2 * applyTimeLimit)
		simulation.update(func() { simulation.fetchedBytes = 0 })
		for i := range uint64(10) {
			simulation.update(func() {
				next := configurationWithRoutes(3+i, 500)
				next.Routes = slices.Delete(next.Routes, int(i), int(i)+1)
				simulation.configuration = next
			})
			advance(time.Second)
		}
		advance(applyTimeLimit)
		for _, node := range nodes {
			view := node.viewer.Current()
			assert.Assert(t, node.hasVersion(12), "%s", node.member.Name)
			for _, route := range simulation.configuration.Routes {
				assert.Assert(t, view.Route(route.Address) != nil, "%s lacks %s", node.member.Name, route.Name)
			}
			assert.Equal(t, len(view.Configuration.Routes), 499)
		}
		assert.Assert(t, simulation.longestHeartbeat <= 1200, "a heartbeat had %d bytes", simulation.longestHeartbeat)
		assert.Assert(t, simulation.fetchedBytes == 0, "%d bytes of views were fetched", simulation.fetchedBytes)
	})
}

func TestSuspectedServerIsEjectedInItsReportersFailureDomain(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		for _, node := range nodes[4:7] {
			node.Relayer.ReportSuspicion(7, examiner.Failing)
		}
		advance(100 * time.Millisecond)
		for _, node := range nodes {
			want := node.member.FailureDomain == "dakar-0"
			assert.Equal(t, slices.Contains(node.ejected, 7), want, "%s", node.member.Name)
		}
	})
}

func TestSuspicionRateLimitProtectsLeaders(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		before := nodes[0].suspicionCount
		for range 300 {
			for _, node := range nodes[4:7] {
				node.Relayer.ReportSuspicion(9, examiner.Failing)
			}
			advance(10 * time.Millisecond)
		}
		// Three instances in three seconds, each with a burst at the start.
		received := nodes[0].suspicionCount - before
		assert.Assert(t, received > 0 && received <= 3*4*suspicionRate, "%d suspicions", received)
	})
}

// With 8,700 configuration changes a day there is one in ten seconds, so each may use the
// control traffic of ten seconds.
func TestLongConfigurationStaysWithinControlTrafficLimit(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.configuration, simulation.fetchedBytes = configurationWithRoutes(2, 2000), 0 })
		advance(applyTimeLimit)
		for _, node := range nodes {
			configuration := node.viewer.Current().Configuration
			assert.Assert(t, node.hasVersion(2) && len(configuration.Routes) == 2000, "%s", node.member.Name)
		}
		fetched := simulation.fetchedBytes / (len(nodes) - 1)
		assert.Assert(t, fetched <= 10*controlBytesPerSecondLimit, "%d bytes per instance", fetched)
	})
}

func TestInstanceThatMissedHeartbeatsFetchesOnlyDeltas(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(400)
		simulation.update(func() { simulation.partitioned["dakar-0"] = true })
		for i := range 10 {
			simulation.update(func() { simulation.servers[i+7].State = parser.Leaving })
			advance(time.Second)
		}
		simulation.update(func() {
			simulation.fetchedBytes = 0
			delete(simulation.partitioned, "dakar-0")
		})
		advance(2 * applyTimeLimit)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 392, "%s", node.member.Name)
		}
		assert.Assert(t, simulation.fetchedBytes < 10_000, "%d bytes of views were fetched", simulation.fetchedBytes)
	})
}

func TestNextInstanceReadsAfterReaderDies(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		// The ranks are lb-0-0, lb-1-0, lb-2-0, lb-0-1 and so on.
		for i, dead := range []int{0, 3, 6, 1} {
			nodes[dead].kill()
			simulation.publish(uint64(2 + i))
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
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() {
			for _, i := range []int{0, 3, 4, 5, 6} { // a whole failure domain and the highest-ranked instance of each other one
				simulation.rejectedByStore[nodes[i].member.Name] = true
			}
		})
		simulation.publish(2)
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestPartitionedFailureDomainKeepsItsViewAndCatchesUp(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.partitioned["dakar-0"] = true })
		simulation.publish(2)
		assertVersionReachesAll(t, 2, nodes[3:])
		for _, node := range nodes[:3] {
			assert.Assert(t, node.hasVersion(1))
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 2)
		}
		advance(10 * time.Second)
		simulation.update(func() { delete(simulation.partitioned, "dakar-0") })
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestInstanceStartedInPartitionFetchesViewFromPeer(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.partitioned["dakar-0"] = true })
		for i, first := range []int{0, 1, 2} {
			nodes[first].kill()
			restarted := simulation.startNode(t, nodes[first].member.Name, 0, byte(i))
			advance(2 * time.Second)
			assert.Assert(t, restarted.hasVersion(1), "%s has no view", restarted.member.Name)
			nodes[first] = restarted
		}
	})
}

func TestExpiredServersStayInUseDuringGracePeriodAfterStoreOutage(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.storeDown = true })
		advance(10 * time.Second)
		simulation.update(func() {
			simulation.storeDown = false
			simulation.servers = nil
		})
		advance(time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 2, "%s", node.member.Name)
		}
		simulation.update(func() { simulation.servers = []viewer.BackendServer{backendServer("b", parser.Active)} })
		advance(returnGracePeriod + 2*time.Second)
		synctest.Wait()
		for _, node := range nodes {
			active := node.viewer.Current().ActiveServers("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
			assert.DeepEqual(t, node.expired, []string{"a"})
		}
	})
}

func TestNextInstanceReadsAfterReaderLeaves(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		nodes[0].Leave()
		advance(100 * time.Millisecond)
		nodes[0].kill()
		simulation.publish(2)
		assertVersionReachesAll(t, 2, nodes[1:])
	})
}

func TestUnresponsiveInstancesAreRemovedFromStore(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		nodes[2].kill()
		advance(memberTimeout + 3*membersReadInterval)
		synctest.Wait()
		assert.Equal(t, len(simulation.members), 8)
		for i, node := range nodes {
			if i != 2 {
				assert.Assert(t, node.hasVersion(1))
			}
		}
		assert.DeepEqual(t, nodes[0].lost, []string{"lb-0-2"})
	})
}

func TestReaderRemovesInstancesNoLongerInStore(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		nodes[5].kill()
		simulation.update(func() { delete(simulation.members, nodes[5].member.Name) })
		advance(3 * membersReadInterval)
		synctest.Wait()
		assert.Equal(t, nodes[0].Instances(), 8)
	})
}

func TestStoreCallsAreLimitedDuringOutage(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.storeDown = true })
		advance(10 * time.Second)
		simulation.resetStoreCalls()
		advance(32 * time.Second)
		calls := simulation.resetStoreCalls()
		// The two leaders of each failure domain try every interval, the others every 3.2 s.
		limit := 6*40 + len(nodes)*10 + len(nodes)
		assert.Assert(t, calls <= limit, "%d calls in 32 s, limit %d", calls, limit)
		simulation.update(func() { simulation.storeDown = false })
		simulation.publish(2)
		assertVersionReachesAll(t, 2, nodes)
	})
}

func TestStoreCallsAreLimitedAfterOutage(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.storeDown = true })
		advance(10 * time.Second)
		simulation.update(func() { simulation.storeDown = false })
		simulation.resetStoreCalls()
		advance(time.Second)
		calls := simulation.resetStoreCalls()
		assert.Assert(t, calls < 2*len(nodes), "%d calls in the first second", calls)
	})
}

func TestSlowStoreIsReadByFewInstances(t *testing.T) {
	runWithFleet(t, 60, func(simulation *fleetSimulation, nodes []*node) {
		for _, node := range nodes {
			node.SetChangeDeadline(6 * time.Second)
		}
		simulation.addServers(200)
		simulation.update(func() {
			simulation.callDelay, simulation.serversReadTime = 300*time.Millisecond, 600*time.Millisecond
			simulation.heartbeatBytes = 0
		})
		simulation.resetStoreCalls()
		const seconds = 6
		for i := range 2 * seconds {
			simulation.update(func() { simulation.servers[i].State = parser.Leaving })
			advance(500 * time.Millisecond)
		}
		calls := simulation.resetStoreCalls()
		assert.Assert(t, calls <= len(nodes), "%d calls in %d s by %d instances", calls, seconds, len(nodes))
		rate := simulation.heartbeatBytes / len(nodes) / seconds
		assert.Assert(t, rate <= controlBytesPerSecondLimit, "%d bytes per second and instance", rate)
	})
}

func TestServerIsEjectedWhereItsFaultIsCertain(t *testing.T) {
	cases := []struct {
		name         string
		suspicion    examiner.Suspicion
		serverDomain string
		wantAll      bool
	}{
		{"slow, in the reporters' failure domain", examiner.Slow, "dakar-0", true},
		{"slow, in another failure domain", examiner.Slow, "dakar-1", false},
		{"failing, in the reporters' failure domain", examiner.Failing, "dakar-0", true},
		{"failing, in another failure domain", examiner.Failing, "dakar-1", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
				simulation.addServers(100)
				simulation.update(func() { simulation.servers[7].FailureDomain = c.serverDomain })
				advance(applyTimeLimit)
				token := simulation.servers[7].Token
				for _, node := range nodes[4:7] {
					node.Relayer.ReportSuspicion(token, c.suspicion)
					advance(500 * time.Millisecond)
				}
				advance(2*(reportInterval+tickInterval) + 10*time.Millisecond)
				for _, node := range nodes {
					want := c.wantAll || node.member.FailureDomain == "dakar-0"
					assert.Equal(t, slices.Contains(node.ejected, token), want, "%s", node.member.Name)
				}
			})
		})
	}
}

func TestNoServerIsEjectedWhenManyAreSlow(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(100)
		for round := range 3 {
			for token := range uint32(60) {
				nodes[4+(int(token)+round)%6].Relayer.ReportSuspicion(token+1, examiner.Slow)
				advance(30 * time.Millisecond)
			}
		}
		for _, node := range nodes {
			assert.Assert(t, len(node.ejected) <= 10, "%s ejected %d servers", node.member.Name, len(node.ejected))
		}
	})
}

func TestFewServersAreEjectedWhenMostAreSuspected(t *testing.T) {
	for suspicion, maxShare := range map[examiner.Suspicion]float64{examiner.Slow: maxSlowShare, examiner.Failing: maxFailingShare} {
		t.Run(suspicion.String(), func(t *testing.T) {
			runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
				simulation.addServers(100)
				for _, node := range nodes {
					node.failureCounter = examiner.NewFailureDetector()
				}
				simulation.update(func() { simulation.heartbeatBytes = 0 })
				const seconds = 6
				for i := range seconds * 100 {
					for j, node := range nodes[leadersPerDomain:30] {
						node.Relayer.ReportSuspicion(uint32(1+(i+3*j)%80), suspicion)
					}
					advance(10 * time.Millisecond)
				}
				ejected := map[uint32]bool{}
				for _, token := range nodes[10].ejected {
					ejected[token] = true
				}
				limit := int(maxShare*float64(len(simulation.servers))) + 1
				assert.Assert(t, len(ejected) <= limit, "%d servers, limit %d", len(ejected), limit)
				rate := simulation.heartbeatBytes / 30 / seconds
				assert.Assert(t, rate <= 2*controlBytesPerSecondLimit, "%d bytes per second and instance", rate)
			})
		})
	}
}

func TestInstanceCutOffFromAllOthersReadsTheStoreInTime(t *testing.T) {
	for _, deadline := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
			for i, node := range nodes {
				node.SetChangeDeadline(deadline)
				if i%3 == 2 {
					simulation.update(func() { simulation.cutOff[node.member.Name] = true })
				}
			}
			for version := range uint64(3) {
				simulation.publish(version + 2)
				advance(deadline * 2 / 3)
				for _, node := range nodes {
					assert.Assert(t, node.hasVersion(version+2), "%s lacks version %d", node.member.Name, version+2)
				}
			}
		})
	}
}
