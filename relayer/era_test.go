package relayer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// storeCopy is what a copy of the simulated store holds of the objects that instances write.
type storeCopy struct {
	revision uint64
	members  map[string]Member
	saved    SavedSnapshot
}

func (simulation *fleetSimulation) copyStore() storeCopy {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return storeCopy{revision: simulation.revision, members: maps.Clone(simulation.members), saved: simulation.saved}
}

// returnFrom returns the store from a copy; servers and configuration are written again.
func (simulation *fleetSimulation) returnFrom(earlier storeCopy) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.era++
	simulation.revision, simulation.members, simulation.saved = earlier.revision+1, maps.Clone(earlier.members), earlier.saved
}

// change writes the configuration a number of times, so that the revision grows.
func (simulation *fleetSimulation) change(times int) {
	for range times {
		simulation.update(func() {
			simulation.configuration = configurationWithRoutes(simulation.configuration.Version+1, 1)
		})
	}
	advance(2 * applyTimeLimit)
}

func assertVersion(t *testing.T, nodes []*node, version uint64) {
	t.Helper()
	for _, node := range nodes {
		assert.Equal(t, node.viewer.Current().Configuration.Version, version, "%s", node.member.Name)
	}
}

func TestFleetFollowsAStoreThatReturnsFromAnOlderCopy(t *testing.T) {
	runWithFleet(t, 4, func(simulation *fleetSimulation, nodes []*node) {
		for range 3 {
			earlier := simulation.copyStore()
			simulation.change(20)
			simulation.returnFrom(earlier)
			simulation.update(func() {
				simulation.configuration = configurationWithRoutes(simulation.configuration.Version+1, 1)
				simulation.servers[0].State = parser.Leaving
			})
			advance(applyTimeLimit)
			assertVersion(t, nodes, simulation.configuration.Version)
			for _, node := range nodes {
				servers := node.viewer.Current().Servers
				assert.Equal(t, servers.List[0].State, parser.Leaving)
				assert.Equal(t, servers.Era, simulation.era)
			}
			simulation.update(func() { simulation.servers[0].State = parser.Active })
			advance(applyTimeLimit)
		}
	})
}

func TestViewOfBeforeTheReturnIsNotPassedOn(t *testing.T) {
	cases := map[string]func(simulation *fleetSimulation, node *node) (heal func()){
		"instance without the store": func(simulation *fleetSimulation, node *node) func() {
			simulation.rejectedByStore[node.member.Name] = true
			return func() { delete(simulation.rejectedByStore, node.member.Name) }
		},
		"instance cut off from all": func(simulation *fleetSimulation, node *node) func() {
			simulation.rejectedByStore[node.member.Name], simulation.cutOff[node.member.Name] = true, true
			return func() {
				delete(simulation.rejectedByStore, node.member.Name)
				delete(simulation.cutOff, node.member.Name)
			}
		},
		"failure domain cut off": func(simulation *fleetSimulation, node *node) func() {
			simulation.partitioned[node.member.FailureDomain] = true
			return func() { delete(simulation.partitioned, node.member.FailureDomain) }
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 3, func(simulation *fleetSimulation, nodes []*node) {
				earlier := simulation.copyStore()
				simulation.change(30)
				simulation.mutex.Lock()
				heal := disturb(simulation, nodes[0])
				simulation.mutex.Unlock()
				simulation.returnFrom(earlier)
				simulation.change(1)
				simulation.update(func() { simulation.servers = simulation.servers[1:] })
				advance(2 * applyTimeLimit)
				simulation.mutex.Lock()
				heal()
				simulation.mutex.Unlock()
				advance(2 * applyTimeLimit)
				assertVersion(t, nodes, simulation.configuration.Version)
				for _, node := range nodes {
					assert.Equal(t, len(node.viewer.Current().Servers.List), 1, "%s", node.member.Name)
				}
			})
		})
	}
}

func TestServersThatStartedAfterTheCopyStayInUseForAMoment(t *testing.T) {
	runWithFleet(t, 2, func(simulation *fleetSimulation, nodes []*node) {
		earlier := simulation.copyStore()
		complete := []viewer.BackendServer{backendServer("a", parser.Active), backendServer("b", parser.Active), backendServer("c", parser.Active)}
		simulation.update(func() { simulation.servers = slices.Clone(complete) })
		advance(applyTimeLimit)
		simulation.returnFrom(earlier)
		simulation.update(func() { simulation.servers = simulation.servers[:2] })
		advance(ReadInterval + time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 3, "%s", node.member.Name)
		}
		simulation.update(func() { simulation.servers = complete })
		advance(returnGracePeriod)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 3, "%s", node.member.Name)
			assert.Equal(t, len(node.expired), 0)
		}
	})
}

func TestLostRegistrationsAndSnapshotAreWrittenAgain(t *testing.T) {
	runWithFleet(t, 4, func(simulation *fleetSimulation, nodes []*node) {
		earlier := simulation.copyStore()
		earlier.members, earlier.saved = map[string]Member{}, SavedSnapshot{}
		simulation.change(20)
		advance(keepaliveInterval - membersReadInterval/4) // so that members have not been heard of for long
		simulation.returnFrom(earlier)
		for range int(registrationSpread/time.Second) + 3 {
			advance(time.Second)
			for _, node := range nodes {
				assert.Equal(t, node.Instances(), len(nodes), "%s", node.member.Name)
			}
		}
		assert.Equal(t, len(simulation.members), len(nodes))
		assert.Equal(t, simulation.saved.ServersRevision.Era, simulation.era)
		advance(2 * membersReadInterval)
		for _, node := range nodes {
			assert.Equal(t, node.Instances(), len(nodes), "%s", node.member.Name)
		}
		started := simulation.startNode(t, "lb-new", 0, 200)
		advance(applyTimeLimit)
		assertVersion(t, []*node{started}, simulation.configuration.Version)
	})
}

