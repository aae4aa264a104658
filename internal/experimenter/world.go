package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
)

// Delays of the network, one way.
const (
	callerDelay = 3 * time.Millisecond
	domainDelay = time.Millisecond // between failure domains
	localDelay  = 300 * time.Microsecond
)

const (
	tickInterval    = 20 * time.Millisecond
	messageOverhead = 60 // bytes of IP, UDP and QUIC for a message and its acknowledgement
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is what decides about packets on an instance: the product or a simpler method.
type node interface {
	HandlePacket(now time.Time, packet *framer.Packet) decider.Verdict
	ApplySheet(now time.Time, version uint64, content []byte)
}

// talker is a node that exchanges messages with others.
type talker interface {
	node
	Tick(now time.Time)
	SetInstances(now time.Time, listed []decider.Instance)
	HandleMessage(now time.Time, from string, message decider.Message)
	TakeOutbox() []decider.Outgoing
	TakeEvents() []decider.Event
	InForce() uint64
	Status() decider.Status
	Leave(now time.Time)
	Close(now time.Time)
	Counters() map[string]uint64
}

// instance is one balancer.
type instance struct {
	decider.Instance
	node    node
	alive   bool
	frozen  bool
	sprayed bool // the fabric uses it
	held    []func()
	sent    int // bytes of control
	window  int // bytes of control in the running second
	peak    int // largest window
	relays  int
	packets int
}

type event struct {
	at   time.Duration
	rank int // order of events at the same time
	run  func()
}

type eventQueue []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (eventQueue eventQueue) Len() int { return len(eventQueue) }

func (eventQueue eventQueue) Less(i, j int) bool {
	if eventQueue[i].at != eventQueue[j].at {
		return eventQueue[i].at < eventQueue[j].at
	}
	return eventQueue[i].rank < eventQueue[j].rank
}

func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(value any) { *eventQueue = append(*eventQueue, value.(event)) }
func (eventQueue *eventQueue) Pop() any {
	old := *eventQueue
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*eventQueue = old[:len(old)-1]
	return last
}

// Simulation is one deployment in virtual time.
type Simulation struct {
	now    time.Duration
	queue  eventQueue
	events int
	random *rand.Rand
	method Method

	instances []*instance
	byName    map[string]*instance
	byTunnel  map[netip.AddrPort]*instance
	backends  []*backend
	byAddress map[netip.AddrPort]*backend
	services  []*service
	flows     map[framer.Tuple]*flow
	nextPort  int
	cut       map[string]bool // failure domains cut off from the others

	sheets  [][]byte // by version - 1
	loaded  time.Duration
	inForce time.Duration
	newest  uint64

	measuring bool
	traces    int // broken flows still to be explained
	result    *Result
}

func (simulation *Simulation) clock() time.Time { return epochStart.Add(simulation.now) }

func (simulation *Simulation) after(delay time.Duration, run func()) {
	simulation.events++
	heap.Push(&simulation.queue, event{at: simulation.now + delay, rank: simulation.events, run: run})
}

// runUntil lets time pass.
func (simulation *Simulation) runUntil(end time.Duration) {
	for len(simulation.queue) > 0 && simulation.queue[0].at <= end {
		next := heap.Pop(&simulation.queue).(event)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

func (simulation *Simulation) reachable(from, to string) bool {
	return from == to || !(simulation.cut[from] || simulation.cut[to])
}

func delayBetween(from, to string) time.Duration {
	if from == to {
		return localDelay
	}
	return domainDelay
}

// addInstance starts an instance with a node of the method under test.
func (simulation *Simulation) addInstance(name, domain string) *instance {
	number := len(simulation.instances) + 1
	address := netip.AddrFrom4([4]byte{10, 9, 0, byte(number)})
	added := &instance{
		Instance: decider.Instance{
			Name: name, FailureDomain: domain,
			Peer: netip.AddrPortFrom(address, 7000), Tunnel: netip.AddrPortFrom(address, 6081),
		},
		alive: true,
	}
	added.node = newNode(simulation.method, added.Instance, simulation.clock())
	simulation.instances = append(simulation.instances, added)
	simulation.byName[name] = added
	simulation.byTunnel[added.Tunnel] = added
	if _, ok := added.node.(talker); ok {
		simulation.after(time.Duration(simulation.random.Int64N(int64(tickInterval))), func() { simulation.tick(added) })
	}
	return added
}

// list tells every live instance the platform's list.
func (simulation *Simulation) list() {
	var listed []decider.Instance
	for _, instance := range simulation.instances {
		if instance.alive {
			listed = append(listed, instance.Instance)
		}
	}
	for _, instance := range simulation.instances {
		if talker, ok := instance.node.(talker); ok && instance.alive {
			talker.SetInstances(simulation.clock(), listed)
		}
	}
}

func (simulation *Simulation) tick(instance *instance) {
	if !instance.alive {
		return
	}
	if !instance.frozen {
		instance.node.(talker).Tick(simulation.clock())
		simulation.carryMessages(instance)
		simulation.watchInForce()
	}
	simulation.after(tickInterval, func() { simulation.tick(instance) })
}

// carryMessages sends what an instance has to say.
func (simulation *Simulation) carryMessages(from *instance) {
	talker, ok := from.node.(talker)
	if !ok {
		return
	}
	talker.TakeEvents()
	for _, outgoing := range talker.TakeOutbox() {
		encoded, err := cbor.Marshal(outgoing.Message)
		if err != nil {
			panic(fmt.Sprintf("message cannot be encoded: %v", err))
		}
		from.sent += len(encoded) + messageOverhead
		if simulation.measuring {
			simulation.result.ControlBytesByKind[kindOf(outgoing.Message)] += len(encoded) + messageOverhead
		}
		from.window += len(encoded) + messageOverhead
		to, known := simulation.byName[outgoing.To.Name]
		if !known || !simulation.reachable(from.FailureDomain, to.FailureDomain) {
			continue
		}
		message := outgoing.Message
		simulation.after(delayBetween(from.FailureDomain, to.FailureDomain), func() {
			simulation.deliver(to, func() {
				to.node.(interface {
					HandleMessage(time.Time, string, decider.Message)
				}).HandleMessage(simulation.clock(), from.Name, message)
				simulation.carryMessages(to)
			})
		})
	}
}

func kindOf(message decider.Message) string {
	switch {
	case message.Heartbeat != nil:
		return "heartbeat"
	case message.Handover != nil:
		return "handover"
	case message.Epochs != nil:
		return "epochs"
	case message.Pins != nil:
		return "pins"
	case message.Flows != nil:
		return "flows"
	case message.Sheet != nil:
		return "sheet"
	default:
		return "loads"
	}
}

// deliver runs an arrival at an instance: now, when it wakes, or never.
func (simulation *Simulation) deliver(to *instance, arrival func()) {
	switch {
	case !to.alive:
	case to.frozen:
		to.held = append(to.held, arrival)
	default:
		arrival()
	}
}

// loadSheet makes a new version and gives it to instance number i after delay(i).
func (simulation *Simulation) loadSheet(delay func(number int) time.Duration) {
	content := simulation.sheetContent()
	simulation.sheets = append(simulation.sheets, content)
	version := uint64(len(simulation.sheets))
	simulation.newest, simulation.loaded, simulation.inForce = version, simulation.now, 0
	for number, instance := range simulation.instances {
		if !instance.alive {
			continue
		}
		simulation.after(delay(number), func() {
			simulation.deliver(instance, func() {
				instance.node.ApplySheet(simulation.clock(), version, content)
				simulation.carryMessages(instance)
			})
		})
	}
}

// watchInForce notes when the newest sheet is in force on every instance that can be reached.
func (simulation *Simulation) watchInForce() {
	if simulation.inForce != 0 {
		return
	}
	for _, instance := range simulation.instances {
		if talker, ok := instance.node.(talker); ok && instance.alive && !instance.frozen && talker.InForce() < simulation.newest {
			return
		}
	}
	simulation.inForce = simulation.now
}

// everySecond samples open flows and control traffic.
func (simulation *Simulation) everySecond() {
	for _, instance := range simulation.instances {
		if simulation.measuring {
			instance.peak = max(instance.peak, instance.window)
		}
		instance.window = 0
	}
	for _, backend := range simulation.backends {
		backend.samples = append(backend.samples, backend.open)
	}
	simulation.after(time.Second, simulation.everySecond)
}
