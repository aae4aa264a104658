package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// answerInterval bounds how often one member is answered.
	answerInterval = 200 * time.Millisecond
	// memberLifetime is how long a member that is not heard stays in the list.
	memberLifetime = 90 * time.Second
	// directoryInterval is how often the reader reads the list of members.
	directoryInterval = 10 * time.Second
	// watchTime is how long one watch of the configuration waits.
	watchTime = 5 * time.Second
	// retryInterval is the pause after a call of the store that failed.
	retryInterval = 400 * time.Millisecond
)

// Source reads the platform's store.
type Source interface {
	Servers(ctx context.Context) (*viewer.Servers, error)
	// Configuration returns nil when there is none, and the revision to watch from.
	Configuration(ctx context.Context) (*viewer.Configuration, uint64, error)
	// AwaitConfiguration waits for a change after a revision; nil means that none came.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (*viewer.Configuration, uint64, error)
	Members(ctx context.Context) ([]Member, error)
	Register(ctx context.Context, member Member) error
	Remove(ctx context.Context, name string) error
}

// Network carries messages to other instances.
type Network interface {
	Tell(to netip.AddrPort, content []byte)
	Fetch(ctx context.Context, control netip.AddrPort, configuration uint64) ([]byte, error)
}

// Observer hears what an instance comes to know.
type Observer interface {
	ConfigurationTaken(version uint64, from string)
	ServersTaken(before, after *viewer.Servers, from string)
	SourceFailed(call string, err error)
	SourceReached(call string)
	MemberHeard(member Member)
	MemberLost(member Member, silent time.Duration)
	FetchFailed(from string, err error)
}

// Relayer keeps one instance's view up to date with the store and the others.
type Relayer struct {
	self     Member
	viewer   *viewer.Viewer
	source   Source
	network  Network
	observer Observer
	seeds    []netip.AddrPort

	mutex    sync.Mutex
	turn     Turn
	members  map[string]*peer
	leaving  bool
	busy     map[string]bool // calls under way
	listedAt time.Time       // when the members were last read
	wake     chan struct{}   // ends the wait of the configuration's follower
	digest   uint64
	digestOf uint64 // revision of the servers that digest describes
}

type peer struct {
	Member
	heardAt    time.Time
	askedAt    time.Time // of the first heartbeat to it since it was heard
	answeredAt time.Time // of the last heartbeat in answer to it
	leaving    bool
}

// NewRelayer returns a Relayer; Run and Tick do its work.
func NewRelayer(self Member, seeds []netip.AddrPort, current *viewer.Viewer, source Source, network Network, observer Observer) *Relayer {
	return &Relayer{
		self: self, viewer: current, source: source, network: network, observer: observer, seeds: seeds,
		members: map[string]*peer{}, busy: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Run follows the configuration and registers the instance until ctx ends.
func (relayer *Relayer) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { relayer.register(ctx) })
	work.Go(func() { relayer.askSeeds(ctx) })
	relayer.followConfiguration(ctx)
	work.Wait()
}

// Tick reads the store when it is this instance's turn.
func (relayer *Relayer) Tick(ctx context.Context, now time.Time) {
	relayer.mutex.Lock()
	due := !relayer.leaving && relayer.turn.Due(now)
	list := due && now.Sub(relayer.listedAt) >= directoryInterval
	if due {
		relayer.turn.Attempted(now)
	}
	relayer.mutex.Unlock()
	if due {
		relayer.once("servers", func() { relayer.readServers(ctx) })
	}
	if list {
		relayer.once("members", func() { relayer.readMembers(ctx) })
	}
}

// once runs call in the background unless it is running already.
func (relayer *Relayer) once(name string, call func()) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.busy[name] {
		return
	}
	relayer.busy[name] = true
	go func() {
		call()
		relayer.mutex.Lock()
		defer relayer.mutex.Unlock()
		delete(relayer.busy, name)
	}()
}

func (relayer *Relayer) readServers(ctx context.Context) {
	startedAt := time.Now()
	servers, err := relayer.source.Servers(ctx)
	if err != nil {
		relayer.observer.SourceFailed("servers", err)
		relayer.tellAll()
		return
	}
	relayer.observer.SourceReached("servers")
	relayer.takeServers(servers, "store")
	relayer.mutex.Lock()
	relayer.turn.Read(startedAt)
	relayer.mutex.Unlock()
	relayer.wakeFollower()
	relayer.tellAll()
}