func TestHeartbeatsOfOlderProgramsConfirmNothingAndReplaceNoServers(t *testing.T) {
	cases := []struct {
		name        string
		own, sender viewer.Revision
		version     uint64 // of the sender's configuration; this instance has 5
		compared    int
		confirms    bool
	}{
		{name: "same", own: viewer.Revision{Era: 2, Number: 7}, sender: viewer.Revision{Era: 2, Number: 7}, version: 5, confirms: true},
		{name: "newer era, lower number", own: viewer.Revision{Era: 1, Number: 70}, sender: viewer.Revision{Era: 2, Number: 7}, version: 5, compared: 1},
		{name: "older era, higher number", own: viewer.Revision{Era: 2, Number: 7}, sender: viewer.Revision{Era: 1, Number: 70}, version: 5, compared: -1},
		{name: "older program, same number", own: viewer.Revision{Era: 1, Number: 7}, sender: viewer.Revision{Number: 7}, version: 5, compared: -1},
		{name: "older program, higher number", own: viewer.Revision{Era: 2, Number: 7}, sender: viewer.Revision{Number: 70}, version: 5, compared: -1},
		{name: "older program, newer configuration", own: viewer.Revision{Era: 2, Number: 7}, sender: viewer.Revision{Number: 7}, version: 6, compared: 1},
		{name: "two older programs", own: viewer.Revision{Number: 7}, sender: viewer.Revision{Number: 7}, version: 5, confirms: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			relayer := newMuteRelayer(nil)
			relayer.viewer.ApplyConfiguration(configurationWithRoutes(5, 1))
			relayer.viewer.ApplyServers(&viewer.Servers{Era: test.own.Era, Revision: test.own.Number}, time.Now())
			heartbeat := Heartbeat{Sender: backendMember("lb-1"), ConfigurationVersion: test.version, Era: test.sender.Era, ServersRevision: test.sender.Number, IsAnswer: true, StoreRead: 9}
			own := relayer.newHeartbeat(time.Now(), false)
			assert.Equal(t, heartbeat.compareView(&own), test.compared)
			assert.NilError(t, relayer.Receive(t.Context(), encode(heartbeat)))
			assert.Equal(t, relayer.Age(time.Now()) < unknownAge, test.confirms)
			assert.Equal(t, relayer.viewer.Current().Servers.At(), test.own)
		})
	}
}

// olderHeartbeat has the fields of a heartbeat that programs without eras compare.
type olderHeartbeat struct {
	Sender               Member              `cbor:"sender"`
	ConfigurationVersion uint64              `cbor:"configuration"`
	ServersRevision      uint64              `cbor:"revision"`
	ServersDigest        uint64              `cbor:"digest"`
	ServersDelta         *viewer.ServerDelta `cbor:"delta"`
}

func TestOlderProgramsReadNewHeartbeats(t *testing.T) {
	before := &viewer.Servers{Era: 3, Revision: 8}
	after := &viewer.Servers{Era: 3, Revision: 9, List: []viewer.BackendServer{backendServer("a", parser.Active)}}
	heartbeat := Heartbeat{
		Sender: backendMember("lb-1"), ConfigurationVersion: 5, Era: 3, ServersRevision: 9,
		ServersDigest: after.Digest(), ServersDelta: viewer.DiffServers(before, after),
	}
	var older olderHeartbeat
	assert.NilError(t, decode(encode(heartbeat), &older))
	assert.Equal(t, older.ServersRevision, uint64(9))
	assert.Equal(t, older.ServersDelta.Base, uint64(8))
	assert.Equal(t, fmt.Sprint(older.ServersDelta.Changed[0].Name), "a")
}

func TestSavedSnapshotOfAnOlderEraIsLoadedAndReplaced(t *testing.T) {
	for name, saved := range map[string]viewer.Revision{"older era": {Era: 1, Number: 90}, "older program": {Number: 3}} {
		t.Run(name, func(t *testing.T) {
			snapshot := SavedSnapshot{ObjectRevision: viewer.Revision{Era: 2, Number: 7}, Content: encode(snapshotEnvelope{Content: encode(Snapshot{
				Configuration: configurationWithRoutes(5, 1),
				Servers:       &viewer.Servers{Era: saved.Era, Revision: saved.Number},
			})})}
			_, err := snapshot.decode()
			assert.NilError(t, err)
		})
	}
	late := SavedSnapshot{ObjectRevision: viewer.Revision{Era: 2, Number: 7}, Content: encode(snapshotEnvelope{Content: encode(Snapshot{
		Configuration: configurationWithRoutes(5, 1), Servers: &viewer.Servers{Era: 2, Revision: 8},
	})})}
	_, err := late.decode()
	assert.ErrorContains(t, err, "was written at revision")
}
