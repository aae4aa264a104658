package relayer

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// minAnswerInterval is the shortest time between two answers to a member
	// whose view is older.
	minAnswerInterval = 200 * time.Millisecond
	// keepaliveInterval is the shortest time between two answers that only show
	// a member that this instance is alive.
	keepaliveInterval = 20 * time.Second
	// memberTimeout is how long a member may leave announcements unanswered before it
	// is removed from the list.
	memberTimeout = 90 * time.Second
	// minUnanswered is how many announcements a member must have left unanswered, so that a
	// pause of this process does not count against it.
	minUnanswered = 50
	// membersReadInterval is how often the reader reads the list of members from the
	// store.
	membersReadInterval = 10 * time.Second
	// outageThreshold is the age of the view from which the store counts as having
	// been unavailable; in normal operation a view is at most 2 s old.
	outageThreshold = 2 * time.Second
	// returnGracePeriod is how long backend servers have to rewrite their entries in
	// the store after an outage; the user documentation says about two seconds.
	returnGracePeriod = 2500 * time.Millisecond
	// shortListLength is the length up to which a starting instance fetches the list
	// of backend servers from a peer while its first read of the store is pending.
	shortListLength = 500
	// firstReadTimeout is how long a starting instance waits for the store before it
	// fetches a long list from a peer.
	firstReadTimeout = 1500 * time.Millisecond
	// confirmationTimeout is how long a starting instance waits for a confirmation of its view
	// before it accepts packets regardless.
	confirmationTimeout = 2 * time.Second
	// retryInterval is the pause between two attempts to get a first view from the
	// seeds; registration in the store is retried after twice as long.
	retryInterval = 400 * time.Millisecond
)

// Relayer keeps one instance's view up to date with the store and the other instances.
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
	storeReads        storeReads
	lastStoreRead     uint64 // id of this instance's last read of the store
	members           map[string]*peer
	reportedInstances int          // size of the fleet that a leader last sent; 0 before the first
	instanceCount     atomic.Int64 // what Instances returns
	domainCount       domainCount
	leaving           bool
	running           map[string]bool // names of the background calls in progress
	membersReadAt     time.Time       // when the members were last read from the store; at first the start time
	hasReadMembers    bool            // whether the members have been read from the store
	digest            uint64          // of the servers at digestRevision
	digestRevision    viewer.Revision
	history           deltaHistory
	failureCounter    suspicionCounter
	slownessCounter   suspicionCounter
	suspicions        suspicionCollector
	reportSupport     reportSupport   // what this instance's heartbeats say
	cachedSnapshot    *cachedSnapshot // last snapshot that was served; nil before the first
	announcedRevision viewer.Revision // servers revision in the last announcement
	saved             savedState
	era               eraState
	triedSnapshot     bool            // whether the saved snapshot was loaded, or found missing, at the start
	skippedRevision   viewer.Revision // revision of the store up to which only this instance has written since the view's

	justResumed  func(now time.Time) bool // whether the process was paused until a moment ago
	unreported   unreportedEjections
	loads        loadExchange
	relayedUntil map[uint32]time.Time // end of the ejections that were passed on from other failure domains, by token

	signs signExchanger // nil until SetDetector

	routeDelta       *viewer.RouteDelta // from the previous configuration to the current one; nil for the first
	announcedVersion uint64             // configuration version in the last announcement

	tree relayTree
}

// peer is another instance as this one sees it.
type peer struct {
	Member
	receivedAt      time.Time // when its last heartbeat was received; at first when it was listed
	unansweredSince time.Time // when the first announcement after receivedAt was sent to it
	unansweredCount int       // announcements sent to it since then
	answeredAt      time.Time // when the last answer was sent to it
	leaving         bool
	acceptsReports  bool      // it accepts a suspicionReport
	askedAt         time.Time // when this instance first asked it for an answer since receivedAt
	absent          bool      // it is a leader that gave none for absenceTimeout
	relay           string    // the relay by which the last heartbeat was sent to it
	relayedAt       time.Time // when that was
	doubtedAt       time.Time // when an instance missed an announcement of which this one was the relay
}

// Detectors find the servers to eject from the suspicions that a leader receives.
type Detectors struct {
	Failures, Slowness suspicionCounter
}

// NewRelayer returns a Relayer for the instance self. Run and Tick must be called for it to
// read the store. Seeds are control addresses of instances that can give a first view.
func NewRelayer(self Member, seeds []netip.AddrPort, viewer *viewer.Viewer, source Source, network Network, detectors Detectors, observer Observer) *Relayer {
	spread := float64(xxhash.Sum64String(self.Name)) / math.MaxUint64
	relayer := &Relayer{
		schedule: ReadSchedule{spread: spread},
		self:     self, viewer: viewer, source: source, network: network, failureCounter: detectors.Failures, slownessCounter: detectors.Slowness, observer: observer, seeds: seeds,
		suspicions: newSuspicionCollector(), loads: newLoadExchange(), tree: newRelayTree(self.Name),
		members: map[string]*peer{}, running: map[string]bool{}, relayedUntil: map[uint32]time.Time{}, startedAt: time.Now(), membersReadAt: time.Now(),
		lastStoreRead: rand.Uint64(), // ids of a restarted instance differ from those before
	}
	relayer.justResumed = func(time.Time) bool { return false }
	relayer.instanceCount.Store(1)
	relayer.reportSupport = senderAccepts
	return relayer
}

