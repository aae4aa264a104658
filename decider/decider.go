package decider

import (
	"time"

	"golang.org/x/time/rate"
)

// expireInterval is the time between two calls of expireFlows, each of which searches one
// shard for idle flows.
const expireInterval = 250 * time.Millisecond

// startupGracePeriod is how long a new instance waits for others to become reachable before it acts alone.
const startupGracePeriod = 2 * FailureTimeout

// Decider decides about the packets of one instance; it is not safe for concurrent use.
type Decider struct {
	config         Config
	selfHash       uint64
	started        time.Time
	now            time.Time
	lastTick       time.Time
	lastHeartbeat  time.Time
	lastLoadReport time.Time
	lastExpire     time.Time
	heartbeatCount int

	members              map[string]*member
	sortedMembers        []*member     // by name, so that every run visits them in the same order
	view                 []viewEntry   // instances that can be home of a flow, by hash
	oldViews             [][]viewEntry // recent ones, oldest first
	lastView             []viewEntry   // last view that was not empty; while leaving, the view before the last change
	reachable            []viewEntry   // reachable instances and this one, by hash
	viewChangedAt        time.Time
	lastLossAt           time.Time // when an instance last became unreachable without announcing its stop
	viewDigest           uint32    // of view
	pinBudget            *rate.Limiter
	orphanCursor         int  // next shard that markOrphans searches, flowShards when it is done
	missingHandovers     int  // reachable instances whose handover is not complete
	pinsPending          bool // an instance that was unreachable has not sent all its pins
	domainUnreachable    bool // all listed instances of some failure domain are unreachable
	integrated           bool // up to date with the other instances, so that it can be a home
	integrationStartedAt time.Time
	leaving              bool // a planned stop has begun
	flowsHandedOver      bool
	stopped              bool // Close was called

	services          map[uint64]*service
	sortedServices    []*service // by name
	servicesByAddress map[serviceAddress]*service
	servers           map[uint32]*server
	serversByEndpoint map[endpointKey]*server

	sheetVersion uint64
	sheetContent []byte
	inForce      uint64 // sheet version that every service follows

	flows        *flowTable
	expireCursor int // next shard that expireFlows searches

	counters     counters
	events       []Event
	outbox       []Outgoing
	pinsQueued   bool // pins or flows were queued since the last flushPins
	heartbeatDue bool // the next flushHeartbeat sends heartbeats
}

// NewDecider returns a Decider for an instance that starts at now.
func NewDecider(config Config, now time.Time) *Decider {
	decider := &Decider{
		config:               config,
		selfHash:             hashName(config.Self.Name),
		started:              now,
		now:                  now,
		lastTick:             now,
		integrationStartedAt: now,
		orphanCursor:         flowShards,
		members:              map[string]*member{},
		services:             map[uint64]*service{},
		servicesByAddress:    map[serviceAddress]*service{},
		servers:              map[uint32]*server{},
		serversByEndpoint:    map[endpointKey]*server{},
		flows:                newFlowTable(config.MaxFlows),
		pinBudget:            rate.NewLimiter(pinRate, pinBurst),
	}
	decider.rebuildView()
	return decider
}

// TakeOutbox returns and clears the messages to send since the last call.
func (decider *Decider) TakeOutbox() []Outgoing {
	outbox := decider.outbox
	decider.outbox = nil
	return outbox
}

func (decider *Decider) send(to *member, message Message) {
	decider.outbox = append(decider.outbox, Outgoing{To: to.Instance, Message: message})
}

