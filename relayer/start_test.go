package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// restart kills the nodes and starts them again under their names after a pause; change
// alters the store in between.
func (simulation *fleetSimulation) restart(t *testing.T, nodes []*node, pause time.Duration, change func()) {
	t.Helper()
	for _, node := range nodes {
		node.kill()
	}
	advance(pause)
	simulation.update(change)
	for i, node := range nodes {
		address := node.member.PeerAddress.Addr().As4()
		nodes[i] = simulation.startNode(t, node.member.Name, int(address[1]), address[3])
	}
}

func TestNewFleetStartsWithFewStoreCalls(t *testing.T) {
	runWithFleet(t, 100, func(simulation *fleetSimulation, nodes []*node) {
		calls := simulation.resetStoreCalls()
		// Registration and two attempts to load the saved snapshot, and what the leaders read.
		limit := 3*len(nodes) + 100
		assert.Assert(t, calls <= limit, "%d calls, limit %d", calls, limit)
	})
}

func TestStartCostsTwoStoreCalls(t *testing.T) {
	runWithFleet(t, 60, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(600)
		simulation.resetStoreCalls()
		restarted := nodes[65:95]
		simulation.restart(t, restarted, time.Second, func() {})
		advance(200 * time.Millisecond)
		for _, node := range restarted {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 602, "%s", node.member.Name)
		}
		advance(4 * time.Second)
		calls := simulation.resetStoreCalls()
		limit := 2*len(restarted) + 40
		assert.Assert(t, calls <= limit, "%d calls for %d starts, limit %d", calls, len(restarted), limit)
		for _, node := range restarted {
			age := node.Age(time.Now())
			assert.Assert(t, age <= 2*ReadInterval, "the view of %s was confirmed %s ago", node.member.Name, age)
		}
	})
}

func TestWholeFleetStartsFromSavedSnapshot(t *testing.T) {
	runWithFleet(t, 60, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(600)
		simulation.update(func() { simulation.fetchedBytes, simulation.heartbeatBytes = 0, 0 })
		simulation.resetStoreCalls()
		simulation.restart(t, nodes, 2*time.Second, func() {
			simulation.configuration = &viewer.Configuration{Version: 2}
			simulation.servers[0].State = parser.Leaving
		})
		advance(100 * time.Millisecond)
		for _, node := range nodes {
			assert.Assert(t, node.viewer.Current().Complete(), "%s has no view", node.member.Name)
		}
		advance(900 * time.Millisecond)
		for _, node := range nodes {
			assert.Assert(t, node.hasVersion(2), "%s", node.member.Name)
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 601, "%s", node.member.Name)
		}
		advance(4 * time.Second)
		calls := simulation.resetStoreCalls()
		limit := 2*len(nodes) + 100
		assert.Assert(t, calls <= limit, "%d calls, limit %d", calls, limit)
		control := (simulation.fetchedBytes + simulation.heartbeatBytes) / len(nodes) / 5
		assert.Assert(t, control <= controlBytesPerSecondLimit, "%d bytes per second and instance", control)
	})
}

func TestSavedSnapshotFollowsTheStore(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		for version := range uint64(5) {
			simulation.publish(version + 2)
			advance(2 * saveInterval)
			assert.Equal(t, simulation.saved.ConfigurationVersion, version+2)
		}
		nodes[0].kill()
		simulation.publish(7)
		advance(applyTimeLimit)
		assert.Equal(t, simulation.saved.ConfigurationVersion, uint64(7))
	})
}

func TestPausedInstanceDoesNotSaveAnOlderSnapshot(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		old := nodes[3]
		view := old.viewer.Current()
		simulation.publish(2)
		advance(applyTimeLimit)
		resumed := simulation.startNode(t, "lb-1-0", 1, 0)
		resumed.viewer.ApplyConfiguration(view.Configuration)
		resumed.viewer.ApplyServers(view.Servers, time.Now())
		resumed.mutex.Lock()
		resumed.schedule.SetRank(1, true)
		resumed.hasReadMembers = true
		resumed.mutex.Unlock()
		resumed.saveSnapshot(resumed.ctx)
		assert.Equal(t, simulation.saved.ConfigurationVersion, uint64(2))
	})
}

func TestInvalidSavedSnapshotIsIgnoredAndReplaced(t *testing.T) {
	foreign := encode(snapshotEnvelope{Content: encode(Snapshot{
		Configuration: &viewer.Configuration{Version: 1 << 60},
		Servers:       &viewer.Servers{Revision: 1 << 60},
	})})
	incomplete := encode(snapshotEnvelope{Content: encode(Snapshot{})})
	cases := map[string][]byte{"empty": nil, "malformed": []byte("text"), "incomplete": incomplete, "of another store": foreign}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
				simulation.restart(t, nodes, time.Second, func() { simulation.saved.Content = content })
				simulation.publish(2)
				assertVersionReachesAll(t, 2, nodes)
				advance(2 * saveInterval)
				_, err := simulation.saved.decode()
				assert.NilError(t, err)
			})
		})
	}
}