func (relayer *Relayer) takeServers(servers *viewer.Servers, from string) {
	before := relayer.viewer.Current().Servers
	if relayer.viewer.TakeServers(servers, time.Now()) {
		relayer.observer.ServersTaken(before, servers, from)
	}
}

func (relayer *Relayer) takeConfiguration(configuration *viewer.Configuration, from string) bool {
	if !relayer.viewer.TakeConfiguration(configuration) {
		return false
	}
	relayer.observer.ConfigurationTaken(configuration.Version, from)
	return true
}

func (relayer *Relayer) wakeFollower() {
	select {
	case relayer.wake <- struct{}{}:
	default:
	}
}

// followConfiguration reads the configuration at the start and watches it while this instance reads.
func (relayer *Relayer) followConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := relayer.readConfiguration(ctx)
		for err == nil && relayer.reading() && ctx.Err() == nil {
			after, err = relayer.watchConfiguration(ctx, after)
		}
		if err != nil {
			sleep(ctx, retryInterval)
			if relayer.viewer.Current().Configuration == nil {
				continue
			}
		}
		if !relayer.reading() {
			relayer.awaitTurn(ctx)
		}
	}
}

// awaitTurn waits until this instance reads, or until it has to look for the first configuration again.
func (relayer *Relayer) awaitTurn(ctx context.Context) {
	var again <-chan time.Time
	if relayer.viewer.Current().Configuration == nil {
		timer := time.NewTimer(retryInterval)
		defer timer.Stop()
		again = timer.C
	}
	select {
	case <-ctx.Done():
	case <-relayer.wake:
	case <-again:
	}
}

func (relayer *Relayer) readConfiguration(ctx context.Context) (uint64, error) {
	configuration, after, err := relayer.source.Configuration(ctx)
	relayer.reached(ctx, "configuration", err)
	if err == nil && configuration != nil && relayer.takeConfiguration(configuration, "store") {
		relayer.tellAll()
	}
	return after, err
}

func (relayer *Relayer) watchConfiguration(ctx context.Context, after uint64) (uint64, error) {
	configuration, next, err := relayer.source.AwaitConfiguration(ctx, after, watchTime)
	relayer.reached(ctx, "configuration", err)
	if err == nil && configuration != nil && relayer.takeConfiguration(configuration, "store") {
		relayer.tellAll()
	}
	return next, err
}

func (relayer *Relayer) reached(ctx context.Context, call string, err error) {
	switch {
	case err == nil:
		relayer.observer.SourceReached(call)
	case ctx.Err() == nil:
		relayer.observer.SourceFailed(call, err)
	}
}

func (relayer *Relayer) reading() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return !relayer.leaving && relayer.turn.Reading(time.Now())
}

// register writes this instance into the list of members.
func (relayer *Relayer) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := relayer.source.Register(ctx, relayer.self)
		relayer.reached(ctx, "register", err)
		if err == nil {
			return
		}
		sleep(ctx, 2*retryInterval)
	}
}

// askSeeds takes a first view from the instances in the settings while the store does not give one.
func (relayer *Relayer) askSeeds(ctx context.Context) {
	for {
		sleep(ctx, retryInterval)
		if ctx.Err() != nil || relayer.viewer.Current().Complete() {
			return
		}
		for _, seed := range relayer.seeds {
			if seed != relayer.self.Control {
				relayer.fetch(ctx, Member{Name: seed.String(), Control: seed})
			}
		}
	}
}

// Leave tells the others that this instance stops.
func (relayer *Relayer) Leave() {
	relayer.mutex.Lock()
	relayer.leaving = true
	relayer.mutex.Unlock()
	relayer.tellAll()
}

// Instances returns how many instances are known to share the load, this one included.
func (relayer *Relayer) Instances() int {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return 1 + len(relayer.members)
}

// Rank returns the position of the instance in the order of reading.
func (relayer *Relayer) Rank() int {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.turn.rank
}

// Age returns how old the knowledge of backend servers is.
func (relayer *Relayer) Age(now time.Time) time.Duration {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.turn.Age(now)
}

// rerank sets the rank after the members have changed; the mutex is held.
func (relayer *Relayer) rerank() {
	sorted, _ := order(relayer.list())
	rank := slices.IndexFunc(sorted, func(member Member) bool { return member.Name == relayer.self.Name })
	relayer.turn.SetRank(rank)
}

// list returns all members that are not leaving, this instance included; the mutex is held.
func (relayer *Relayer) list() []Member {
	members := []Member{relayer.self}
	for _, peer := range relayer.members {
		if !peer.leaving {
			members = append(members, peer.Member)
		}
	}
	return members
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