// Run registers the instance in the store and fetches a first view from the seeds if the
// store does not give one. It returns when both are done or ctx ends.
func (relayer *Relayer) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { relayer.register(ctx) })
	work.Go(func() { relayer.fetchFromSeeds(ctx) })
	work.Wait()
}

// Tick reads the store in the background when a read is due, and expires backend servers
// that did not come back after an outage of the store.
func (relayer *Relayer) Tick(ctx context.Context, now time.Time) {
	drained := relayer.network.Drained()
	relayer.mutex.Lock()
	due := !relayer.leaving && relayer.schedule.Due(now, drained)
	fetching := relayer.running["fetch"]
	if due {
		relayer.schedule.RecordAttempt(now)
	}
	relayer.mutex.Unlock()
	relayer.reportSuspicions(now)
	relayer.reportEjections(now)
	relayer.shareLoad(now)
	relayer.askAfterMiss(now, drained)
	relayer.askAbsent(now)
	if !fetching {
		relayer.passOnWaiting(now)
	}
	relayer.sendSigns(now, drained)
	relayer.registerAgain(ctx, now)
	for _, server := range relayer.viewer.ExpireRetained(now) {
		relayer.observer.ServerExpired(server)
	}
	if due {
		relayer.startUnlessRunning("read", func() { relayer.readOrStart(ctx) })
	}
}

// startUnlessRunning runs call in the background unless a call of this name is still running.
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

// Leave announces that this instance stops, so that the others rank themselves without it.
func (relayer *Relayer) Leave() {
	relayer.mutex.Lock()
	relayer.leaving = true
	relayer.mutex.Unlock()
	relayer.announceToDomainAndLeaders()
}

// SetSeeds replaces the control addresses of the instances that can give a first view.
func (relayer *Relayer) SetSeeds(seeds []netip.AddrPort) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.seeds = seeds
}

// SetChangeDeadline sets the time within which this instance must apply a change in the
// store; 0 stands for the default of 3 s.
func (relayer *Relayer) SetChangeDeadline(deadline time.Duration) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.schedule.changeDeadline = deadline
}

// SetPauseDetector sets the function that reports whether the process has just resumed from a
// pause.
func (relayer *Relayer) SetPauseDetector(justResumed func(now time.Time) bool) {
	relayer.justResumed = justResumed
}

// Instances returns the number of instances in the fleet, this one included. A leader
// counts its members; other instances may not know all and use the number that a
// leader sent. It never waits, since every new flow needs it.
func (relayer *Relayer) Instances() int { return int(relayer.instanceCount.Load()) }

// updateInstanceCount sets what Instances returns. The mutex must be held.
func (relayer *Relayer) updateInstanceCount() {
	count := relayer.reportedInstances
	if relayer.schedule.isLeader || count == 0 {
		count = 1 + len(relayer.members)
	}
	relayer.instanceCount.Store(int64(count))
	relayer.updateDomainCount(count)
}

// isLeader reports whether this instance is a leader of its failure domain.
func (relayer *Relayer) isLeader() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.isLeader
}

// Confirmed reports whether the store or another instance has confirmed the view, or
// confirmationTimeout has passed since the start. Before that the view may be the saved
// snapshot alone, which can name servers that have left.
func (relayer *Relayer) Confirmed(now time.Time) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return !relayer.schedule.freshAt.IsZero() || now.Sub(relayer.startedAt) > confirmationTimeout
}

// Rank returns the position of the instance in the order in which instances read the store;
// 0 is the reader.
func (relayer *Relayer) Rank() int {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.rank
}

// Age returns the time since the store last confirmed the list of backend servers.
func (relayer *Relayer) Age(now time.Time) time.Duration {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.schedule.Age(now)
}

// updateRank ranks this instance again after the members have changed. The mutex must be held.
func (relayer *Relayer) updateRank() {
	sorted, positions := rankMembers(relayer.activeMembers())
	rank := slices.IndexFunc(sorted, func(member Member) bool { return member.Name == relayer.self.Name })
	relayer.schedule.SetRank(rank, positions[relayer.self.Name] < leadersPerDomain)
	relayer.reportSupport = senderAccepts
	if relayer.schedule.isLeader && relayer.leadersAcceptReports(positions) {
		relayer.reportSupport = leadersAccept
	}
	relayer.countDomainMembers()
	relayer.updateInstanceCount()
}

// leadersAcceptReports reports whether the other leaders of this failure domain accept a
// suspicionReport. The mutex must be held.
func (relayer *Relayer) leadersAcceptReports(positions map[string]int) bool {
	for name, peer := range relayer.members {
		position, isActive := positions[name]
		if isActive && position < leadersPerDomain && peer.FailureDomain == relayer.self.FailureDomain && !peer.acceptsReports {
			return false
		}
	}
	return true
}

// activeMembers returns all members that are not leaving or absent, this instance included. The mutex must be held.
func (relayer *Relayer) activeMembers() []Member {
	members := []Member{relayer.self}
	for _, peer := range relayer.members {
		if !peer.leaving && !peer.absent {
			members = append(members, peer.Member)
		}
	}
	return members
}
