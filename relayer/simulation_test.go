package relayer

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/picker"
	"github.com/pimentowind/pimentowind/ticker"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	networkDelay = time.Millisecond
	storeDelay   = 4 * time.Millisecond
	tickInterval = 100 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// fleetSimulation simulates the store and the network of a fleet in virtual time.
type fleetSimulation struct {
	mutex            sync.Mutex
	era              uint64
	revision         uint64
	configuration    *viewer.Configuration
	servers          []viewer.BackendServer
	coldEntries      map[string]coldEntry // by server
	members          map[string]Member
	saved            SavedSnapshot
	evacuated        []string // failure domains, sorted
	nextEvacuated    []string // evacuated right after the evacuations were read; nil for none
	storeCalls       int
	storeDown        bool
	rejectedByStore  map[string]bool // names of instances whose calls the store rejects
	cutOff           map[string]bool // names of instances cut off from all others, but not from the store
	refusesFetch     map[string]bool // names of instances whose fetches fail
	oldPrograms      map[string]bool // names of instances whose program has no short reports of suspicions
	partitioned      map[string]bool // failure domains cut off from the store and the other domains
	nodes            map[netip.AddrPort]*node
	started          []*node
	fetchedBytes     int           // total size of the fetched snapshots
	longestHeartbeat int           // size of the longest heartbeat in bytes
	heartbeatBytes   int           // total size of the heartbeats
	serversReadTime  time.Duration // additional duration of a read of the server list
	callDelay        time.Duration // duration of a call of the store
	nextVersion      uint64        // version published right after the configuration was read; 0 for none
	datagramDelay    time.Duration // between instances
}

// coldEntry is what a cold server has written into the store.
type coldEntry struct {
	revision  uint64
	remaining time.Duration
}

// node is one instance in the simulation, with its source, network, observer and suspicion
// counter.
type node struct {
	*Relayer
	simulation *fleetSimulation
	viewer     *viewer.Viewer
	ctx        context.Context
	stop       context.CancelFunc
	member     Member
	lost       []string
	expired    []string
	ejected    []uint32 // tokens of the servers it was to eject
	ignored    []string // evacuated failure domains that were too many

	evacuationChanges atomic.Int64
	detector          *detector.Detector
	resumed           atomic.Bool // it counts as just resumed after a pause

	suspicionCount int

	sentDatagrams, sentBytes     int // heartbeats and reports of suspicions
	suspicionBytes               int // received in datagrams that carry suspicions
	servedSnapshots, servedBytes int
	savedBytes                   int // of the snapshots that it saved
	askedCount                   int // announcements that it missed
	storeCalls                   int
}

func newFleetSimulation() *fleetSimulation {
	return &fleetSimulation{
		era: 1, revision: 1, configuration: &viewer.Configuration{Version: 1}, members: map[string]Member{}, callDelay: storeDelay, datagramDelay: networkDelay, coldEntries: map[string]coldEntry{},
		cutOff: map[string]bool{}, oldPrograms: map[string]bool{}, rejectedByStore: map[string]bool{}, partitioned: map[string]bool{}, refusesFetch: map[string]bool{}, nodes: map[netip.AddrPort]*node{},
	}
}

// startFleet starts count instances in each of three failure domains.
func (simulation *fleetSimulation) startFleet(t *testing.T, count int) []*node {
	var nodes []*node
	for domain := range 3 {
		for i := range count {
			nodes = append(nodes, simulation.startNode(t, fmt.Sprintf("lb-%d-%d", domain, i), domain, byte(i)))
		}
	}
	return nodes
}

// startNode starts an instance in a failure domain; number makes its address unique there.
func (simulation *fleetSimulation) startNode(_ *testing.T, name string, domain int, number byte) *node {
	return simulation.startNodeAt(netip.AddrFrom4([4]byte{10, byte(domain), 0, number}), name, domain)
}

