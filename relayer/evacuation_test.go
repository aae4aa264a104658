package relayer

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// evacuationLimit is the required time within which the servers of an evacuated failure
	// domain get no new flows. While the store works it is kept twice over.
	evacuationLimit     = 5 * time.Second
	calmEvacuationLimit = evacuationLimit / 2
)

// evacuate replaces the evacuated failure domains in the store.
func (simulation *fleetSimulation) evacuate(domains ...string) {
	simulation.update(func() { simulation.evacuated = domains })
}

// assertEvacuated checks that exactly these failure domains are evacuated on every node.
func assertEvacuated(t *testing.T, nodes []*node, domains ...string) {
	t.Helper()
	for _, node := range nodes {
		evacuations := node.viewer.Current().Evacuations
		assert.Assert(t, slices.Equal(evacuations.List(), domains), "%s has %v, not %v", node.member.Name, evacuations, domains)
	}
}

// runEvacuation is runWithFleet with the deadline that evacuationLimit sets, and one server in
// each failure domain.
func runEvacuation(t *testing.T, count int, test func(simulation *fleetSimulation, nodes []*node)) {
	t.Helper()
	runWithFleet(t, count, func(simulation *fleetSimulation, nodes []*node) {
		for _, node := range nodes {
			node.SetChangeDeadline(evacuationLimit)
		}
		simulation.update(func() {
			simulation.servers = nil
			for domain := range 3 {
				server := backendServer(fmt.Sprintf("i-%d", domain), parser.Active)
				server.FailureDomain = fmt.Sprintf("dakar-%d", domain)
				simulation.servers = append(simulation.servers, server)
			}
		})
		advance(applyTimeLimit)
		test(simulation, nodes)
	})
}

func TestEvacuationsReachAllInstancesInTime(t *testing.T) {
	series := [][]string{{"dakar-1"}, {}, {"dakar-0", "dakar-1"}, {"dakar-1", "dakar-2"}, {"dakar-0", "dakar-1", "dakar-2"}, {"no-such-domain"}, {}}
	cases := []struct {
		name    string
		limit   time.Duration
		disturb func(simulation *fleetSimulation, nodes []*node)
	}{
		{"calm", calmEvacuationLimit, func(*fleetSimulation, []*node) {}},
		{"slow store", calmEvacuationLimit, func(simulation *fleetSimulation, _ []*node) {
			simulation.callDelay, simulation.serversReadTime = 300*time.Millisecond, 600*time.Millisecond
		}},
		{"store whose lists of servers take as long as a call may", 1500 * time.Millisecond, func(simulation *fleetSimulation, _ []*node) {
			simulation.serversReadTime = 1500 * time.Millisecond
		}},
		{"store that rejects a failure domain and the leaders", evacuationLimit, func(simulation *fleetSimulation, nodes []*node) {
			for i, node := range nodes {
				simulation.rejectedByStore[node.member.Name] = i%10 < leadersPerDomain || node.member.FailureDomain == "dakar-0"
			}
		}},
		{"instances cut off from all others", evacuationLimit, func(simulation *fleetSimulation, nodes []*node) {
			for i, node := range nodes {
				simulation.cutOff[node.member.Name] = i%3 == 2
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runEvacuation(t, 10, func(simulation *fleetSimulation, nodes []*node) {
				simulation.update(func() { test.disturb(simulation, nodes) })
				for i, domains := range series {
					simulation.evacuate(domains...)
					advance(test.limit + time.Duration(i)*37*time.Millisecond)
					assertEvacuated(t, nodes, domains...)
					for _, node := range nodes {
						left := 3 - len(domains)
						if slices.Contains(domains, "no-such-domain") {
							left = 3
						}
						assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), left)
					}
				}
				for _, node := range nodes {
					assert.Equal(t, node.evacuationChanges.Load(), int64(len(series)), "%s", node.member.Name)
				}
			})
		})
	}
}

