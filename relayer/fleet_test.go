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

// applyLimit is the users' bound on a configuration and on new flows to a server that leaves.
const applyLimit = 3 * time.Second

// assertKnown lets the bound pass and checks that every instance has the version.
func assertKnown(t *testing.T, version uint64, nodes []*node) {
	t.Helper()
	pass(applyLimit)
	for _, node := range nodes {
		assert.Assert(t, node.knows(version), "%s lacks version %d", node.member.Name, version)
	}
}

func (world *world) publish(version uint64) {
	world.change(func() { world.configuration = &viewer.Configuration{Version: version} })
}

func TestOneInstanceReadsForAll(t *testing.T) {
	for _, count := range []int{1, 3, 30} {
		play(t, count, func(world *world, _ []*node) {
			world.takeCalls()
			pass(time.Minute)
			calls := world.takeCalls()
			// One probe an interval, and the list of members every ten seconds.
			limit := int(time.Minute/ReadInterval) + int(time.Minute/directoryInterval) + 2
			assert.Assert(t, calls <= limit, "%d instances made %d calls in a quiet minute, limit %d", 3*count, calls, limit)
		})
	}
}

func TestAChangeIsKnownEverywhereInTime(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		for version := uint64(2); version < 20; version++ {
			world.publish(version)
			assertKnown(t, version, nodes)
			pass(37 * time.Millisecond)
		}
	})
}

func TestAChangeBetweenTwoCallsOfAReadIsNotMissed(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.nextVersion = 2 }) // any change has the store read
		assertKnown(t, 2, nodes)
	})
}

func TestALeavingServerIsKnownEverywhereInTime(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.servers[0] = backendServer("a", parser.Leaving) })
		pass(applyLimit)
		for _, node := range nodes {
			active := node.viewer.Current().Active("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
		}
	})
}

func TestAChangeOfFewServersTravelsInHeartbeats(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.addServers(400)
		world.change(func() { world.fetched = 0 })
		for i := range 20 {
			world.change(func() {
				world.servers[2*i+7].State = parser.Leaving
				world.servers = slices.Delete(slices.Clone(world.servers), 300, 301)
			})
			pass(time.Second)
		}
		pass(applyLimit)
		want := (&viewer.Servers{List: world.servers}).Digest()
		for _, node := range nodes {
			assert.Equal(t, node.viewer.Current().Servers.Digest(), want, "%s", node.member.Name)
		}
		assert.Assert(t, world.longest <= 1200, "a heartbeat had %d bytes", world.longest)
		assert.Assert(t, world.fetched == 0, "%d bytes of views were fetched", world.fetched)
	})
}

func TestAFleetThatStartsReadsLongListsFromTheStore(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.addServers(smallList)
		world.change(func() { world.listTime, world.fetched = 900*time.Millisecond, 0 })
		for i, node := range nodes[1:] {
			node.kill()
			nodes[i+1] = world.start(t, node.member.Name, (i+1)/30, byte((i+1)%30))
		}
		pass(time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.knows(1), "%s has no view", node.member.Name)
		}
		assert.Equal(t, world.fetched, 0)
	})
}

// controlLimit is the users' bound on what an instance spends on control, in bytes a second.
const controlLimit = 5000

func TestTheStartOfALargeFleetStaysWithinTheBoundOnControl(t *testing.T) {
	play(t, 100, func(world *world, nodes []*node) {
		told := world.told / len(nodes) / 5 // play lets five seconds pass
		assert.Assert(t, told <= controlLimit, "%d bytes a second and instance", told)
		for _, node := range nodes {
			assert.Equal(t, node.Instances(), len(nodes), "%s", node.member.Name)
		}
	})
}

func TestADomainWhoseLeadsDieIsToldInTime(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		for range leadsPerDomain {
			nodes[30].kill()
			nodes = slices.Delete(nodes, 30, 31)
		}
		for version := range uint64(4) {
			world.change(func() { world.configuration = &viewer.Configuration{Version: version + 2} })
			pass(applyLimit)
			for _, node := range nodes {
				assert.Assert(t, node.knows(version+2), "%s has not taken the change", node.member.Name)
			}
		}
	})
}

func TestAChangeOfFewRoutesTravelsInHeartbeats(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.change(func() { world.configuration = longConfiguration(2, 500) })
		pass(2 * applyLimit)
		world.change(func() { world.fetched = 0 })
		for i := range uint64(10) {
			world.change(func() {
				next := longConfiguration(3+i, 500)
				next.Routes = slices.Delete(next.Routes, int(i), int(i)+1)
				world.configuration = next
			})
			pass(time.Second)
		}
		pass(applyLimit)
		for _, node := range nodes {
			view := node.viewer.Current()
			assert.Assert(t, node.knows(12), "%s", node.member.Name)
			for _, route := range world.configuration.Routes {
				assert.Assert(t, view.Route(route.Address) != nil, "%s lacks %s", node.member.Name, route.Name)
			}
			assert.Equal(t, len(view.Configuration.Routes), 499)
		}
		assert.Assert(t, world.longest <= 1200, "a heartbeat had %d bytes", world.longest)
		assert.Assert(t, world.fetched == 0, "%d bytes of views were fetched", world.fetched)
	})
}

func TestADomainHoldsOffAServerThatItsInstancesSuspect(t *testing.T) {
	play(t, 10, func(world *world, nodes []*node) {
		for _, node := range nodes[4:7] {
			node.Relayer.ReportSuspicion(7)
		}
		pass(100 * time.Millisecond)
		for _, node := range nodes {
			want := node.member.FailureDomain == "dakar-0"
			assert.Equal(t, slices.Contains(node.failing, 7), want, "%s", node.member.Name)
		}
	})
}

