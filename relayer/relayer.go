package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// minAnswerInterval bounds how often a member that knows less is answered.
	minAnswerInterval = 200 * time.Millisecond
	// keepaliveInterval is how often a member is shown that this instance lives.
	keepaliveInterval = 20 * time.Second
	// memberTimeout is how long a member that is not heard stays in the list.
	memberTimeout = 90 * time.Second
	// membersReadInterval is how often the reader reads the list of members.
	membersReadInterval = 10 * time.Second
	// outageThreshold is the shortest time without news that counts as an outage of
	// the store; without one, news are at most 2 s old.
	outageThreshold = 2 * time.Second
	// returnGracePeriod is how long backend servers have to write their entries again
	// after an outage; the users' pages say about two seconds.
	returnGracePeriod = 2500 * time.Millisecond
	// shortListLength is the length up to which an instance that starts takes the list
	// of backend servers from whoever has it first.
	shortListLength = 500
	// firstReadTimeout is how long an instance that starts waits for the store.
	firstReadTimeout = 1500 * time.Millisecond
	// retryInterval is the pause after a call of the store that failed.
	retryInterval = 400 * time.Millisecond
)

// Source reads the platform's store.
type Source interface {
	// Revision returns a number that grows with every change in the store.
	Revision(ctx context.Context) (uint64, error)
	// Servers may return the list from its changes since known, nil for none.
	Servers(ctx context.Context, known *viewer.Servers) (*viewer.Servers, error)
	// Configuration returns nil when there is none, or none newer than a revision.
	Configuration(ctx context.Context, since uint64) (*viewer.Configuration, error)
	Members(ctx context.Context) ([]Member, error)
	Register(ctx context.Context, member Member) error
	Remove(ctx context.Context, name string) error
}

// Network carries messages to other instances.
type Network interface {
	Send(to netip.AddrPort, content []byte)
	// Fetch takes the view of another instance from one that has these versions.
	Fetch(ctx context.Context, control netip.AddrPort, configuration, revision uint64) ([]byte, error)
}

// Observer hears what an instance comes to know.
type Observer interface {
	ConfigurationApplied(version uint64, from string)
	ServersApplied(before, after *viewer.Servers, from string)
	// ServerExpired names a server that did not come back after an outage of the store.
	ServerExpired(server *viewer.BackendServer)
	SourceCallFailed(call string, err error)
	SourceCallSucceeded(call string)
	MemberJoined(member Member)
	MemberLost(member Member, silent time.Duration)
	FetchFailed(from string, err error)
	// ServerEjected says that the server with a token is to get no new flows for a time.
	ServerEjected(token uint32, duration time.Duration)
}

// Relayer keeps one instance's view up to date with the store and the others.
type Relayer struct {
	self      Member
	viewer    *viewer.Viewer
	source    Source
	network   Network
	observer  Observer
	startedAt time.Time

	mutex             sync.Mutex
	seeds             []netip.AddrPort
	schedule          ReadSchedule
	members           map[string]*peer
	reportedInstances int // instances of the fleet, as last told by one that leads
	leaving           bool
	running           map[string]bool // calls under way
	membersReadAt     time.Time       // when the members were last read, or the start
	hasReadMembers    bool            // whether they were ever read
	digest            uint64
	digestRevision    uint64 // revision of the servers that digest describes
	history           deltaHistory
	suspicionCounter  suspicionCounter
	suspicionLimiter  *rate.Limiter   // that are told
	cachedSnapshot    *cachedSnapshot // last snapshot that was given; nil before the first
	announcedRevision uint64          // revision of the last heartbeat to the others

	routeDelta       *viewer.RouteDelta // to the configuration in force; nil when it is the first
	announcedVersion uint64             // of the configuration, in the last heartbeat to the others
}

type peer struct {
	Member
	receivedAt      time.Time
	unansweredSince time.Time // of the first heartbeat to it since it was heard
	answeredAt      time.Time // of the last heartbeat in answer to it
	leaving         bool
}

// NewRelayer returns a Relayer; Run and Tick do its work.
func NewRelayer(self Member, seeds []netip.AddrPort, current *viewer.Viewer, source Source, network Network, tally suspicionCounter, observer Observer) *Relayer {
	return &Relayer{
		self: self, viewer: current, source: source, network: network, suspicionCounter: tally, observer: observer, seeds: seeds,
		suspicionLimiter: newSuspicionLimiter(),
		members:          map[string]*peer{}, running: map[string]bool{}, startedAt: time.Now(), membersReadAt: time.Now(),
	}
}

// Run makes the instance known until ctx ends.
func (relayer *Relayer) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { relayer.register(ctx) })
	work.Go(func() { relayer.fetchFromSeeds(ctx) })
	work.Wait()
}

// Tick reads the store when it is this instance's turn.
func (relayer *Relayer) Tick(ctx context.Context, now time.Time) {
	relayer.mutex.Lock()
	due := !relayer.leaving && relayer.schedule.Due(now)
	if due {
		relayer.schedule.RecordAttempt(now)
	}
	relayer.mutex.Unlock()
	for _, server := range relayer.viewer.Expire(now) {
		relayer.observer.ServerExpired(server)
	}
	if due {
		relayer.startUnlessRunning("read", func() { relayer.read(ctx) })
	}
}

// startUnlessRunning runs call in the background unless it is running already.
func (relayer *Relayer) startUnlessRunning(name string, call func()) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.running[name] {
		return
	}
	relayer.running[name] = true
	go func() {
		call()
		relayer.mutex.Lock()
		defer relayer.mutex.Unlock()
		delete(relayer.running, name)
	}()
}

// Leave tells the others that this instance stops.
func (relayer *Relayer) Leave() {
	relayer.mutex.Lock()
	relayer.leaving = true
	relayer.mutex.Unlock()
	relayer.announceToDomainAndLeaders()
}

// SetSeeds replaces the instances that are asked for a first view.
func (relayer *Relayer) SetSeeds(seeds []netip.AddrPort) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.seeds = seeds
}

// Instances returns how many instances share the load, this one included; those
// that lead know all, the others are told.
func (relayer *Relayer) Instances() int {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.schedule.isLeader || relayer.reportedInstances == 0 {
		return 1 + len(relayer.members)
	}
	return relayer.reportedInstances
}

// isLeader reports whether this instance is one of the first of its failure domain.
func (relayer *Relayer) isLeader() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.isLeader
}

// Rank returns the position of the instance in the order of reading.
func (relayer *Relayer) Rank() int {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.rank
}

// Age returns how old the knowledge of backend servers is.
func (relayer *Relayer) Age(now time.Time) time.Duration {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.Age(now)
}

// updateRank sets the rank after the members have changed; the mutex is held.
func (relayer *Relayer) updateRank() {
	sorted, positions := rankMembers(relayer.activeMembers())
	rank := slices.IndexFunc(sorted, func(member Member) bool { return member.Name == relayer.self.Name })
	relayer.schedule.SetRank(rank, positions[relayer.self.Name] < leadersPerDomain)
}

// activeMembers returns all members that are not leaving, this instance included; the mutex is held.
func (relayer *Relayer) activeMembers() []Member {
	members := []Member{relayer.self}
	for _, peer := range relayer.members {
		if !peer.leaving {
			members = append(members, peer.Member)
		}
	}
	return members
}
