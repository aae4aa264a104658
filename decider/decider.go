package decider

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/pimentowind/pimentowind/parser"
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
	lastFlush  time.Time
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
	decider.receiveLoads(member, message.Loads)
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
	decider.flushLater()
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

// resume puts an instance that was paused back to where a new one starts, with
// its flows kept as hints: its lease on deciding has lapsed unnoticed.
func (decider *Decider) resume() {
	decider.counters.add(CountPauses, 1)
	decider.event(EventPaused, "for", decider.now.Sub(decider.lastTick).String())
	decider.config.Incarnation++
	decider.integrated = false
	decider.integrateFrom = decider.now
	for _, member := range decider.roster {
		member.alive, member.handedOver, member.introduced = false, false, false
	}
	for _, service := range decider.catalogue {
		service.clean = false
	}
	for _, service := range decider.catalogue {
		service.generation++
	}
	decider.rebuildView()
	decider.heartbeatDue = true
}

// integrate makes this instance act as a home once every live instance has handed over.
func (decider *Decider) integrate() {
	decider.countUnmerged()
	if decider.integrated || decider.unmerged > 0 || decider.behind() {
		return
	}
	alive := len(decider.walk) - 1
	if alive == 0 && decider.now.Sub(decider.integrateFrom) < startGrace {
		return
	}
	decider.integrated = true
	for _, service := range decider.catalogue {
		service.clean = service.clean || len(service.epochs) == 1
	}
	decider.heartbeatDue = true
	decider.event(EventIntegrated, "instances", alive+1)
	decider.rebuildView()
}

// countUnmerged finds the live instances whose pins have not arrived. One that
// was cut off has opened flows; one that just started has not.
func (decider *Decider) countUnmerged() {
	decider.unmerged, decider.merging = 0, false
	for _, member := range decider.roster {
		if !member.alive {
			continue
		}
		if !member.handedOver {
			decider.unmerged++
		}
		if member.merging && member.handedOver && decider.pinned(member) {
			member.merging = false
		}
		decider.merging = decider.merging || member.merging
	}
}

// behind reports whether another instance uses a newer epoch.
func (decider *Decider) behind() bool {
	for _, member := range decider.roster {
		for hash, state := range member.services {
			service := decider.services[hash]
			newer := service == nil || service.active == nil || state.Active.Compare(service.active.ID) > 0
			if member.alive && newer && state.Active != (EpochID{}) {
				return true
			}
		}
	}
	return false
}

// pinned reports whether a member has sent the pins that the active epochs need.
func (decider *Decider) pinned(member *member) bool {
	for _, service := range decider.catalogue {
		state := member.services[service.hash]
		if service.active != nil && (!state.Clean || state.Active.Compare(service.active.ID) < 0) {
			return false
		}
	}
	return true
}

// dark reports whether every listed instance of some failure domain is unheard:
// they may be cut off and open flows that nobody here can know.
func (decider *Decider) dark() bool {
	heard := map[string]bool{decider.config.Self.FailureDomain: true}
	for _, member := range decider.roster {
		heard[member.FailureDomain] = heard[member.FailureDomain] || member.alive
	}
	for _, member := range decider.roster {
		if member.listed && !heard[member.FailureDomain] {
			return true
		}
	}
	return false
}

// settle records, while nothing is in motion, the epochs on which all instances agree.
func (decider *Decider) settle() {
	if decider.missing() > 0 || decider.now.Sub(decider.viewChangedAt) < UncertainWindow {
		return
	}
	for _, service := range decider.catalogue {
		if decider.now.Sub(service.activatedAt) >= UncertainWindow {
			service.settled = service.active
		}
	}
}

// Sheet takes in a version of the sheet that was read from the platform.
func (decider *Decider) Sheet(now time.Time, version uint64, content []byte) {
	decider.now = now
	decider.takeSheet(version, content)
	decider.flushHeartbeat()
}

func (decider *Decider) takeSheet(version uint64, content []byte) {
	if version <= decider.sheetVersion {
		return
	}
	var sheet parser.Sheet
	if err := json.Unmarshal(content, &sheet); err != nil {
		decider.event(EventSheetInvalid, "version", version, "error", err.Error())
		return
	}
	decider.sheetVersion = version
	decider.sheetContent = content
	for _, service := range decider.catalogue {
		service.listed = false
	}
	for _, spec := range sheet.Services {
		decider.takeService(spec)
	}
	decider.heartbeatDue = true
	decider.event(EventSheetTaken, "version", version)
	decider.runOwned()
}

func (decider *Decider) takeService(spec parser.Service) {
	service := decider.serviceNamed(spec.Name)
	encoded, err := json.Marshal(spec)
	if err != nil {
		return
	}
	if service.basis != 0 && specAddress(service.spec) != specAddress(spec) {
		delete(decider.addresses, specAddress(service.spec))
	}
	service.spec = spec
	service.basis = xxhash.Sum64(encoded)
	service.listed = true
	decider.addresses[specAddress(spec)] = service
	for _, row := range spec.BackendServers {
		service.server(decider, row.Name, row.Address).domain = row.FailureDomain
	}
}

func (decider *Decider) serviceNamed(name string) *service {
	hash := hashName(name)
	known, ok := decider.services[hash]
	if !ok {
		known = &service{name: name, hash: hash}
		decider.services[hash] = known
		decider.catalogue = append(decider.catalogue, known)
		slices.SortFunc(decider.catalogue, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	}
	return known
}

// Leave starts a planned stop: this instance stops being a home and hands its flows over.
func (decider *Decider) Leave(now time.Time) {
	decider.now = now
	decider.leaving = true
	decider.heartbeatDue = true
	decider.rebuildView()
	decider.flushHeartbeat()
}

// Close says the last word to the other instances.
func (decider *Decider) Close(now time.Time) {
	decider.now = now
	decider.gone = true
	decider.sendHeartbeats()
}

// leaveFlows tells the new homes the flows of an instance that leaves.
func (decider *Decider) leaveFlows() {
	if !decider.leaving || decider.leftFlows || len(decider.view) == 0 {
		return
	}
	decider.leftFlows = true
	for i := range decider.flows.shards {
		decider.flows.shards[i].each(func(key uint64, flow *flow) bool {
			if !flow.pinned && flow.state != closed && topOf(decider.lastView, key) == nil {
				home := decider.home(key)
				home.flows = AppendPin(home.flows, Pin{Flow: key, Server: flow.server})
			}
			return true
		})
	}
	decider.pinsQueued = true
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
			Alive:         member.alive,
			Leaving:       member.leaving,
			InForce:       member.inForce,
		})
	}
	return status
}

// Leads reports whether this instance is the first live one of its failure
// domain, which watches the platform for the others. Two leaders are harmless.
func (decider *Decider) Leads() bool {
	for _, member := range decider.roster {
		same := member.FailureDomain == decider.config.Self.FailureDomain
		if same && member.alive && !member.leaving && member.hash < decider.selfHash {
			return false
		}
	}
	return !decider.leaving
}