// startNodeAt starts an instance in a failure domain at an address.
func (simulation *fleetSimulation) startNodeAt(ip netip.Addr, name string, domain int) *node {
	address := netip.AddrPortFrom(ip, 7720)
	member := Member{Name: name, FailureDomain: fmt.Sprintf("dakar-%d", domain), PeerAddress: address, ControlAddress: address}
	node := &node{simulation: simulation, viewer: viewer.NewViewer(), member: member}
	node.ctx, node.stop = context.WithCancel(context.Background())
	var seeds []netip.AddrPort
	for seedDomain := range byte(3) {
		seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, seedDomain, 0, 0}), 7720))
	}
	node.Relayer = NewRelayer(member, seeds, node.viewer, node, node, Detectors{Failures: node, Slowness: examiner.NewSlownessDetector()}, node)
	node.detector = detector.NewDetector(node)
	node.SetDetector(node.detector)
	node.SetPauseDetector(func(time.Time) bool { return node.resumed.Load() })
	simulation.mutex.Lock()
	simulation.nodes[address] = node
	simulation.started = append(simulation.started, node)
	simulation.mutex.Unlock()
	go node.Run(node.ctx)
	go func() {
		for node.ctx.Err() == nil {
			node.Tick(node.ctx, time.Now())
			ticker.Sleep(node.ctx, tickInterval)
		}
	}()
	return node
}

func (node *node) ServerSilent(detector.Server, detector.Evidence) {}
func (node *node) ServerAlive(detector.Server, bool)               {}

func (node *node) ServerHeld(detector.Server, detector.Evidence, time.Duration) {}

// kill stops an instance without an announcement.
func (node *node) kill() {
	node.stop()
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	delete(node.simulation.nodes, node.member.PeerAddress)
}

// update changes the simulation and increments the revision of the store.
func (simulation *fleetSimulation) update(change func()) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	change()
	simulation.revision++
}

// now returns the present revision of the store. The mutex must be held.
func (simulation *fleetSimulation) now() viewer.Revision {
	return viewer.Revision{Era: simulation.era, Number: simulation.revision}
}

// resetStoreCalls returns the number of calls of the store since the last reset.
func (simulation *fleetSimulation) resetStoreCalls() int {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	calls := simulation.storeCalls
	simulation.storeCalls = 0
	return calls
}

// callStore simulates a call of the store: it waits for callDelay, and runs work if the node
// can reach the store.
func (node *node) callStore(ctx context.Context, work func(simulation *fleetSimulation)) error {
	simulation := node.simulation
	simulation.mutex.Lock()
	delay := simulation.callDelay
	simulation.mutex.Unlock()
	ticker.Sleep(ctx, delay)
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.storeCalls++
	node.storeCalls++
	if simulation.storeDown || simulation.rejectedByStore[node.member.Name] || simulation.partitioned[node.member.FailureDomain] {
		return errUnreachable
	}
	work(simulation)
	return ctx.Err()
}

func (node *node) Evacuations(ctx context.Context) (evacuations *viewer.Evacuations, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) {
		evacuations = &viewer.Evacuations{Revision: simulation.revision, Era: simulation.era, Domains: slices.Clone(simulation.evacuated)}
		if simulation.nextEvacuated != nil {
			simulation.evacuated, simulation.nextEvacuated = simulation.nextEvacuated, nil
			simulation.revision++
		}
	})
	return evacuations, err
}

func (node *node) Servers(ctx context.Context, _ *viewer.Servers) (servers *viewer.Servers, err error) {
	node.simulation.mutex.Lock()
	readTime := node.simulation.serversReadTime
	node.simulation.mutex.Unlock()
	ticker.Sleep(ctx, readTime)
	err = node.callStore(ctx, func(simulation *fleetSimulation) {
		servers = &viewer.Servers{Revision: simulation.revision, Era: simulation.era, List: slices.Clone(simulation.servers)}
		for i := range servers.List {
			if entry, isCold := simulation.coldEntries[servers.List[i].Name]; isCold {
				servers.List[i].ColdSince, servers.List[i].ColdUntil = entry.revision, viewer.DeadlineAfter(time.Now(), entry.remaining)
			}
		}
	})
	return servers, err
}

func (node *node) Configuration(ctx context.Context, _ viewer.Revision) (configuration *viewer.Configuration, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) {
		configuration = simulation.configuration
		if simulation.nextVersion > configuration.Version {
			simulation.configuration = &viewer.Configuration{Version: simulation.nextVersion}
			simulation.revision++
		}
	})
	return configuration, err
}

func (node *node) Members(ctx context.Context) (members []Member, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) { members = slices.Collect(maps.Values(simulation.members)) })
	return members, err
}

func (node *node) SavedSnapshot(ctx context.Context) (saved SavedSnapshot, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) { saved = simulation.saved })
	return saved, err
}

