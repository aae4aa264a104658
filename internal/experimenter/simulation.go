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

// One-way network delays.
const (
	callerDelay = 3 * time.Millisecond
	domainDelay = time.Millisecond // between failure domains
	localDelay  = 300 * time.Microsecond
)

const (
	tickInterval    = 20 * time.Millisecond
	messageOverhead = 60 // bytes of IP, UDP and QUIC headers for a message and its acknowledgment
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// balancer decides about the packets on an instance: the product or a simpler method.
type balancer interface {
	HandlePacket(now time.Time, packet *framer.Packet) decider.Verdict
	ApplySheet(now time.Time, version uint64, content []byte)
}

// peerBalancer is a balancer that exchanges messages with other instances; only the product does.
type peerBalancer interface {
	balancer
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

// instance is one simulated instance of the fleet.
type instance struct {
	decider.Instance
	balancer        balancer
	alive           bool
	frozen          bool
	receivesTraffic bool     // the fabric sends packets to it
	deferred        []func() // arrivals during a freeze
	controlBytes    int      // sent since the start of the measurement
	secondBytes     int      // control bytes sent in the current second
	peakSecondBytes int      // largest secondBytes
	relays          int      // packets relayed
	packets         int      // packets received, relayed ones included
}

// event is a function that runs at a point in virtual time.
type event struct {
	at       time.Duration
	sequence int // orders events at the same time
	run      func()
}

// eventQueue is a heap with the earliest event at its root.
type eventQueue []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (eventQueue eventQueue) Len() int { return len(eventQueue) }

func (eventQueue eventQueue) Less(i, j int) bool {
	if eventQueue[i].at != eventQueue[j].at {
		return eventQueue[i].at < eventQueue[j].at
	}
	return eventQueue[i].sequence < eventQueue[j].sequence
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

// Simulation simulates one deployment in virtual time.
type Simulation struct {
	now        time.Duration
	queue      eventQueue
	eventCount int
	random     *rand.Rand
	method     Method

	instances []*instance
	byName    map[string]*instance
	byTunnel  map[netip.AddrPort]*instance
	backends  []*backend
	byAddress map[netip.AddrPort]*backend
	services  []*service
	flows     map[framer.Tuple]*flow
	flowCount int
	isolated  map[string]bool // failure domains partitioned from the others

	sheets        [][]byte      // index is version - 1
	loadedAt      time.Duration // when the newest version was loaded
	inForceAt     time.Duration // when the newest version was in force, 0 before
	newestVersion uint64

	measuring  bool
	tracesLeft int // traces that may still be recorded
	result     *Result
}

func (simulation *Simulation) clock() time.Time { return simulationStart.Add(simulation.now) }

func (simulation *Simulation) schedule(delay time.Duration, run func()) {
	simulation.eventCount++
	heap.Push(&simulation.queue, event{at: simulation.now + delay, sequence: simulation.eventCount, run: run})
}

// runUntil runs the events up to and including the given time.
func (simulation *Simulation) runUntil(end time.Duration) {
	for len(simulation.queue) > 0 && simulation.queue[0].at <= end {
		next := heap.Pop(&simulation.queue).(event)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

func (simulation *Simulation) reachable(from, to string) bool {
	return from == to || !(simulation.isolated[from] || simulation.isolated[to])
}

func delayBetween(from, to string) time.Duration {
	if from == to {
		return localDelay
	}
	return domainDelay
}

// addInstance starts an instance with a balancer of the method under test.
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
	added.balancer = newBalancer(simulation.method, added.Instance, simulation.clock())
	simulation.instances = append(simulation.instances, added)
	simulation.byName[name] = added
	simulation.byTunnel[added.Tunnel] = added
	if _, ok := added.balancer.(peerBalancer); ok {
		simulation.schedule(time.Duration(simulation.random.Int64N(int64(tickInterval))), func() { simulation.tick(added) })
	}
	return added
}

// updateInstanceLists gives every live instance the platform's current list of instances.
func (simulation *Simulation) updateInstanceLists() {
	var listed []decider.Instance
	for _, instance := range simulation.instances {
		if instance.alive {
			listed = append(listed, instance.Instance)
		}
	}
	for _, instance := range simulation.instances {
		if peer, ok := instance.balancer.(peerBalancer); ok && instance.alive {
			peer.SetInstances(simulation.clock(), listed)
		}
	}
}

func (simulation *Simulation) tick(instance *instance) {
	if !instance.alive {
		return
	}
	if !instance.frozen {
		instance.balancer.(peerBalancer).Tick(simulation.clock())
		simulation.sendMessages(instance)
		simulation.recordInForce()
	}
	simulation.schedule(tickInterval, func() { simulation.tick(instance) })
}

// sendMessages sends the queued messages of an instance and counts their bytes.
func (simulation *Simulation) sendMessages(from *instance) {
	peer, ok := from.balancer.(peerBalancer)
	if !ok {
		return
	}
	peer.TakeEvents()
	for _, outgoing := range peer.TakeOutbox() {
		encoded, err := cbor.Marshal(outgoing.Message)
		if err != nil {
			panic(fmt.Sprintf("encode message: %v", err))
		}
		from.controlBytes += len(encoded) + messageOverhead
		if simulation.measuring {
			simulation.result.ControlBytesByKind[messageKind(outgoing.Message)] += len(encoded) + messageOverhead
		}
		from.secondBytes += len(encoded) + messageOverhead
		to, known := simulation.byName[outgoing.To.Name]
		if !known || !simulation.reachable(from.FailureDomain, to.FailureDomain) {
			continue
		}
		message := outgoing.Message
		simulation.schedule(delayBetween(from.FailureDomain, to.FailureDomain), func() {
			simulation.runWhenActive(to, func() {
				to.balancer.(interface {
					HandleMessage(time.Time, string, decider.Message)
				}).HandleMessage(simulation.clock(), from.Name, message)
				simulation.sendMessages(to)
			})
		})
	}
}

func messageKind(message decider.Message) string {
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

// runWhenActive runs arrival now or, if the instance is frozen, when it resumes. A dead
// instance receives nothing.
func (simulation *Simulation) runWhenActive(to *instance, arrival func()) {
	switch {
	case !to.alive:
	case to.frozen:
		to.deferred = append(to.deferred, arrival)
	default:
		arrival()
	}
}

// loadSheet creates a new version of the sheet and applies it on instance number i after delay(i).
func (simulation *Simulation) loadSheet(delay func(number int) time.Duration) {
	content := simulation.sheetContent()
	simulation.sheets = append(simulation.sheets, content)
	version := uint64(len(simulation.sheets))
	simulation.newestVersion, simulation.loadedAt, simulation.inForceAt = version, simulation.now, 0
	for number, instance := range simulation.instances {
		if !instance.alive {
			continue
		}
		simulation.schedule(delay(number), func() {
			simulation.runWhenActive(instance, func() {
				instance.balancer.ApplySheet(simulation.clock(), version, content)
				simulation.sendMessages(instance)
			})
		})
	}
}

// recordInForce records when the newest sheet is in force on every live instance that is not frozen.
func (simulation *Simulation) recordInForce() {
	if simulation.inForceAt != 0 {
		return
	}
	for _, instance := range simulation.instances {
		if peer, ok := instance.balancer.(peerBalancer); ok && instance.alive && !instance.frozen && peer.InForce() < simulation.newestVersion {
			return
		}
	}
	simulation.inForceAt = simulation.now
}

// sampleEverySecond samples open flows and control traffic.
func (simulation *Simulation) sampleEverySecond() {
	for _, instance := range simulation.instances {
		if simulation.measuring {
			instance.peakSecondBytes = max(instance.peakSecondBytes, instance.secondBytes)
		}
		instance.secondBytes = 0
	}
	for _, backend := range simulation.backends {
		backend.openFlowSamples = append(backend.openFlowSamples, backend.openFlows)
	}
	simulation.schedule(time.Second, simulation.sampleEverySecond)
}
