package experimenter

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

const (
	requestLength  = 100 // bytes
	repeatInterval = time.Second
	maxTries       = 8
)

// service is one service with its backend servers.
type service struct {
	spec     parser.Service
	backends []*backend
	flows    int // open at once
	mean     time.Duration
	think    time.Duration
	work     float64 // mean work units of a request
}

// backend is a backend server with slots.
type backend struct {
	row      parser.BackendServer
	service  *service
	strength float64
	slots    [3]time.Duration // when each slot is free
	open     int
	samples  []int // of open, every second
	lastNew  time.Duration
	down     bool
}

// flow is one flow as its caller sees it.
type flow struct {
	tuple    framer.Tuple
	service  *service
	server   *backend   // that accepted it
	offered  []*backend // that got its opening
	sequence uint32
	number   int // of the running request
	done     int // number of the last request that the server took
	ends     time.Duration
	ended    bool
	tries    int
}

// openFlow starts a new flow of a service.
func (simulation *Simulation) openFlow(service *service) {
	simulation.nextPort++
	number := simulation.nextPort
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
		ends:     simulation.now + simulation.exponential(service.mean),
	}
	simulation.flows[started.tuple] = started
	simulation.sendOpening(started)
}

func (simulation *Simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(simulation.random.ExpFloat64() * float64(mean))
}

func (simulation *Simulation) sendOpening(flow *flow) {
	if flow.ended || flow.server != nil {
		return
	}
	flow.tries++
	if flow.tries > maxTries {
		simulation.replace(flow)
		return
	}
	simulation.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagSYN})
	simulation.after(repeatInterval, func() { simulation.sendOpening(flow) })
}

// request sends the next request, again every second until it is answered.
func (simulation *Simulation) request(flow *flow) {
	if flow.ended {
		return
	}
	if simulation.now >= flow.ends {
		simulation.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.sequence})
		simulation.after(2*time.Second, func() { simulation.replace(flow) })
		return
	}
	flow.number++
	flow.tries = 0
	simulation.sendRequest(flow, flow.number)
}

func (simulation *Simulation) sendRequest(flow *flow, number int) {
	if flow.ended || flow.number != number || flow.tries > maxTries {
		return
	}
	flow.tries++
	simulation.fromCaller(flow, framer.Packet{
		Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence, PayloadLength: requestLength,
	})
	simulation.after(repeatInterval, func() { simulation.sendRequest(flow, number) })
}

// replace ends a flow and opens another in its place.
func (simulation *Simulation) replace(flow *flow) {
	if flow.ended {
		return
	}
	flow.ended = true
	delete(simulation.flows, flow.tuple)
	if flow.server != nil {
		flow.server.open--
	}
	simulation.openFlow(flow.service)
}

// breakFlow counts a broken flow and replaces it.
func (simulation *Simulation) breakFlow(flow *flow, why string) {
	if flow.ended {
		return
	}
	simulation.result.Broken++
	simulation.result.BrokenByCause[why]++
	simulation.replace(flow)
}

// fromCaller lets the fabric hand a packet to any instance.
func (simulation *Simulation) fromCaller(flow *flow, packet framer.Packet) {
	instance := simulation.spray("")
	if instance == nil {
		return
	}
	simulation.after(callerDelay, func() { simulation.arrive(instance, flow, packet, nil) })
}

// spray picks an instance that the fabric uses and that reaches the failure domain, if one is given.
func (simulation *Simulation) spray(domain string) *instance {
	var usable []*instance
	for _, instance := range simulation.instances {
		if instance.sprayed && (domain == "" || simulation.reachable(instance.FailureDomain, domain)) {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[simulation.random.IntN(len(usable))]
}

// arrive hands a packet to an instance; sender is the backend server of a returning one.
func (simulation *Simulation) arrive(at *instance, flow *flow, packet framer.Packet, sender *backend) {
	if !at.alive {
		if packet.Relayed {
			simulation.lost(flow, packet, sender, "relayed to a dead instance")
		}
		return
	}
	simulation.deliver(at, func() {
		if simulation.measuring {
			at.packets++
		}
		verdict := at.node.HandlePacket(simulation.clock(), &packet)
		simulation.carryMessages(at)
		simulation.carryOut(at, verdict, flow, packet, sender)
	})
}

func (simulation *Simulation) carryOut(at *instance, verdict decider.Verdict, flow *flow, packet framer.Packet, sender *backend) {
	if verdict.NoticeTo.IsValid() {
		copied := packet
		copied.Relayed, copied.Notice, copied.Hint = true, true, verdict.Hint
		simulation.relay(at, simulation.byTunnel[verdict.NoticeTo], flow, copied, sender)
	}
	switch verdict.Kind {
	case decider.ToInstance:
		packet.Relayed, packet.RelayRank, packet.Hint = true, verdict.Rank, verdict.Hint
		simulation.relay(at, simulation.byTunnel[verdict.Address], flow, packet, sender)
	case decider.ToBackendServer:
		simulation.toBackend(at, simulation.byAddress[verdict.Address], flow, packet)
	case decider.ToCaller:
		simulation.after(callerDelay, func() { simulation.toCaller(flow, packet, sender) })
	case decider.Refuse:
		simulation.refused(flow)
	case decider.Drop:
		reachable := flow.server == nil || simulation.reachable(at.FailureDomain, flow.server.row.FailureDomain)
		if !packet.Notice && reachable {
			simulation.lost(flow, packet, sender, verdict.Reason.String())
		}
	}
}

func (simulation *Simulation) relay(from, to *instance, flow *flow, packet framer.Packet, sender *backend) {
	if simulation.measuring {
		from.relays++
	}
	if !simulation.reachable(from.FailureDomain, to.FailureDomain) {
		if flow.server != nil && simulation.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			simulation.lost(flow, packet, sender, "relayed into a cut")
		}
		return
	}
	simulation.after(delayBetween(from.FailureDomain, to.FailureDomain), func() { simulation.arrive(to, flow, packet, sender) })
}

// lost counts an established flow as broken when one of its packets went nowhere.
func (simulation *Simulation) lost(flow *flow, packet framer.Packet, sender *backend, why string) {
	if packet.Notice || flow.server == nil || flow.server.down || (sender != nil && sender != flow.server) {
		return
	}
	if packet.Flags&framer.FlagSYN != 0 {
		return
	}
	simulation.trace(flow, flow.server)
	simulation.breakFlow(flow, why)
}

func (simulation *Simulation) refused(flow *flow) {
	if simulation.measuring {
		simulation.result.Refused++
		if len(flow.offered) > 0 {
			simulation.result.RefusedAfterOffer++
		}
	}
	if flow.server != nil {
		simulation.breakFlow(flow, "refused")
		return
	}
	flow.ended = true
	delete(simulation.flows, flow.tuple)
	simulation.after(2*time.Second, func() { simulation.openFlow(flow.service) })
}

// toBackend delivers a caller's packet to a backend server.
func (simulation *Simulation) toBackend(from *instance, to *backend, flow *flow, packet framer.Packet) {
	domain := to.row.FailureDomain
	if !simulation.reachable(from.FailureDomain, domain) {
		if flow.server != nil && flow.server != to && simulation.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			simulation.breakFlow(flow, "sent to another backend server")
		}
		return
	}
	simulation.after(delayBetween(from.FailureDomain, domain), func() {
		if !to.down {
			simulation.atBackend(to, flow, packet)
		}
	})
}

