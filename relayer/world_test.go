package relayer

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

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

// world is a store and a network in virtual time.
type world struct {
	mutex         sync.Mutex
	revision      uint64
	configuration *viewer.Configuration
	servers       []viewer.BackendServer
	members       map[string]Member
	calls         int
	down          bool
	deaf          map[string]bool // instances that the store turns away
	cut           map[string]bool // failure domains that reach only themselves
	nodes         map[netip.AddrPort]*node
	started       []*node
	fetched       int           // bytes of views between instances
	longest       int           // bytes of the longest heartbeat
	told          int           // bytes of heartbeats
	listTime      time.Duration // that a list of servers takes
	nextVersion   uint64        // comes into force right after the configuration was read
}

// node is one instance in the world.
type node struct {
	*Relayer
	world   *world
	viewer  *viewer.Viewer
	ctx     context.Context
	stop    context.CancelFunc
	member  Member
	lost    []string
	expired []string
	failing []uint32 // tokens of servers that it was to hold off

	suspects int
}

func newWorld() *world {
	return &world{
		revision: 1, configuration: &viewer.Configuration{Version: 1}, members: map[string]Member{},
		deaf: map[string]bool{}, cut: map[string]bool{}, nodes: map[netip.AddrPort]*node{},
	}
}

// fleet starts count instances in each of three failure domains.
func (world *world) fleet(t *testing.T, count int) []*node {
	var nodes []*node
	for domain := range 3 {
		for i := range count {
			nodes = append(nodes, world.start(t, fmt.Sprintf("lb-%d-%d", domain, i), domain, byte(i)))
		}
	}
	return nodes
}

func (world *world) start(t *testing.T, name string, domain int, number byte) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, number}), 7720)
	member := Member{Name: name, FailureDomain: fmt.Sprintf("dakar-%d", domain), Peer: address, Control: address}
	node := &node{world: world, viewer: viewer.NewViewer(), member: member}
	node.ctx, node.stop = context.WithCancel(context.Background())
	node.Relayer = NewRelayer(member, nil, node.viewer, node, node, node, node)
	world.mutex.Lock()
	world.nodes[address] = node
	world.started = append(world.started, node)
	world.mutex.Unlock()
	go node.Run(node.ctx)
	go func() {
		for node.ctx.Err() == nil {
			node.Tick(node.ctx, time.Now())
			ticker.Sleep(node.ctx, tickInterval)
		}
	}()
	return node
}

// kill ends an instance without a word.
func (node *node) kill() {
	node.stop()
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	delete(node.world.nodes, node.member.Peer)
}

func (world *world) change(edit func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	edit()
	world.revision++
}

func (world *world) takeCalls() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	calls := world.calls
	world.calls = 0
	return calls
}

// call waits as a call of the store does, and runs work unless the store is out of reach.
func (node *node) call(ctx context.Context, work func(world *world)) error {
	ticker.Sleep(ctx, storeDelay)
	world := node.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.calls++
	if world.down || world.deaf[node.member.Name] || world.cut[node.member.FailureDomain] {
		return errUnreachable
	}
	work(world)
	return ctx.Err()
}

func (node *node) Revision(ctx context.Context) (revision uint64, err error) {
	err = node.call(ctx, func(world *world) { revision = world.revision })
	return revision, err
}

func (node *node) Servers(ctx context.Context, _ *viewer.Servers) (servers *viewer.Servers, err error) {
	node.world.mutex.Lock()
	listTime := node.world.listTime
	node.world.mutex.Unlock()
	ticker.Sleep(ctx, listTime)
	err = node.call(ctx, func(world *world) {
		servers = &viewer.Servers{Revision: world.revision, List: slices.Clone(world.servers)}
	})
	return servers, err
}

func (node *node) Configuration(ctx context.Context, _ uint64) (configuration *viewer.Configuration, err error) {
	err = node.call(ctx, func(world *world) {
		configuration = world.configuration
		if world.nextVersion > configuration.Version {
			world.configuration = &viewer.Configuration{Version: world.nextVersion}
			world.revision++
		}
	})
	return configuration, err
}

