package relayer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/viewer"
)

// alive returns the nodes that are not killed and reach the others.
func (simulation *fleetSimulation) alive() []*node {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(simulation.started), func(node *node) bool { return node.ctx.Err() != nil || simulation.cutOff[node.member.Name] })
}

func (node *node) HeartbeatPassedOn(int)  {}
func (node *node) SuspicionsReported(int) {}

func (node *node) AnnouncementMissed(time.Duration) {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	node.askedCount++
}

// calls returns the calls of the store by these nodes, and the announcements that they missed,
// since the last resetTraffic.
func (simulation *fleetSimulation) calls(nodes []*node) (calls, missed int) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	for _, node := range nodes {
		calls, missed = calls+node.storeCalls, missed+node.askedCount
	}
	return calls, missed
}

// The limits of the calls hold for direct announcements, too: the reader reads each interval,
// and the members every ten seconds; a change takes it two calls more, and one to save the
// snapshot. A slow store is read by several, and without leaders all read once, until the next
// two have taken their place.
func TestChangesReachAllAlthoughRelaysFail(t *testing.T) {
	const changes = 10
	cases := map[string]struct {
		step     time.Duration
		maxCalls int
		disturb  func(simulation *fleetSimulation, nodes []*node)
	}{
		"none": {2 * time.Second, 65, func(*fleetSimulation, []*node) {}},
		"a tenth dead": {2 * time.Second, 65, func(_ *fleetSimulation, nodes []*node) {
			for i := 5; i < 100; i += 10 {
				nodes[i].kill()
			}
		}},
		"half dead": {2 * time.Second, 65, func(_ *fleetSimulation, nodes []*node) {
			for i := 5; i < 100; i += 2 {
				nodes[i].kill()
			}
		}},
		"a fifth cut off or frozen": {2 * time.Second, 65, func(simulation *fleetSimulation, nodes []*node) {
			for i := 5; i < 100; i += 5 {
				simulation.update(func() { simulation.cutOff[nodes[i].member.Name] = true })
			}
		}},
		"a tenth dead and the store slow": {3 * time.Second, 1300, func(simulation *fleetSimulation, nodes []*node) {
			simulation.update(func() { simulation.callDelay = 300 * time.Millisecond })
			for i := 5; i < 100; i += 10 {
				nodes[i].kill()
			}
		}},
		"the leaders dead": {2 * time.Second, 600, func(_ *fleetSimulation, nodes []*node) { nodes[0].kill(); nodes[1].kill() }},
		"the leaders and a tenth dead": {2 * time.Second, 600, func(_ *fleetSimulation, nodes []*node) {
			for i := 0; i < 100; i += 10 {
				nodes[i].kill()
			}
			nodes[1].kill()
		}},
		"failure domain cut off from the others": {2 * time.Second, 115, func(simulation *fleetSimulation, nodes []*node) {
			simulation.update(func() {
				simulation.partitioned["dakar-1"] = true
			})
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runWithDomain(t, 100, func(simulation *fleetSimulation, nodes []*node) {
				simulation.resetTraffic()
				test.disturb(simulation, nodes)
				alive := simulation.alive()
				for version := range uint64(changes) {
					simulation.update(func() { simulation.configuration = &viewer.Configuration{Version: version + 2} })
					simulation.changeServers(int(version)*20, 20)
					advance(test.step)
					for _, node := range alive {
						if !simulation.partitioned[node.member.FailureDomain] {
							assert.Check(t, node.hasVersion(version+2), "%s lacks version %d", node.member.Name, version+2)
						}
					}
				}
				calls, missed := simulation.calls(alive)
				t.Logf("%d calls of the store, %d announcements missed", calls, missed)
				assert.Check(t, calls <= test.maxCalls, "%d calls, limit %d", calls, test.maxCalls)
			})
		})
	}
}