// HandleMessage handles a message from another instance. A message from an unknown one is
// ignored unless it is a heartbeat with the addresses of its sender.
func (decider *Decider) HandleMessage(now time.Time, from string, message Message) {
	decider.advanceClock(now)
	member, known := decider.members[from]
	if !known && message.Heartbeat != nil && message.Heartbeat.Self != nil && message.Heartbeat.Self.Name == from {
		member = decider.addMember(*message.Heartbeat.Self)
	}
	if member == nil {
		decider.counters.add(CountMessagesFromUnknown, 1)
		return
	}
	member.lastReceived = now
	if message.Heartbeat != nil {
		decider.receiveHeartbeat(member, message.Heartbeat)
	}
	if message.Handover != nil {
		decider.receiveHandover(member, message.Handover)
	}
	for _, epoch := range message.Epochs {
		decider.stageEpoch(epoch)
	}
	if message.Sheet != nil {
		decider.applySheet(message.Sheet.Version, message.Sheet.Content)
	}
	decider.receivePins(message.Pins)
	decider.receiveFlows(message.Flows)
	decider.receiveLoads(message.Loads)
	decider.flushHeartbeat()
}

// advanceClock sets the time of the current input, and detects a pause of the
// process before anything is decided after it.
func (decider *Decider) advanceClock(now time.Time) {
	decider.now = now
	if now.Sub(decider.lastTick) > PauseThreshold {
		decider.restartAfterPause()
		decider.lastTick = now
	}
}

// Tick does the periodic work; it must be called every few tens of milliseconds.
func (decider *Decider) Tick(now time.Time) {
	decider.advanceClock(now)
	decider.lastTick = now
	decider.expireMembers()
	decider.domainUnreachable = decider.anyDomainUnreachable()
	decider.expireOldViews()
	decider.integrateWhenReady()
	decider.markOrphans()
	for _, service := range decider.sortedServices {
		decider.scanFlows(service)
	}
	decider.recordAgreedEpochs()
	decider.advanceEpochs()
	decider.runOwnedServices()
	decider.handOverFlows()
	decider.flushPins()
	if now.Sub(decider.lastLoadReport) >= ReportInterval {
		decider.lastLoadReport = now
		decider.sendLoads()
	}
	if now.Sub(decider.lastExpire) >= expireInterval {
		decider.lastExpire = now
		decider.expireFlows(now)
	}
	if now.Sub(decider.lastHeartbeat) >= HeartbeatInterval {
		decider.heartbeatDue = true
	}
	decider.flushHeartbeat()
}

func (decider *Decider) flushHeartbeat() {
	if !decider.heartbeatDue {
		return
	}
	decider.flushPins()
	decider.heartbeatDue = false
	decider.lastHeartbeat = decider.now
	decider.sendHeartbeats()
}

// Status describes this instance and the others as it sees them.
type Status struct {
	Instance     string         `json:"instance"`
	Integrated   bool           `json:"integrated"`
	Leaving      bool           `json:"leaving"`
	SheetVersion uint64         `json:"sheet_version"`
	InForce      uint64         `json:"in_force"`
	Flows        int            `json:"flows"`
	Members      []MemberStatus `json:"members"`
}

// Status returns the state of this instance and of the others, sorted by name.
func (decider *Decider) Status() Status {
	status := Status{
		Instance:     decider.config.Self.Name,
		Integrated:   decider.integrated,
		Leaving:      decider.leaving,
		SheetVersion: decider.sheetVersion,
		InForce:      decider.inForce,
		Flows:        decider.flows.size,
	}
	for _, member := range decider.sortedMembers {
		status.Members = append(status.Members, MemberStatus{
			Name:          member.Name,
			FailureDomain: member.FailureDomain,
			Reachable:     member.reachable,
			Leaving:       member.leaving,
			InForce:       member.inForce,
		})
	}
	return status
}

// IsReader reports whether this instance reads the platform for its failure domain:
// it has the lowest name hash of the reachable instances there that are not leaving. Two
// readers at the same time are harmless.
func (decider *Decider) IsReader() bool {
	for _, member := range decider.sortedMembers {
		sameDomain := member.FailureDomain == decider.config.Self.FailureDomain
		if sameDomain && member.reachable && !member.leaving && member.hash < decider.selfHash {
			return false
		}
	}
	return !decider.leaving
}