func TestEvacuationSurvivesTheReadersThatReadIt(t *testing.T) {
	runEvacuation(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		reader := nodes[0]
		simulation.update(func() { simulation.cutOff[reader.member.Name] = true })
		simulation.evacuate("dakar-1")
		for !reader.viewer.Current().Evacuations.Contains("dakar-1") {
			advance(time.Millisecond)
		}
		reader.kill()
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes[1:], "dakar-1")
	})
}

func TestEvacuationBetweenTwoCallsOfOneReadIsNotMissed(t *testing.T) {
	runEvacuation(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.nextEvacuated = []string{"dakar-2"} })
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes, "dakar-2")
		advance(2 * saveInterval)
		saved, err := simulation.saved.decode()
		assert.NilError(t, err)
		assert.DeepEqual(t, saved.Evacuations.List(), []string{"dakar-2"})
	})
}

func TestPartitionedFailureDomainLearnsEvacuationsWhenItIsBack(t *testing.T) {
	runEvacuation(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.evacuate("dakar-1")
		advance(calmEvacuationLimit)
		simulation.update(func() { simulation.partitioned["dakar-0"] = true })
		simulation.evacuate("dakar-2")
		advance(10 * time.Second)
		assertEvacuated(t, nodes[:10], "dakar-1")
		assertEvacuated(t, nodes[10:], "dakar-2")
		simulation.update(func() { delete(simulation.partitioned, "dakar-0") })
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes, "dakar-2")
	})
}

// An instance that is paused neither reads nor receives; what was sent meanwhile is lost here.
func TestResumedInstancesLearnEvacuations(t *testing.T) {
	runEvacuation(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		for paused := range 10 { // the reader, leaders and others
			name := nodes[3*paused].member.Name
			domains := []string{fmt.Sprintf("dakar-%d", paused%3)}
			simulation.update(func() { simulation.cutOff[name], simulation.rejectedByStore[name] = true, true })
			simulation.evacuate(domains...)
			advance(evacuationLimit)
			simulation.update(func() {
				delete(simulation.cutOff, name)
				delete(simulation.rejectedByStore, name)
			})
			advance(calmEvacuationLimit)
			assertEvacuated(t, nodes, domains...)
		}
	})
}

func TestRestartedFleetKeepsEvacuations(t *testing.T) {
	runEvacuation(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.evacuate("dakar-1")
		advance(calmEvacuationLimit)
		simulation.restart(t, nodes, time.Second, func() {})
		advance(3 * storeDelay / 2) // one call: the saved snapshot is loaded
		assertEvacuated(t, nodes, "dakar-1")
		simulation.restart(t, nodes, time.Second, func() { simulation.evacuated = nil })
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes)
		simulation.restart(t, nodes, time.Second, func() { simulation.evacuated = []string{"dakar-2"} })
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes, "dakar-2")
	})
}

func TestEvacuationSurvivesRestartsOfAllInstancesInAnOutage(t *testing.T) {
	runEvacuation(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		simulation.evacuate("dakar-1")
		advance(calmEvacuationLimit)
		simulation.update(func() { simulation.storeDown = true })
		for i := range nodes { // one after the other
			simulation.restart(t, nodes[i:i+1], 100*time.Millisecond, func() {})
			advance(2 * time.Second)
			assertEvacuated(t, nodes, "dakar-1")
		}
	})
}

func TestSavedSnapshotFollowsEvacuations(t *testing.T) {
	runEvacuation(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		for i, domains := range [][]string{{"dakar-1"}, {"dakar-1", "dakar-2"}, {}} {
			simulation.evacuate(domains...)
			advance(applyTimeLimit)
			saved, err := simulation.saved.decode()
			assert.NilError(t, err)
			assert.Assert(t, slices.Equal(saved.Evacuations.List(), domains), "step %d: %v", i, saved.Evacuations)
			simulation.resetStoreCalls()
			advance(8 * time.Second)
			calls := simulation.resetStoreCalls()
			assert.Assert(t, calls <= 14, "%d calls in 8 s in which nothing changes", calls)
		}
	})
}

