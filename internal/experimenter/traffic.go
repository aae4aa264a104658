package experimenter

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

const (
	requestLength      = 100 // bytes
	retransmitInterval = time.Second
	maxAttempts        = 8
)

// service is one service with its backend servers and its traffic model.
type service struct {
	spec            parser.Service
	backends        []*backend
	targetFlows     int // flows kept open
	meanLifetime    time.Duration
	meanThinkTime   time.Duration
	meanRequestWork float64 // in work units; a slot does slotSpeed units per second
}

// backend is a backend server that runs one request at a time in each of its slots.
type backend struct {
	row             parser.BackendServer
	service         *service
	slotSpeed       float64
	slotFreeAt      [3]time.Duration // when each slot becomes free
	openFlows       int
	openFlowSamples []int // openFlows, sampled every second
	lastNewFlow     time.Duration
	down            bool // does not answer
}

// flow is one flow as its caller sees it.
type flow struct {
	tuple         framer.Tuple
	service       *service
	server        *backend   // the one that accepted the flow
	offeredTo     []*backend // those that received its opening
	sequence      uint32
	requestNumber int // of the current request
	lastServed    int // number of the last request that the server received
	endsAt        time.Duration
	ended         bool // closed, or replaced by another flow
	attempts      int  // transmissions of the current opening or request
}

// openFlow starts a new flow of a service.
func (simulation *Simulation) openFlow(service *service) {
	simulation.flowCount++
	number := simulation.flowCount
	started := &flow{
		service: service,
		tuple: framer.Tuple{
			Source:          [4]byte{100, byte(number >> 24), byte(number >> 16), 1},
			SourcePort:      uint16(number),
			Destination:     service.spec.Address.Addr().As4(),
			DestinationPort: service.spec.Address.Port(),
			Protocol:        framer.ProtocolTCP,
		},
		sequence: 1,
		endsAt:   simulation.now + simulation.exponentialDelay(service.meanLifetime),
	}
	simulation.flows[started.tuple] = started
	simulation.sendOpening(started)
}

func (simulation *Simulation) exponentialDelay(mean time.Duration) time.Duration {
	return time.Duration(simulation.random.ExpFloat64() * float64(mean))
}

func (simulation *Simulation) sendOpening(flow *flow) {
	if flow.ended || flow.server != nil {
		return
	}
	flow.attempts++
	if flow.attempts > maxAttempts {
		simulation.replaceFlow(flow)
		return
	}
	simulation.sendFromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagSYN})
	simulation.schedule(retransmitInterval, func() { simulation.sendOpening(flow) })
}

// startRequest sends the next request and retransmits it every second until it is answered. It
// closes the flow instead if its lifetime is over.
func (simulation *Simulation) startRequest(flow *flow) {
	if flow.ended {
		return
	}
	if simulation.now >= flow.endsAt {
		simulation.sendFromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.sequence})
		simulation.schedule(2*time.Second, func() { simulation.replaceFlow(flow) })
		return
	}
	flow.requestNumber++
	flow.attempts = 0
	simulation.sendRequest(flow, flow.requestNumber)
}

func (simulation *Simulation) sendRequest(flow *flow, number int) {
	if flow.ended || flow.requestNumber != number || flow.attempts > maxAttempts {
		return
	}
	flow.attempts++
	simulation.sendFromCaller(flow, framer.Packet{
		Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence, PayloadLength: requestLength,
	})
	simulation.schedule(retransmitInterval, func() { simulation.sendRequest(flow, number) })
}

// replaceFlow ends a flow and opens another in its place.
func (simulation *Simulation) replaceFlow(flow *flow) {
	if flow.ended {
		return
	}
	flow.ended = true
	delete(simulation.flows, flow.tuple)
	if flow.server != nil {
		flow.server.openFlows--
	}
	simulation.openFlow(flow.service)
}

// breakFlow counts a broken flow and replaces it.
func (simulation *Simulation) breakFlow(flow *flow, cause string) {
	if flow.ended {
		return
	}
	simulation.result.Broken++
	simulation.result.BrokenByCause[cause]++
	simulation.replaceFlow(flow)
}

// sendFromCaller sends a caller's packet through the fabric to a random instance.
func (simulation *Simulation) sendFromCaller(flow *flow, packet framer.Packet) {
	instance := simulation.selectInstance("")
	if instance == nil {
		return
	}
	simulation.schedule(callerDelay, func() { simulation.receiveAtInstance(instance, flow, packet, nil) })
}

