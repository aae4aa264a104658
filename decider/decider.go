package decider

import (
	"time"

	"golang.org/x/time/rate"
)

// expireInterval is the time between the shards that are searched for idle flows.
const expireInterval = 250 * time.Millisecond

// startGrace is how long a new instance listens for others before it acts alone.
const startGrace = 2 * FailureTimeout

// Decider decides for one instance; it is not safe for concurrent use.
type Decider struct {
	config     Config
	selfHash   uint64
	started    time.Time
	now        time.Time
	lastTick   time.Time
	lastBeat   time.Time
	lastLoad   time.Time
	lastExpire time.Time
	beats      int

	members       map[string]*member
	roster        []*member // by name, so that every run goes the same way
	view          []place   // instances that can be home of a flow
	oldViews      [][]place // of late, oldest first
	lastView      []place   // last that was not empty
	walk          []place   // live instances
	viewChangedAt time.Time
	lostAt        time.Time // when an instance was last lost without a word
	viewDigest    uint32
	pinBudget     *rate.Limiter
	orphanCursor  int
	unmerged      int  // live instances whose pins have not arrived
	merging       bool // an instance that was cut off has not sent all its pins
	darkened      bool // a failure domain is unheard
	integrated    bool
	integrateFrom time.Time
	leaving       bool
	leftFlows     bool
	gone          bool

	services  map[uint64]*service
	catalogue []*service // by name
	addresses map[serviceAddress]*service
	servers   map[uint32]*server
	endpoints map[endpointKey]*server

	sheetVersion uint64
	sheetContent []byte
	inForce      uint64

	flows        *flowTable
	expireCursor int

	counters     counters
	events       []Event
	outbox       []Outgoing
	pinsQueued   bool
	heartbeatDue bool
}

// NewDecider returns a Decider that starts at now.
func NewDecider(config Config, now time.Time) *Decider {
	decider := &Decider{
		config:        config,
		selfHash:      hashName(config.Self.Name),
		started:       now,
		now:           now,
		lastTick:      now,
		integrateFrom: now,
		orphanCursor:  flowShards,
		members:       map[string]*member{},
		services:      map[uint64]*service{},
		addresses:     map[serviceAddress]*service{},
		servers:       map[uint32]*server{},
		endpoints:     map[endpointKey]*server{},
		flows:         newFlowTable(config.MaxFlows),
		pinBudget:     rate.NewLimiter(pinRate, pinBurst),
	}
	decider.rebuildView()
	return decider
}

// TakeOutbox returns the messages to send since the last call.
func (decider *Decider) TakeOutbox() []Outgoing {
	outbox := decider.outbox
	decider.outbox = nil
	return outbox
}

func (decider *Decider) send(to *member, message Message) {
	decider.outbox = append(decider.outbox, Outgoing{To: to.Instance, Message: message})
}

// Message takes in a message from another instance.
func (decider *Decider) Message(now time.Time, from string, message Message) {
	decider.advanceClock(now)
	member, known := decider.members[from]
	if !known && message.Heartbeat != nil && message.Heartbeat.Self != nil && message.Heartbeat.Self.Name == from {
		member = decider.addMember(*message.Heartbeat.Self)
	}
	if member == nil {
		decider.counters.add(CountMessagesFromUnknown, 1)
		return
	}
	member.lastHeard = now
	if message.Heartbeat != nil {
		decider.receiveHeartbeat(member, message.Heartbeat)
	}
	if message.Handover != nil {
		decider.receiveHandover(member, message.Handover)
	}
	for _, epoch := range message.Epochs {
		decider.stage(epoch)
	}
	if message.Sheet != nil {
		decider.takeSheet(message.Sheet.Version, message.Sheet.Content)
	}
	decider.receivePins(message.Pins)
	decider.receiveFlows(message.Flows)
	decider.receiveLoads(message.Loads)
	decider.flushHeartbeat()
}

// advanceClock sets the time of what happens next, and notices a pause of the
// process before anything is decided after it.
func (decider *Decider) advanceClock(now time.Time) {
	decider.now = now
	if now.Sub(decider.lastTick) > PauseThreshold {
		decider.resume()
		decider.lastTick = now
	}
}

// Tick lets time pass; it is to be called every few tens of milliseconds.
func (decider *Decider) Tick(now time.Time) {
	decider.advanceClock(now)
	decider.lastTick = now
	decider.expireMembers()
	decider.darkened = decider.dark()
	decider.forgetOldViews()
	decider.integrate()
	decider.markOrphans()
	for _, service := range decider.catalogue {
		decider.scan(service)
	}
	decider.settle()
	decider.advance()
	decider.runOwned()
	decider.leaveFlows()
	decider.flushPins()
	if now.Sub(decider.lastLoad) >= ReportInterval {
		decider.lastLoad = now
		decider.sendLoads()
	}
	if now.Sub(decider.lastExpire) >= expireInterval {
		decider.lastExpire = now
		decider.expire(now)
	}
	if now.Sub(decider.lastBeat) >= HeartbeatInterval {
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
	decider.lastBeat = decider.now
	decider.sendHeartbeats()
}

// Status is what this instance knows of itself and the others.
type Status struct {
	Instance     string         `json:"instance"`
	Integrated   bool           `json:"integrated"`
	Leaving      bool           `json:"leaving"`
	SheetVersion uint64         `json:"sheet_version"`
	InForce      uint64         `json:"in_force"`
	Flows        int            `json:"flows"`
	Members      []MemberStatus `json:"members"`
}

// Status returns what this instance knows of itself and the others, sorted by name.
func (decider *Decider) Status() Status {
	status := Status{
		Instance:     decider.config.Self.Name,
		Integrated:   decider.integrated,
		Leaving:      decider.leaving,
		SheetVersion: decider.sheetVersion,
		InForce:      decider.inForce,
		Flows:        decider.flows.size,
	}
	for _, member := range decider.roster {
		status.Members = append(status.Members, MemberStatus{
			Name:          member.Name,
			FailureDomain: member.FailureDomain,
			Reachable:         member.alive,
			Leaving:       member.leaving,
			InForce:       member.inForce,
		})
	}
	return status
}

// IsReader reports whether this instance is the first live one of its failure
// domain, which watches the platform for the others. Two leaders are harmless.
func (decider *Decider) IsReader() bool {
	for _, member := range decider.roster {
		same := member.FailureDomain == decider.config.Self.FailureDomain
		if same && member.alive && !member.leaving && member.hash < decider.selfHash {
			return false
		}
	}
	return !decider.leaving
}
