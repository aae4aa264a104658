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
	node.Relayer = NewRelayer(member, nil, node.viewer, node, node, node)
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

func (node *node) Servers(ctx context.Context) (servers *viewer.Servers, err error) {
	node.world.mutex.Lock()
	listTime := node.world.listTime
	node.world.mutex.Unlock()
	ticker.Sleep(ctx, listTime)
	err = node.call(ctx, func(world *world) {
		servers = &viewer.Servers{Revision: world.revision, List: slices.Clone(world.servers)}
	})
	return servers, err
}

func (node *node) Configuration(ctx context.Context) (configuration *viewer.Configuration, err error) {
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

func (node *node) knows(version uint64) bool {
	configuration := node.viewer.Current().Configuration
	return configuration != nil && configuration.Version == version
}

func backendServer(name string, state parser.State) viewer.BackendServer {
	hash := picker.Mix(uint64(len(name)), xxhash.Sum64String(name))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(hash >> 16), byte(hash >> 8), byte(hash)}), 80)
	return viewer.BackendServer{Name: name, Identity: hash, Token: uint32(hash), Service: "desk-sync", State: state, Address: address}
}

// addServers adds count servers and lets every instance hear of them.
func (world *world) addServers(count int) {
	world.change(func() {
		for i := range count {
			world.servers = append(world.servers, backendServer(fmt.Sprintf("i-%08x", i), parser.Active))
		}
	})
	time.Sleep(2 * applyLimit)
}

// play runs test with a fleet that has settled.
func play(t *testing.T, count int, test func(world *world, nodes []*node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld()
		world.servers = []viewer.BackendServer{backendServer("a", parser.Active), backendServer("b", parser.Active)}
		nodes := world.fleet(t, count)
		time.Sleep(5 * time.Second)
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

// applyLimit is the users' bound on a configuration and on new flows to a server that leaves.
const applyLimit = 3 * time.Second

// assertKnown lets the bound pass and checks that every instance has the version.
func assertKnown(t *testing.T, version uint64, nodes []*node) {
	t.Helper()
	time.Sleep(applyLimit)
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
			time.Sleep(time.Minute)
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
			time.Sleep(37 * time.Millisecond)
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
		time.Sleep(applyLimit)
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
			time.Sleep(time.Second)
		}
		time.Sleep(applyLimit)
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
		time.Sleep(time.Second)
		for _, node := range nodes {
			assert.Assert(t, node.knows(1), "%s has no view", node.member.Name)
		}
		assert.Equal(t, world.fetched, 0)
	})
}

func TestAnInstanceThatMissedHeartbeatsFetchesOnlyTheChanges(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.addServers(400)
		world.change(func() { world.cut["dakar-0"] = true })
		for i := range 10 {
			world.change(func() { world.servers[i+7].State = parser.Leaving })
			time.Sleep(time.Second)
		}
		world.change(func() {
			world.fetched = 0
			delete(world.cut, "dakar-0")
		})
		time.Sleep(2 * applyLimit)
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
		time.Sleep(10 * time.Second)
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
			time.Sleep(2 * time.Second)
			assert.Assert(t, again.knows(1), "%s has no view", again.member.Name)
			nodes[first] = again
		}
	})
}

func TestAStoreOutageChangesNothingAndLapsedServersComeBack(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		world.change(func() { world.down = true })
		time.Sleep(10 * time.Second)
		world.change(func() {
			world.down = false
			world.servers = nil
		})
		time.Sleep(time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().Active("desk-sync")), 2, "%s", node.member.Name)
		}
		world.change(func() { world.servers = []viewer.BackendServer{backendServer("b", parser.Active)} })
		time.Sleep(returnTime + 2*time.Second)
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
		time.Sleep(100 * time.Millisecond)
		nodes[0].kill()
		world.publish(2)
		assertKnown(t, 2, nodes[1:])
	})
}

func TestInstancesThatAreGoneAreTakenOffTheList(t *testing.T) {
	play(t, 3, func(world *world, nodes []*node) {
		nodes[2].kill()
		time.Sleep(memberLifetime + 3*directoryInterval)
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
		time.Sleep(3 * directoryInterval)
		synctest.Wait()
		assert.Equal(t, nodes[0].Instances(), 8)
	})
}

func TestAStoreThatIsAwayIsTriedByFew(t *testing.T) {
	play(t, 30, func(world *world, nodes []*node) {
		world.change(func() { world.down = true })
		time.Sleep(10 * time.Second)
		world.takeCalls()
		time.Sleep(32 * time.Second)
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
		time.Sleep(10 * time.Second)
		world.change(func() { world.down = false })
		world.takeCalls()
		time.Sleep(time.Second)
		calls := world.takeCalls()
		assert.Assert(t, calls < 2*len(nodes), "%d calls in the first second", calls)
	})
}
