package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// warmUpTime is the warm-up of a server that turns cold in these tests.
const warmUpTime = 10 * time.Second

// writeWarmUp writes the remaining warm-up of the server a into the store, 0 for a warm one.
func (simulation *fleetSimulation) writeWarmUp(remaining time.Duration) {
	simulation.update(func() {
		delete(simulation.coldEntries, "a")
		if remaining > 0 {
			simulation.coldEntries["a"] = coldEntry{revision: simulation.revision + 1, remaining: remaining}
		}
	})
}

// stateRate publishes a configuration that states the rate of cold servers.
func (simulation *fleetSimulation) stateRate(version uint64) {
	simulation.update(func() {
		simulation.configuration = &viewer.Configuration{Version: version, Services: []viewer.Service{{Name: "desk-sync", WarmUp: warmUpTime, WarmUpRate: 20}}}
	})
}

// serverA returns the server a as the node knows it.
func (node *node) serverA() viewer.BackendServer {
	if servers := node.viewer.Current().Servers; servers != nil {
		for _, server := range servers.List {
			if server.Name == "a" {
				return server
			}
		}
	}
	return viewer.BackendServer{}
}

// assertSameWarmUp checks that all nodes know the server a as cold until end at least, by at
// most late more, and agree on its sharers, and returns these.
func assertSameWarmUp(t *testing.T, nodes []*node, end time.Time, late time.Duration) viewer.Sharers {
	t.Helper()
	for _, node := range nodes {
		server := node.serverA()
		excess := server.ColdUntil.Sub(end)
		assert.Assert(t, excess >= 0 && excess <= late, "%s knows an end that is %s late", node.member.Name, excess)
		assert.Equal(t, server.Sharers, nodes[0].serverA().Sharers, "%s", node.member.Name)
	}
	return nodes[0].serverA().Sharers
}

func TestServerThatTurnsColdIsKnownToAll(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		for range 3 { // once after its start, and twice again
			advance(20 * time.Second)
			end := time.Now().Add(warmUpTime)
			simulation.writeWarmUp(warmUpTime)
			advance(applyTimeLimit)
			sharers := assertSameWarmUp(t, nodes, end, ReadInterval+100*time.Millisecond)
			assert.Equal(t, sharers.Count(), 0, "no rate is stated")
			simulation.writeWarmUp(time.Until(end)) // the server's next entry
			advance(applyTimeLimit)
			assertSameWarmUp(t, nodes, end, ReadInterval+100*time.Millisecond)
			simulation.writeWarmUp(warmUpTime) // it turns cold again before it is warm
			end = time.Now().Add(warmUpTime)
			advance(applyTimeLimit)
			assertSameWarmUp(t, nodes, end, ReadInterval+100*time.Millisecond)
			simulation.writeWarmUp(0)
		}
	})
}

func TestAllInstancesAgreeWhoSharesTheRateOfAColdServer(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		simulation.servers[0].FailureDomain = "dakar-1"
		advance(6 * time.Second)
		end := time.Now().Add(warmUpTime)
		simulation.writeWarmUp(warmUpTime)
		advance(applyTimeLimit)
		sharers := assertSameWarmUp(t, nodes, end, ReadInterval+100*time.Millisecond)
		for _, node := range nodes {
			if sharers.Contains(viewer.InstanceHash(node.member.Name)) {
				assert.Equal(t, node.member.FailureDomain, "dakar-1")
			}
		}
		assert.Equal(t, sharers.Count(), 2)
		nodes[90-1].kill() // a change of the members changes no choice
		simulation.startNode(t, "lb-1-new", 1, 99)
		simulation.writeWarmUp(time.Until(end))
		advance(applyTimeLimit)
		assert.Equal(t, assertSameWarmUp(t, nodes[:89], end, ReadInterval+100*time.Millisecond), sharers)
		simulation.writeWarmUp(0)
		advance(applyTimeLimit)
		for _, node := range nodes[:89] {
			server := node.serverA()
			assert.Assert(t, server.ColdUntil.IsZero() && server.Sharers.Count() == 0, "%s was not told that the server is warm", node.member.Name)
		}
	})
}