// selectInstance returns a random instance to which the fabric sends traffic and which is
// reachable from the failure domain, if one is given; nil if there is none.
func (simulation *Simulation) selectInstance(domain string) *instance {
	var usable []*instance
	for _, instance := range simulation.instances {
		if instance.receivesTraffic && (domain == "" || simulation.reachable(instance.FailureDomain, domain)) {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[simulation.random.IntN(len(usable))]
}

// receiveAtInstance delivers a packet to an instance; sender is the backend server of a packet
// on its way to the caller, nil otherwise.
func (simulation *Simulation) receiveAtInstance(instance *instance, flow *flow, packet framer.Packet, sender *backend) {
	if !instance.alive {
		if packet.Relayed {
			simulation.recordLostPacket(flow, packet, sender, "relayed to a dead instance")
		}
		return
	}
	simulation.runWhenActive(instance, func() {
		if simulation.measuring {
			instance.packets++
		}
		verdict := instance.balancer.HandlePacket(simulation.clock(), &packet)
		simulation.sendMessages(instance)
		simulation.applyVerdict(instance, verdict, flow, packet, sender)
	})
}

func (simulation *Simulation) applyVerdict(instance *instance, verdict decider.Verdict, flow *flow, packet framer.Packet, sender *backend) {
	if verdict.NoticeTo.IsValid() {
		notice := packet
		notice.Relayed, notice.Notice, notice.ServerHint = true, true, verdict.Hint
		simulation.relayPacket(instance, simulation.byTunnel[verdict.NoticeTo], flow, notice, sender)
	}
	switch verdict.Kind {
	case decider.ToInstance:
		packet.Relayed, packet.RelayRank, packet.ServerHint = true, verdict.Rank, verdict.Hint
		simulation.relayPacket(instance, simulation.byTunnel[verdict.Address], flow, packet, sender)
	case decider.ToBackendServer:
		simulation.sendToBackend(instance, simulation.byAddress[verdict.Address], flow, packet)
	case decider.ToCaller:
		simulation.schedule(callerDelay, func() { simulation.deliverToCaller(flow, packet, sender) })
	case decider.Refuse:
		simulation.handleRefusal(flow)
	case decider.Drop:
		reachable := flow.server == nil || simulation.reachable(instance.FailureDomain, flow.server.row.FailureDomain)
		if !packet.Notice && reachable {
			simulation.recordLostPacket(flow, packet, sender, verdict.Reason.String())
		}
	}
}

func (simulation *Simulation) relayPacket(from, to *instance, flow *flow, packet framer.Packet, sender *backend) {
	if simulation.measuring {
		from.relays++
	}
	if !simulation.reachable(from.FailureDomain, to.FailureDomain) {
		if flow.server != nil && simulation.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			simulation.recordLostPacket(flow, packet, sender, "relayed into a cut")
		}
		return
	}
	simulation.schedule(delayBetween(from.FailureDomain, to.FailureDomain), func() { simulation.receiveAtInstance(to, flow, packet, sender) })
}

// recordLostPacket counts an established flow as broken because one of its packets was lost. It
// ignores notices, openings and their answers, flows whose backend server is down, and packets
// of a backend server other than the flow's.
func (simulation *Simulation) recordLostPacket(flow *flow, packet framer.Packet, sender *backend, cause string) {
	if packet.Notice || flow.server == nil || flow.server.down || (sender != nil && sender != flow.server) {
		return
	}
	if packet.Flags&framer.FlagSYN != 0 {
		return
	}
	simulation.recordTrace(flow, flow.server)
	simulation.breakFlow(flow, cause)
}

func (simulation *Simulation) handleRefusal(flow *flow) {
	if simulation.measuring {
		simulation.result.Refused++
		if len(flow.offeredTo) > 0 {
			simulation.result.RefusedAfterOffer++
		}
	}
	if flow.server != nil {
		simulation.breakFlow(flow, "refused")
		return
	}
	flow.ended = true
	delete(simulation.flows, flow.tuple)
	simulation.schedule(2*time.Second, func() { simulation.openFlow(flow.service) })
}

// sendToBackend sends a caller's packet from an instance to a backend server.
func (simulation *Simulation) sendToBackend(from *instance, to *backend, flow *flow, packet framer.Packet) {
	domain := to.row.FailureDomain
	if !simulation.reachable(from.FailureDomain, domain) {
		if flow.server != nil && flow.server != to && simulation.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			simulation.breakFlow(flow, "sent to another backend server")
		}
		return
	}
	simulation.schedule(delayBetween(from.FailureDomain, domain), func() {
		if !to.down {
			simulation.receiveAtBackend(to, flow, packet)
		}
	})
}