func (node *node) Members(ctx context.Context) (members []Member, err error) {
	err = node.call(ctx, func(world *world) { members = slices.Collect(maps.Values(world.members)) })
	return members, err
}

func (node *node) Register(ctx context.Context, member Member) error {
	return node.call(ctx, func(world *world) {
		world.members[member.Name] = member
		world.revision++
	})
}

func (node *node) Remove(ctx context.Context, name string) error {
	return node.call(ctx, func(world *world) {
		delete(world.members, name)
		world.revision++
	})
}

// reach returns the instance at an address unless a cut lies between.
func (node *node) reach(address netip.AddrPort) *node {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	other := node.world.nodes[address]
	if other == nil {
		return nil
	}
	apart := other.member.FailureDomain != node.member.FailureDomain
	if apart && (node.world.cut[node.member.FailureDomain] || node.world.cut[other.member.FailureDomain]) {
		return nil
	}
	return other
}

func (node *node) Tell(to netip.AddrPort, content []byte) {
	other := node.reach(to)
	if other == nil {
		return
	}
	copied := append([]byte(nil), content...)
	node.world.mutex.Lock()
	node.world.longest = max(node.world.longest, len(content))
	node.world.told += len(content)
	node.world.mutex.Unlock()
	go func() {
		time.Sleep(networkDelay)
		if err := other.Receive(other.ctx, copied); err != nil {
			panic(err)
		}
	}()
}

func (node *node) Fetch(ctx context.Context, control netip.AddrPort, configuration, revision uint64) ([]byte, error) {
	ticker.Sleep(ctx, 2*networkDelay)
	other := node.reach(control)
	if other == nil {
		return nil, errUnreachable
	}
	content := other.Snapshot(configuration, revision)
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.world.fetched += len(content)
	return content, nil
}

func (node *node) ConfigurationTaken(uint64, string)           {}
func (node *node) ServersTaken(_, _ *viewer.Servers, _ string) {}
func (node *node) SourceFailed(string, error)                  {}
func (node *node) SourceReached(string)                        {}
func (node *node) MemberHeard(Member)                          {}
func (node *node) MemberLost(member Member, _ time.Duration) {
	node.lost = append(node.lost, member.Name)
}
func (node *node) FetchFailed(string, error) {}
func (node *node) ServerExpired(server *viewer.BackendServer) {
	node.expired = append(node.expired, server.Name)
}

func (node *node) ServerFailing(token uint32, _ time.Duration) {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.failing = append(node.failing, token)
}

// Suspect holds a server off at the third suspicion.
func (node *node) Suspect(token uint32, _ time.Time) time.Duration {
	node.suspects++
	if token == 7 && node.suspects == 3 {
		return time.Second
	}
	return 0
}

func (node *node) knows(version uint64) bool {
	configuration := node.viewer.Current().Configuration
	return configuration != nil && configuration.Version == version
}

func backendServer(name string, state parser.State) viewer.BackendServer {
	hash := picker.Hash(uint64(len(name)), xxhash.Sum64String(name))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(hash >> 16), byte(hash >> 8), byte(hash)}), 80)
	return viewer.BackendServer{Name: name, Identity: hash, Token: uint32(hash), Service: "desk-sync", State: state, Address: address}
}

func longConfiguration(version uint64, routes int) *viewer.Configuration {
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

// addServers adds count servers and lets every instance hear of them.
func (world *world) addServers(count int) {
	world.change(func() {
		for i := range count {
			world.servers = append(world.servers, backendServer(fmt.Sprintf("i-%08x", i), parser.Active))
		}
	})
	pass(2 * applyLimit)
}

// pass lets time pass until every goroutine waits, so that a test may read what
// they have written.
func pass(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// play runs test with a fleet that has settled.
func play(t *testing.T, count int, test func(world *world, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld()
		world.servers = []viewer.BackendServer{backendServer("a", parser.Active), backendServer("b", parser.Active)}
		nodes := world.fleet(t, count)
		pass(5 * time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.knows(1), "%s has no view", node.member.Name)
		}
		defer func() {
			for _, node := range world.started {
				node.stop()
			}
			time.Sleep(10 * time.Second) // lets every call end
		}()
		test(world, nodes)
	})
}