func TestNewServerIsSharedFromItsFirstEntry(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		advance(6 * time.Second)
		simulation.update(func() {
			simulation.coldEntries["c"] = coldEntry{revision: simulation.revision + 1, remaining: warmUpTime}
			simulation.servers = append(simulation.servers, backendServer("c", parser.Active))
		})
		for range 30 {
			advance(100 * time.Millisecond)
			for _, node := range nodes {
				for _, server := range node.viewer.Current().Servers.List {
					assert.Assert(t, server.Name != "c" || server.Sharers.Count() == 2, "%s", node.member.Name)
				}
			}
		}
		assert.Equal(t, len(nodes[29].viewer.Current().Servers.List), 3)
	})
}

func TestRestartOfAllInstancesKeepsTheSharers(t *testing.T) {
	runWithFleet(t, 20, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		advance(6 * time.Second)
		end := time.Now().Add(time.Minute)
		simulation.writeWarmUp(time.Minute)
		advance(applyTimeLimit)
		sharers := assertSameWarmUp(t, nodes, end, ReadInterval+100*time.Millisecond)
		simulation.restart(t, nodes, 0, func() {})
		for range 10 {
			advance(500 * time.Millisecond)
			// The saved snapshot says what remained when it was written.
			assert.Equal(t, assertSameWarmUp(t, nodes, end, 6*time.Second), sharers)
		}
	})
}

func TestNewFleetChoosesNoSharersBeforeItIsComplete(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		late := simulation.startNode(t, "lb-0-late", 0, 77)
		for _, node := range nodes {
			node.kill()
		}
		end := time.Now().Add(time.Minute)
		for time.Until(end) > time.Minute-choiceDelay {
			assert.Equal(t, late.serverA().Sharers.Count(), 0, "this instance has just started")
			simulation.writeWarmUp(time.Until(end))
			advance(250 * time.Millisecond)
		}
		for range 40 {
			simulation.writeWarmUp(time.Until(end))
			advance(250 * time.Millisecond)
		}
		assert.Equal(t, late.serverA().Sharers.Count(), 2)
	})
}

func TestInstancesThatReadTheStoreThemselvesChooseTheSame(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		advance(30 * time.Second)
		simulation.update(func() {
			for i, node := range nodes {
				simulation.cutOff[node.member.Name] = i%3 == 0
			}
		})
		advance(15 * time.Second)
		simulation.writeWarmUp(time.Minute)
		advance(2 * applyTimeLimit)
		simulation.writeWarmUp(time.Minute - 2*applyTimeLimit)
		advance(2 * applyTimeLimit)
		for _, node := range nodes {
			assert.Equal(t, node.serverA().Sharers.Count(), 2, "%s", node.member.Name)
			assert.Equal(t, node.serverA().Sharers, nodes[0].serverA().Sharers, "%s", node.member.Name)
		}
	})
}

func TestDomainThatWasCutOffLearnsOfAColdServer(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.stateRate(2)
		advance(6 * time.Second)
		simulation.update(func() { simulation.partitioned["dakar-2"] = true })
		advance(applyTimeLimit)
		end := time.Now().Add(time.Minute)
		simulation.writeWarmUp(time.Minute)
		advance(applyTimeLimit)
		assertSameWarmUp(t, nodes[:20], end, ReadInterval+100*time.Millisecond)
		simulation.update(func() { simulation.partitioned["dakar-2"] = false })
		advance(applyTimeLimit)
		sharers := assertSameWarmUp(t, nodes, end, 8*time.Second)
		assert.Equal(t, sharers.Count(), 2)
	})
}

func TestQuietFleetExchangesNothingMoreAfterAWarmUp(t *testing.T) {
	bytes := map[bool]int{}
	for _, wasCold := range []bool{false, true} {
		runWithFleet(t, 10, func(simulation *fleetSimulation, _ []*node) {
			if wasCold {
				simulation.stateRate(2)
				advance(6 * time.Second)
				simulation.writeWarmUp(time.Second)
				advance(2 * time.Second)
				simulation.writeWarmUp(0)
			}
			advance(time.Minute)
			simulation.update(func() { simulation.heartbeatBytes = 0 })
			advance(time.Minute)
			simulation.mutex.Lock()
			defer simulation.mutex.Unlock()
			bytes[wasCold] = simulation.heartbeatBytes
		})
	}
	// Either minute may contain one announcement to all more than the other.
	round := bytes[false] * int(ReadInterval) / int(time.Minute)
	assert.Assert(t, bytes[true]-bytes[false] <= 2*round, "%v", bytes)
}