func (simulation *Simulation) atBackend(at *backend, flow *flow, packet framer.Packet) {
	if at.service != flow.service {
		simulation.result.WrongService++
		simulation.breakFlow(flow, "sent to another service")
		return
	}
	switch {
	case packet.Flags&framer.FlagSYN != 0:
		simulation.acceptOpening(at, flow)
	case flow.ended:
	case flow.server != at:
		simulation.trace(flow, at)
		simulation.breakFlow(flow, "sent to another backend server")
	case packet.Flags&framer.FlagFIN != 0:
		simulation.respond(at, flow, framer.Packet{Flags: framer.FlagFIN | framer.FlagACK})
		simulation.replace(flow)
	case flow.done < flow.number:
		flow.done = flow.number
		simulation.serve(at, flow, packet)
	}
}

func (simulation *Simulation) acceptOpening(at *backend, flow *flow) {
	offered := false
	for _, other := range flow.offered {
		offered = offered || other == at
	}
	if !offered {
		flow.offered = append(flow.offered, at)
		if len(flow.offered) > 1 && simulation.measuring {
			simulation.result.OfferedTwice++
		}
	}
	simulation.respond(at, flow, framer.Packet{Flags: framer.FlagSYN | framer.FlagACK, Sequence: 1})
}

// serve runs a request in the slot that is free first.
func (simulation *Simulation) serve(at *backend, flow *flow, packet framer.Packet) {
	first := 0
	for i := range at.slots {
		if at.slots[i] < at.slots[first] {
			first = i
		}
	}
	starts := max(simulation.now, at.slots[first])
	work := simulation.random.ExpFloat64() * flow.service.work
	at.slots[first] = starts + time.Duration(work/at.strength*float64(time.Second))
	if simulation.measuring {
		simulation.result.waits.RecordValue((starts - simulation.now).Microseconds())
	}
	answer := framer.Packet{Flags: framer.FlagACK, Acknowledge: packet.Sequence + requestLength, PayloadLength: requestLength}
	simulation.after(at.slots[first]-simulation.now, func() { simulation.respond(at, flow, answer) })
}

// respond sends a packet back through the fabric.
func (simulation *Simulation) respond(from *backend, flow *flow, packet framer.Packet) {
	packet.Tuple = flow.tuple.Reverse()
	packet.TunnelSource = from.row.Address
	instance := simulation.spray(from.row.FailureDomain)
	if instance == nil {
		return
	}
	simulation.after(delayBetween(from.row.FailureDomain, instance.FailureDomain), func() { simulation.arrive(instance, flow, packet, from) })
}

// toCaller delivers a backend server's packet to its caller.
func (simulation *Simulation) toCaller(flow *flow, packet framer.Packet, sender *backend) {
	switch {
	case flow.ended:
	case packet.Flags&framer.FlagSYN != 0:
		if flow.server == nil {
			flow.server = sender
			sender.open++
			sender.lastNew = simulation.now
			simulation.result.countFlow(simulation.measuring)
			simulation.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence})
			simulation.after(simulation.exponential(flow.service.think), func() { simulation.request(flow) })
		}
	case packet.PayloadLength > 0 && packet.Acknowledge == flow.sequence+requestLength:
		flow.sequence += requestLength
		flow.tries = maxTries + 1 // no more copies of this request
		simulation.after(simulation.exponential(flow.service.think), func() { simulation.request(flow) })
	}
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(number >> 8), byte(number)}), 6081)
}