func TestInstanceStartedWhileTheStoreHangsAsksTheSeeds(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.callDelay = 5 * time.Second })
		advance(time.Second)
		restarted := nodes[50:55]
		simulation.restart(t, restarted, 500*time.Millisecond, func() {})
		advance(retryInterval + 20*time.Millisecond)
		for _, node := range restarted {
			assert.Assert(t, node.viewer.Current().Complete(), "%s has no view", node.member.Name)
		}
	})
}

func TestLeaderStartedWhileTheStoreIsSlowIsConfirmedByOthers(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.callDelay = 300 * time.Millisecond })
		restarted := nodes[3:4]
		simulation.restart(t, restarted, 500*time.Millisecond, func() {})
		advance(350 * time.Millisecond)
		assert.Assert(t, restarted[0].Confirmed(time.Now()))
	})
}

// The last instance with a view, itself just started, passes it on although the store did not
// answer its first call.
func TestViewSurvivesRestartsOfAllInstancesInAnOutage(t *testing.T) {
	runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.storeDown, simulation.callDelay = true, 1500*time.Millisecond })
		simulation.restart(t, nodes[3:4], 100*time.Millisecond, func() {})
		advance(time.Second)
		others := append(append([]*node{}, nodes[:3]...), nodes[4:]...)
		simulation.restart(t, others, 300*time.Millisecond, func() {})
		advance(300 * time.Millisecond)
		for _, node := range others {
			assert.Assert(t, node.viewer.Current().Complete(), "%s has no view", node.member.Name)
		}
	})
}

// While servers change all the time, the reader spends no more than saveBytesPerSecond on the
// saved snapshot, however long it is.
func TestSavesOfLongSnapshotsAreLimited(t *testing.T) {
	runWithFleet(t, 4, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(4000)
		simulation.resetSaves()
		const seconds = 30
		for i := range seconds {
			simulation.changeServers(10*i, 10)
			advance(time.Second)
		}
		saved, size := simulation.resetSaves(), len(simulation.saved.Content)
		t.Logf("%d bytes a second, a snapshot has %d", saved/seconds, size)
		assert.Assert(t, saved <= seconds*saveBytesPerSecond+2*size, "%d bytes in %d s, a snapshot has %d", saved, seconds, size)
		assert.Assert(t, saved > 0)
		advance(maxSaveInterval)
		decoded, err := simulation.saved.decode()
		assert.NilError(t, err)
		assert.Equal(t, decoded.Servers.Digest(), (&viewer.Servers{List: simulation.servers}).Digest(), "the last change is saved too")
	})
}

// A fleet that is killed while its saved snapshot is old has the current view as soon as one
// whose snapshot is new.
func TestFleetStartsInTimeWithOldSnapshot(t *testing.T) {
	for name, evacuated := range map[string][]string{"servers": nil, "servers and evacuations": {"dakar-2"}} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
				simulation.addServers(4000)
				for i := range 3 {
					simulation.changeServers(20*i, 20)
					advance(time.Second)
				}
				simulation.update(func() { simulation.evacuated = evacuated })
				simulation.publish(2)
				advance(ReadInterval / 2)
				for _, node := range nodes {
					node.kill()
				}
				advance(300 * time.Millisecond)
				first := len(simulation.started)
				simulation.startFleet(t, 30)
				advance(time.Second)
				want := (&viewer.Servers{List: simulation.servers}).Digest()
				for _, node := range simulation.started[first:] {
					view := node.viewer.Current()
					assert.Assert(t, node.Confirmed(time.Now()) && node.hasVersion(2), "%s", node.member.Name)
					assert.Equal(t, view.Servers.Digest(), want, "%s", node.member.Name)
					assert.DeepEqual(t, view.Evacuations.List(), evacuated)
				}
			})
		})
	}
}

// resetSaves returns the bytes of all snapshots that were saved since the last reset.
func (simulation *fleetSimulation) resetSaves() int {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	saved := 0
	for _, node := range simulation.started {
		saved += node.savedBytes
		node.savedBytes = 0
	}
	return saved
}

// Evacuated failure domains do not wait until a long snapshot may be saved again, also if the store
// does not take the first write.
func TestEvacuationsAreSavedSoonWithLongSnapshot(t *testing.T) {
	runWithFleet(t, 4, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(4000)
		simulation.changeServers(0, 10)
		advance(2 * saveInterval)
		for _, evacuated := range [][]string{{"dakar-2"}, {"dakar-1", "dakar-2"}, nil} {
			simulation.update(func() { simulation.evacuated = evacuated })
			advance(ReadInterval / 2)
			simulation.update(func() { simulation.saved.ObjectRevision = simulation.now() }) // written by another instance
			advance(3 * saveInterval)
			decoded, err := simulation.saved.decode()
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded.Evacuations.List(), evacuated)
		}
	})
}