func TestOlderMessagesDoNotEndAnEvacuation(t *testing.T) {
	newer, older := &viewer.Evacuations{Revision: 9, Domains: []string{"dakar-1"}}, &viewer.Evacuations{Revision: 8}
	message := func(evacuations *viewer.Evacuations, revision uint64) []byte {
		return encode(Heartbeat{Sender: backendMember("lb-1"), ServersRevision: revision, ConfigurationVersion: 1, Evacuations: evacuations})
	}
	snapshot := encode(snapshotEnvelope{Content: encode(Snapshot{Evacuations: older, Servers: &viewer.Servers{Revision: 20}})})
	relayer := newMuteRelayer(snapshot)
	assert.NilError(t, relayer.Receive(t.Context(), message(newer, 1)))
	for _, content := range [][]byte{message(older, 1), message(nil, 1), message(older, 30)} { // also from one whose servers are newer
		assert.NilError(t, relayer.Receive(t.Context(), content))
		assert.DeepEqual(t, relayer.viewer.Current().Evacuations, newer)
	}
	relayer.fetch(t.Context(), backendMember("lb-1"))
	assert.Equal(t, relayer.viewer.Current().Servers.Revision, uint64(20))
	assert.DeepEqual(t, relayer.viewer.Current().Evacuations, newer)
}

func TestDomainIsLeftWhileAnInstanceIsOutsideTheEvacuatedOnes(t *testing.T) {
	relayer, stranger := newMuteRelayer(nil), backendMember("lb-2")
	stranger.FailureDomain = "dakar-1"
	own := &viewer.Evacuations{Revision: 1, Domains: []string{"dakar-0"}}
	assert.Assert(t, relayer.HasDomainLeft(nil))
	assert.Assert(t, !relayer.HasDomainLeft(own))
	relayer.addMembers([]Member{stranger}, time.Now())
	assert.Assert(t, relayer.HasDomainLeft(own))
	assert.Assert(t, !relayer.HasDomainLeft(&viewer.Evacuations{Revision: 2, Domains: []string{"dakar-0", "dakar-1"}}))
}

func TestSnapshotsCarryEvacuations(t *testing.T) {
	evacuations := &viewer.Evacuations{Revision: 9, Domains: []string{"dakar-1"}}
	relayer := newMuteRelayer(encode(snapshotEnvelope{Content: encode(Snapshot{Evacuations: evacuations})}))
	relayer.fetch(t.Context(), backendMember("lb-1"))
	assert.DeepEqual(t, relayer.viewer.Current().Evacuations, evacuations)
	for _, number := range []uint64{0, 1} { // for an instance without a view, and for one that has the servers
		snapshot, _, err := decodeSnapshot(relayer.Snapshot(number, viewer.Revision{Number: number}))
		assert.NilError(t, err)
		assert.DeepEqual(t, snapshot.Evacuations, evacuations)
	}
	newer := &viewer.Evacuations{Revision: 10}
	relayer.applyEvacuations(newer, "store")
	snapshot, _, err := decodeSnapshot(relayer.Snapshot(1, viewer.Revision{Number: 1}))
	assert.NilError(t, err)
	assert.DeepEqual(t, snapshot.Evacuations, newer)
	invalid := encode(snapshotEnvelope{Content: encode(Snapshot{Evacuations: &viewer.Evacuations{Revision: 11, Domains: []string{""}}})})
	_, _, err = decodeSnapshot(invalid)
	assert.ErrorContains(t, err, "not in order")
}

func TestSnapshotThatAnotherInstanceSavedWithoutAnEvacuationIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relayer := newMuteRelayer(nil)
		simulation := relayer.source.(*node).simulation
		relayer.schedule.isLeader, relayer.hasReadMembers = true, true
		relayer.viewer.ApplyEvacuations(&viewer.Evacuations{Revision: 9, Domains: []string{"dakar-1"}})
		simulation.update(func() {
			simulation.saved = SavedSnapshot{ConfigurationVersion: 1, ServersRevision: viewer.Revision{Era: 1, Number: 1}, ObjectRevision: viewer.Revision{Era: 1, Number: 12}}
		})
		for range 2 {
			relayer.saveSnapshot(t.Context())
			advance(saveInterval)
		}
		assert.DeepEqual(t, simulation.saved.EvacuatedDomains, []string{"dakar-1"})
	})
}