func (simulation *Simulation) receiveAtBackend(backend *backend, flow *flow, packet framer.Packet) {
	if backend.service != flow.service {
		simulation.result.WrongService++
		simulation.breakFlow(flow, "sent to another service")
		return
	}
	switch {
	case packet.Flags&framer.FlagSYN != 0:
		simulation.acceptOpening(backend, flow)
	case flow.ended:
	case flow.server != backend:
		simulation.recordTrace(flow, backend)
		simulation.breakFlow(flow, "sent to another backend server")
	case packet.Flags&framer.FlagFIN != 0:
		simulation.sendFromBackend(backend, flow, framer.Packet{Flags: framer.FlagFIN | framer.FlagACK})
		simulation.replaceFlow(flow)
	case flow.lastServed < flow.requestNumber:
		flow.lastServed = flow.requestNumber
		simulation.serveRequest(backend, flow, packet)
	}
}

// acceptOpening records that an opening reached a backend server and answers it.
func (simulation *Simulation) acceptOpening(backend *backend, flow *flow) {
	offered := false
	for _, other := range flow.offeredTo {
		offered = offered || other == backend
	}
	if !offered {
		flow.offeredTo = append(flow.offeredTo, backend)
		if len(flow.offeredTo) > 1 && simulation.measuring {
			simulation.result.OfferedTwice++
		}
	}
	simulation.sendFromBackend(backend, flow, framer.Packet{Flags: framer.FlagSYN | framer.FlagACK, Sequence: 1})
}

// serveRequest runs a request in the slot that becomes free first.
func (simulation *Simulation) serveRequest(backend *backend, flow *flow, packet framer.Packet) {
	slot := 0
	for i := range backend.slotFreeAt {
		if backend.slotFreeAt[i] < backend.slotFreeAt[slot] {
			slot = i
		}
	}
	startsAt := max(simulation.now, backend.slotFreeAt[slot])
	work := simulation.random.ExpFloat64() * flow.service.meanRequestWork
	backend.slotFreeAt[slot] = startsAt + time.Duration(work/backend.slotSpeed*float64(time.Second))
	if simulation.measuring {
		simulation.result.queueWaits.RecordValue((startsAt - simulation.now).Microseconds())
	}
	answer := framer.Packet{Flags: framer.FlagACK, Acknowledgment: packet.Sequence + requestLength, PayloadLength: requestLength}
	simulation.schedule(backend.slotFreeAt[slot]-simulation.now, func() { simulation.sendFromBackend(backend, flow, answer) })
}

// sendFromBackend sends a backend server's packet through the fabric to a random instance.
func (simulation *Simulation) sendFromBackend(from *backend, flow *flow, packet framer.Packet) {
	packet.Tuple = flow.tuple.Reverse()
	packet.TunnelSource = from.row.Address
	instance := simulation.selectInstance(from.row.FailureDomain)
	if instance == nil {
		return
	}
	simulation.schedule(delayBetween(from.row.FailureDomain, instance.FailureDomain), func() { simulation.receiveAtInstance(instance, flow, packet, from) })
}

// deliverToCaller delivers a backend server's packet to its caller.
func (simulation *Simulation) deliverToCaller(flow *flow, packet framer.Packet, sender *backend) {
	switch {
	case flow.ended:
	case packet.Flags&framer.FlagSYN != 0:
		if flow.server == nil {
			flow.server = sender
			sender.openFlows++
			sender.lastNewFlow = simulation.now
			simulation.result.countFlow(simulation.measuring)
			simulation.sendFromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence})
			simulation.schedule(simulation.exponentialDelay(flow.service.meanThinkTime), func() { simulation.startRequest(flow) })
		}
	case packet.PayloadLength > 0 && packet.Acknowledgment == flow.sequence+requestLength:
		flow.sequence += requestLength
		flow.attempts = maxAttempts + 1 // stops the retransmissions of this request
		simulation.schedule(simulation.exponentialDelay(flow.service.meanThinkTime), func() { simulation.startRequest(flow) })
	}
}

func backendAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(number >> 8), byte(number)}), 6081)
}