// Leaders that come back take their place again, and an instance that nobody answers does not
// become one in place of all others.
func TestNextInstancesLeadWhileTheLeadersAreAway(t *testing.T) {
	runWithDomain(t, 100, func(simulation *fleetSimulation, nodes []*node) {
		leads := func(node *node) bool { return node.isLeader() }
		setAway := func(away bool) {
			simulation.update(func() {
				for _, node := range append(slices.Clone(nodes[:2]), nodes[50]) {
					simulation.cutOff[node.member.Name] = away
				}
			})
			advance(2 * membersReadInterval)
		}
		setAway(true)
		assert.Assert(t, leads(nodes[2]) && leads(nodes[3]))
		for _, node := range nodes[4:100] {
			assert.Assert(t, !leads(node), "%s", node.member.Name)
		}
		setAway(false)
		assert.Assert(t, leads(nodes[0]) && leads(nodes[1]))
		for _, node := range nodes[2:100] {
			assert.Assert(t, !leads(node), "%s", node.member.Name)
		}
	})
}

// A relay that is paused does not pass on what waited in its socket, whose age is unknown.
func TestPausedRelayPassesNothingOn(t *testing.T) {
	for _, paused := range []bool{false, true} {
		runWithDomain(t, 30, func(simulation *fleetSimulation, nodes []*node) {
			relay, recipient := nodes[10], nodes[20]
			relay.SetPauseDetector(func(time.Time) bool { return paused })
			recipient.tree.heardAt = time.Time{}
			heartbeat := Heartbeat{Sender: nodes[0].member, InstanceCount: len(nodes), PassOn: []netip.AddrPort{recipient.member.PeerAddress}}
			assert.NilError(t, relay.Receive(relay.ctx, encode(heartbeat)))
			advance(2 * networkDelay)
			assert.Equal(t, recipient.tree.heardAt.IsZero(), paused)
		})
	}
}

// A relay that has to fetch passes the announcement on when it has, and its group fetches from
// it; a relay that cannot fetch passes it on as well, and the group fetches from the sender.
func TestGroupFetchesFromItsRelay(t *testing.T) {
	cases := map[string]struct {
		isRelayRefused            bool
		wantByRelay, wantByLeader int
	}{
		"relay has the view":   {false, 3, 1},
		"relay lacks the view": {true, 0, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runWithDomain(t, 30, func(simulation *fleetSimulation, nodes []*node) {
				leader, relay, group := nodes[0], nodes[10], nodes[11:14]
				for _, node := range nodes[1:] {
					simulation.update(func() { simulation.cutOff[node.member.Name] = true })
				}
				simulation.changeServers(0, 20)
				advance(time.Second)
				simulation.update(func() {
					for _, node := range append(slices.Clone(group), relay) {
						delete(simulation.cutOff, node.member.Name)
					}
					simulation.refusesFetch[relay.member.Name] = test.isRelayRefused
				})
				simulation.resetTraffic()
				leader.mutex.Lock()
				heartbeat := leader.newHeartbeat(time.Now(), false)
				leader.mutex.Unlock()
				heartbeat.PassOn = addresses([]Member{group[0].member, group[1].member, group[2].member})
				assert.NilError(t, relay.Receive(relay.ctx, encode(heartbeat)))
				advance(20 * time.Millisecond)
				for _, node := range group {
					assert.Equal(t, node.viewer.Current().Servers.Revision, leader.viewer.Current().Servers.Revision, "%s", node.member.Name)
				}
				assert.Equal(t, relay.servedSnapshots, test.wantByRelay)
				assert.Equal(t, leader.servedSnapshots, test.wantByLeader)
			})
		})
	}
}

func TestReportsReachTheWholeDomainThroughRelays(t *testing.T) {
	runWithDomain(t, 100, func(simulation *fleetSimulation, nodes []*node) {
		simulation.resetTraffic()
		for _, node := range nodes[4:7] {
			node.Relayer.ReportSuspicion(7, examiner.Failing)
		}
		advance(100 * time.Millisecond)
		for _, node := range nodes[:100] {
			assert.Assert(t, slices.Contains(node.ejected, 7), "%s", node.member.Name)
		}
		busiest := 0
		for _, node := range nodes {
			busiest = max(busiest, node.sentDatagrams)
		}
		assert.Assert(t, busiest <= 40, "one instance sent %d datagrams", busiest)
		assert.Assert(t, simulation.longestHeartbeat <= maxHeartbeatSize, "a heartbeat had %d bytes", simulation.longestHeartbeat)
	})
}