// outbox is a network that counts the datagrams to each address.
type outbox struct {
	mute
	sent map[netip.AddrPort]int
}

func (outbox outbox) Drained() time.Time { return time.Now() }

func (outbox outbox) Send(to netip.AddrPort, _ []byte) { outbox.sent[to]++ }

func TestNewEvacuationsArePassedOnAndOlderOnesAnswered(t *testing.T) {
	neighbor, stranger := backendMember("lb-1"), backendMember("lb-2")
	stranger.FailureDomain, stranger.PeerAddress = "dakar-1", netip.MustParseAddrPort("10.1.0.9:7720")
	older, newer := &viewer.Evacuations{Revision: 8}, &viewer.Evacuations{Revision: 9, Domains: []string{"dakar-1"}}
	cases := []struct {
		name                   string
		known, received        *viewer.Evacuations
		sender                 Member
		isLeader, isAnswer     bool
		toNeighbor, toStranger int
	}{
		{"new ones of another failure domain", older, newer, stranger, true, false, 1, 0},
		{"new ones of the own failure domain", older, newer, neighbor, true, false, 0, 0},
		{"new ones at an instance that is no leader", older, newer, stranger, false, false, 0, 0},
		{"the same at a newer revision", &viewer.Evacuations{Revision: 7}, older, stranger, true, false, 0, 0},
		{"older ones", newer, older, stranger, true, false, 0, 1},
		{"none", newer, nil, stranger, false, false, 0, 1},
		{"older ones in an answer", newer, older, stranger, true, true, 0, 0},
		{"the same at an older revision", &viewer.Evacuations{Revision: 10, Domains: newer.Domains}, newer, stranger, true, false, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			relayer, outbox := newMuteRelayer(nil), outbox{sent: map[netip.AddrPort]int{}}
			relayer.network = outbox
			relayer.addMembers([]Member{neighbor, stranger}, time.Now())
			relayer.schedule.isLeader = test.isLeader
			relayer.viewer.ApplyEvacuations(test.known)
			relayer.markFresh(1, time.Now())                                                      // so that the heartbeat is no fresher
			relayer.members[test.sender.Name].answeredAt = time.Now().Add(-keepaliveInterval / 2) // and no keepalive is due
			heartbeat := Heartbeat{Sender: test.sender, ServersRevision: 1, ConfigurationVersion: 1, Evacuations: test.received, IsAnswer: test.isAnswer}
			assert.NilError(t, relayer.Receive(t.Context(), encode(heartbeat)))
			assert.Equal(t, outbox.sent[neighbor.PeerAddress], test.toNeighbor)
			assert.Equal(t, outbox.sent[stranger.PeerAddress], test.toStranger)
		})
	}
}

func TestManyEvacuationsFitOneDatagram(t *testing.T) {
	runEvacuation(t, 3, func(simulation *fleetSimulation, nodes []*node) {
		var domains []string
		for i := range maxEvacuatedDomains + 8 {
			domains = append(domains, fmt.Sprintf("dakar-plateau-%02d", i))
		}
		simulation.evacuate(domains...)
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes, domains[:maxEvacuatedDomains]...)
		assert.Assert(t, slices.ContainsFunc(nodes, func(node *node) bool { return slices.Contains(node.ignored, domains[maxEvacuatedDomains]) }))
		for i := range maxReportedEjections {
			nodes[0].queueForDomain([]Ejection{{Token: uint32(1<<31 + i), Duration: 9 * time.Second, IsSlow: true}})
		}
		simulation.addServers(5)
		simulation.update(func() { simulation.configuration = configurationWithRoutes(2, 6) })
		advance(applyTimeLimit)
		synctest.Wait()
		assert.Assert(t, simulation.longestHeartbeat <= maxHeartbeatSize, "a heartbeat had %d bytes", simulation.longestHeartbeat)
		simulation.evacuate("a", strings.Repeat("b", maxEvacuatedBytes))
		advance(calmEvacuationLimit)
		assertEvacuated(t, nodes, "a")
	})
}