func TestAServiceThatFailsAsAWholeDoesNotLoadThoseThatLead(t *testing.T) {
	play(t, 10, func(world *world, nodes []*node) {
		before := nodes[0].suspects
		for range 300 {
			for _, node := range nodes[4:7] {
				node.Relayer.ReportSuspicion(9)
			}
			pass(10 * time.Millisecond)
		}
		// Three seconds and the burst of three instances.
		heard := nodes[0].suspects - before
		assert.Assert(t, heard > 0 && heard <= 3*4*suspicionRate, "%d suspicions", heard)
	})
}

// TestALongConfigurationFitsTheBoundOnControl: 8,700 changes a day are one in ten seconds.
func TestALongConfigurationFitsTheBoundOnControl(t *testing.T) {
	play(t, 10, func(world *world, nodes []*node) {
		world.change(func() { world.configuration, world.fetched = longConfiguration(2, 2000), 0 })
		pass(applyLimit)
		for _, node := range nodes {
			configuration := node.viewer.Current().Configuration
			assert.Assert(t, node.knows(2) && len(configuration.Routes) == 2000, "%s", node.member.Name)
		}
		fetched := world.fetched / (len(nodes) - 1)
		assert.Assert(t, fetched <= 10*controlLimit, "%d bytes an instance", fetched)
	})
}

func TestAnInstanceThatMissedHeartbeatsFetchesOnlyTheChanges(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.addServers(400)
		world.change(func() { world.cut["dakar-0"] = true })
		for i := range 10 {
			world.change(func() { world.servers[i+7].State = parser.Leaving })
			pass(time.Second)
		}
		world.change(func() {
			world.fetched = 0
			delete(world.cut, "dakar-0")
		})
		pass(2 * applyLimit)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 392, "%s", node.member.Name)
		}
		assert.Assert(t, world.fetched < 10_000, "%d bytes of views were fetched", world.fetched)
	})
}

func TestAnotherInstanceReadsWhenTheReaderDies(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
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
			assertKnown(t, uint64(2+i), alive)
		}
	})
}

func TestInstancesThatTheStoreTurnsAwayAreToldByOthers(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() {
			for _, i := range []int{0, 3, 4, 5, 6} { // a whole failure domain and the first of the others
				world.deaf[nodes[i].member.Name] = true
			}
		})
		world.publish(2)
		assertKnown(t, 2, nodes)
	})
}

func TestACutOffDomainGoesOnAndCatchesUp(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.cut["dakar-0"] = true })
		world.publish(2)
		assertKnown(t, 2, nodes[3:])
		for _, node := range nodes[:3] {
			assert.Assert(t, node.knows(1))
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 2)
		}
		pass(10 * time.Second)
		world.change(func() { delete(world.cut, "dakar-0") })
		assertKnown(t, 2, nodes)
	})
}

func TestAnInstanceThatStartsBehindACutTakesItsViewFromAPeer(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.cut["dakar-0"] = true })
		for i, first := range []int{0, 1, 2} {
			nodes[first].kill()
			again := world.start(t, nodes[first].member.Name, 0, byte(i))
			pass(2 * time.Second)
			assert.Assert(t, again.knows(1), "%s has no view", again.member.Name)
			nodes[first] = again
		}
	})
}

func TestAStoreOutageChangesNothingAndLapsedServersComeBack(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.down = true })
		pass(10 * time.Second)
		world.change(func() {
			world.down = false
			world.servers = nil
		})
		pass(time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 2, "%s", node.member.Name)
		}
		world.change(func() { world.servers = []viewer.BackendServer{backendServer("b", parser.Active)} })
		pass(returnTime + 2*time.Second)
		synctest.Wait()
		for _, node := range nodes {
			active := node.viewer.Current().Active("desk-sync")
			assert.Equal(t, len(active), 1, "%s", node.member.Name)
			assert.DeepEqual(t, node.expired, []string{"a"})
		}
	})
}

func TestAPlannedStopHandsTheReadingOn(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		nodes[0].Leave()
		pass(100 * time.Millisecond)
		nodes[0].kill()
		world.publish(2)
		assertKnown(t, 2, nodes[1:])
	})
}

func TestInstancesThatAreGoneAreTakenOffTheList(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		nodes[2].kill()
		pass(memberLifetime + 3*directoryInterval)
		synctest.Wait()
		assert.Equal(t, len(world.members), 8)
		for i, node := range nodes {
			if i != 2 {
				assert.Assert(t, node.knows(1))
			}
		}
		assert.DeepEqual(t, nodes[0].lost, []string{"lb-0-2"})
	})
}

func TestAReaderForgetsInstancesThatAnotherTookOffTheList(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		nodes[5].kill()
		world.change(func() { delete(world.members, nodes[5].member.Name) })
		pass(3 * directoryInterval)
		synctest.Wait()
		assert.Equal(t, nodes[0].Instances(), 8)
	})
}

func TestAStoreThatIsAwayIsTriedByFew(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.change(func() { world.down = true })
		pass(10 * time.Second)
		world.takeCalls()
		pass(32 * time.Second)
		calls := world.takeCalls()
		// The two that lead each failure domain try every interval, the others every 3.2 s.
		limit := 6*40 + len(nodes)*10 + len(nodes)
		assert.Assert(t, calls <= limit, "%d calls in 32 s, limit %d", calls, limit)
		world.change(func() { world.down = false })
		world.publish(2)
		assertKnown(t, 2, nodes)
	})
}

func TestAStoreThatReturnsIsNotStormed(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.change(func() { world.down = true })
		pass(10 * time.Second)
		world.change(func() { world.down = false })
		world.takeCalls()
		pass(time.Second)
		calls := world.takeCalls()
		assert.Assert(t, calls < 2*len(nodes), "%d calls in the first second", calls)
	})
}