func (node *node) SaveSnapshot(ctx context.Context, snapshot SavedSnapshot) (saved SavedSnapshot, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) {
		node.savedBytes += len(snapshot.Content)
		if simulation.saved.ObjectRevision == snapshot.ObjectRevision {
			simulation.revision++
			simulation.saved = snapshot
			simulation.saved.ObjectRevision = simulation.now()
		}
		saved = simulation.saved
	})
	return saved, err
}

func (node *node) Register(ctx context.Context, member Member) (era uint64, err error) {
	err = node.callStore(ctx, func(simulation *fleetSimulation) {
		simulation.members[member.Name] = member
		simulation.revision++
		era = simulation.era
	})
	return era, err
}

func (node *node) Remove(ctx context.Context, name string) error {
	return node.callStore(ctx, func(simulation *fleetSimulation) {
		delete(simulation.members, name)
		simulation.revision++
	})
}

func (node *node) ConfigurationApplied(uint64, string)           {}
func (node *node) ServersApplied(_, _ *viewer.Servers, _ string) {}
func (node *node) EvacuationsApplied(_, _ *viewer.Evacuations, _ string) {
	node.evacuationChanges.Add(1)
}

func (node *node) EvacuationsIgnored(domains []string) {
	node.ignored = append(node.ignored, domains...)
}
func (node *node) StoreRead(viewer.Revision)      {}
func (node *node) SourceCallFailed(string, error) {}
func (node *node) SourceCallSucceeded(string)     {}
func (node *node) MemberJoined(Member)            {}
func (node *node) MemberLost(member Member, _ time.Duration) {
	node.lost = append(node.lost, member.Name)
}
func (node *node) FetchFailed(string, error) {}

func (node *node) ServerExpired(server *viewer.BackendServer) {
	node.expired = append(node.expired, server.Name)
}

func (node *node) SuspectCount(time.Time) int { return 0 }

func (node *node) EjectServer(ejection Ejection) {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	node.ejected = append(node.ejected, ejection.Token)
}

// AddSuspicion ejects any server but that with token 9 at the node's third suspicion.
func (node *node) AddSuspicion(token uint32, _ time.Time) time.Duration {
	node.suspicionCount++
	if token != 9 && node.suspicionCount == 3 {
		return time.Second
	}
	return 0
}

func (node *node) hasVersion(version uint64) bool {
	configuration := node.viewer.Current().Configuration
	return configuration != nil && configuration.Version == version
}

func backendServer(name string, state parser.State) viewer.BackendServer {
	hash := picker.Hash(uint64(len(name)), xxhash.Sum64String(name))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(hash >> 16), byte(hash >> 8), byte(hash)}), 80)
	return viewer.BackendServer{Name: name, Identity: hash, Token: uint32(hash), Service: "desk-sync", State: state, Address: address}
}

func configurationWithRoutes(version uint64, routes int) *viewer.Configuration {
	configuration := &viewer.Configuration{Version: version}
	for i := range routes {
		configuration.Routes = append(configuration.Routes, viewer.Route{
			Name:    fmt.Sprintf("route-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares:  []viewer.Share{{Service: "desk-sync", Weight: 1}},
		})
	}
	return configuration
}

// addServers adds count servers to the store and waits until every instance has the list.
func (simulation *fleetSimulation) addServers(count int) {
	simulation.update(func() {
		for i := range count {
			simulation.servers = append(simulation.servers, backendServer(fmt.Sprintf("i-%08x", i), parser.Active))
		}
	})
	advance(2 * applyTimeLimit)
}

// advance lets time pass and waits until every goroutine is blocked, so that a test can read
// what they have written.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// runWithFleet runs test with count instances in each of three failure domains, after they
// have received their first view.
func runWithFleet(t *testing.T, count int, test func(simulation *fleetSimulation, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		simulation := newFleetSimulation()
		simulation.servers = []viewer.BackendServer{backendServer("a", parser.Active), backendServer("b", parser.Active)}
		nodes := simulation.startFleet(t, count)
		advance(5 * time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.hasVersion(1), "%s has no view", node.member.Name)
		}
		defer func() {
			for _, node := range simulation.started {
				node.stop()
			}
			time.Sleep(10 * time.Second) // lets every call finish
		}()
		test(simulation, nodes)
	})
}
