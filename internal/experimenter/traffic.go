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
func (world *World) openFlow(service *service) {
	world.nextPort++
	number := world.nextPort
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
		ends:     world.now + world.exponential(service.mean),
	}
	world.flows[started.tuple] = started
	world.sendOpening(started)
}

func (world *World) exponential(mean time.Duration) time.Duration {
	return time.Duration(world.random.ExpFloat64() * float64(mean))
}

func (world *World) sendOpening(flow *flow) {
	if flow.ended || flow.server != nil {
		return
	}
	flow.tries++
	if flow.tries > maxTries {
		world.replace(flow)
		return
	}
	world.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagSYN})
	world.after(repeatInterval, func() { world.sendOpening(flow) })
}

// request sends the next request, again every second until it is answered.
func (world *World) request(flow *flow) {
	if flow.ended {
		return
	}
	if world.now >= flow.ends {
		world.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.sequence})
		world.after(2*time.Second, func() { world.replace(flow) })
		return
	}
	flow.number++
	flow.tries = 0
	world.sendRequest(flow, flow.number)
}

func (world *World) sendRequest(flow *flow, number int) {
	if flow.ended || flow.number != number || flow.tries > maxTries {
		return
	}
	flow.tries++
	world.fromCaller(flow, framer.Packet{
		Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence, PayloadLength: requestLength,
	})
	world.after(repeatInterval, func() { world.sendRequest(flow, number) })
}

// replace ends a flow and opens another in its place.
func (world *World) replace(flow *flow) {
	if flow.ended {
		return
	}
	flow.ended = true
	delete(world.flows, flow.tuple)
	if flow.server != nil {
		flow.server.open--
	}
	world.openFlow(flow.service)
}

// breakFlow counts a broken flow and replaces it.
func (world *World) breakFlow(flow *flow, why string) {
	if flow.ended {
		return
	}
	world.result.Broken++
	world.result.Why[why]++
	world.replace(flow)
}

// fromCaller lets the fabric hand a packet to any instance.
func (world *World) fromCaller(flow *flow, packet framer.Packet) {
	instance := world.spray("")
	if instance == nil {
		return
	}
	world.after(callerDelay, func() { world.arrive(instance, flow, packet, nil) })
}

// spray picks an instance that the fabric uses and that reaches the failure domain, if one is given.
func (world *World) spray(domain string) *instance {
	var usable []*instance
	for _, instance := range world.instances {
		if instance.sprayed && (domain == "" || world.reachable(instance.FailureDomain, domain)) {
			usable = append(usable, instance)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[world.random.IntN(len(usable))]
}

// arrive hands a packet to an instance; sender is the backend server of a returning one.
func (world *World) arrive(at *instance, flow *flow, packet framer.Packet, sender *backend) {
	if !at.alive {
		if packet.Relayed {
			world.lost(flow, packet, sender, "relayed to a dead instance")
		}
		return
	}
	world.deliver(at, func() {
		if world.measuring {
			at.packets++
		}
		verdict := at.node.Packet(world.clock(), &packet)
		world.carryMessages(at)
		world.carryOut(at, verdict, flow, packet, sender)
	})
}

func (world *World) carryOut(at *instance, verdict decider.Verdict, flow *flow, packet framer.Packet, sender *backend) {
	if verdict.NoticeTo.IsValid() {
		copied := packet
		copied.Relayed, copied.Notice, copied.ServerHint = true, true, verdict.Hint
		world.relay(at, world.byTunnel[verdict.NoticeTo], flow, copied, sender)
	}
	switch verdict.Kind {
	case decider.ToInstance:
		packet.Relayed, packet.RelayRank, packet.ServerHint = true, verdict.Rank, verdict.Hint
		world.relay(at, world.byTunnel[verdict.Address], flow, packet, sender)
	case decider.ToBackendServer:
		world.toBackend(at, world.byAddress[verdict.Address], flow, packet)
	case decider.ToCaller:
		world.after(callerDelay, func() { world.toCaller(flow, packet, sender) })
	case decider.Refuse:
		world.refused(flow)
	case decider.Drop:
		reachable := flow.server == nil || world.reachable(at.FailureDomain, flow.server.row.FailureDomain)
		if !packet.Notice && reachable {
			world.lost(flow, packet, sender, verdict.Reason.String())
		}
	}
}

func (world *World) relay(from, to *instance, flow *flow, packet framer.Packet, sender *backend) {
	if world.measuring {
		from.relays++
	}
	if !world.reachable(from.FailureDomain, to.FailureDomain) {
		if flow.server != nil && world.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			world.lost(flow, packet, sender, "relayed into a cut")
		}
		return
	}
	world.after(delayBetween(from.FailureDomain, to.FailureDomain), func() { world.arrive(to, flow, packet, sender) })
}

// lost counts an established flow as broken when one of its packets went nowhere.
func (world *World) lost(flow *flow, packet framer.Packet, sender *backend, why string) {
	if packet.Notice || flow.server == nil || flow.server.down || (sender != nil && sender != flow.server) {
		return
	}
	if packet.Flags&framer.FlagSYN != 0 {
		return
	}
	world.trace(flow, flow.server)
	world.breakFlow(flow, why)
}

func (world *World) refused(flow *flow) {
	if world.measuring {
		world.result.Refused++
		if len(flow.offered) > 0 {
			world.result.RefusedAfterOffer++
		}
	}
	if flow.server != nil {
		world.breakFlow(flow, "refused")
		return
	}
	flow.ended = true
	delete(world.flows, flow.tuple)
	world.after(2*time.Second, func() { world.openFlow(flow.service) })
}

// toBackend delivers a caller's packet to a backend server.
func (world *World) toBackend(from *instance, to *backend, flow *flow, packet framer.Packet) {
	domain := to.row.FailureDomain
	if !world.reachable(from.FailureDomain, domain) {
		if flow.server != nil && flow.server != to && world.reachable(from.FailureDomain, flow.server.row.FailureDomain) {
			world.breakFlow(flow, "sent to another backend server")
		}
		return
	}
	world.after(delayBetween(from.FailureDomain, domain), func() {
		if !to.down {
			world.atBackend(to, flow, packet)
		}
	})
}

func (world *World) atBackend(at *backend, flow *flow, packet framer.Packet) {
	if at.service != flow.service {
		world.result.WrongService++
		world.breakFlow(flow, "sent to another service")
		return
	}
	switch {
	case packet.Flags&framer.FlagSYN != 0:
		world.acceptOpening(at, flow)
	case flow.ended:
	case flow.server != at:
		world.trace(flow, at)
		world.breakFlow(flow, "sent to another backend server")
	case packet.Flags&framer.FlagFIN != 0:
		world.respond(at, flow, framer.Packet{Flags: framer.FlagFIN | framer.FlagACK})
		world.replace(flow)
	case flow.done < flow.number:
		flow.done = flow.number
		world.serve(at, flow, packet)
	}
}

func (world *World) acceptOpening(at *backend, flow *flow) {
	offered := false
	for _, other := range flow.offered {
		offered = offered || other == at
	}
	if !offered {
		flow.offered = append(flow.offered, at)
		if len(flow.offered) > 1 && world.measuring {
			world.result.OfferedTwice++
		}
	}
	world.respond(at, flow, framer.Packet{Flags: framer.FlagSYN | framer.FlagACK, Sequence: 1})
}

// serve runs a request in the slot that is free first.
func (world *World) serve(at *backend, flow *flow, packet framer.Packet) {
	first := 0
	for i := range at.slots {
		if at.slots[i] < at.slots[first] {
			first = i
		}
	}
	starts := max(world.now, at.slots[first])
	work := world.random.ExpFloat64() * flow.service.work
	at.slots[first] = starts + time.Duration(work/at.strength*float64(time.Second))
	if world.measuring {
		world.result.waits.RecordValue((starts - world.now).Microseconds())
	}
	answer := framer.Packet{Flags: framer.FlagACK, Acknowledgment: packet.Sequence + requestLength, PayloadLength: requestLength}
	world.after(at.slots[first]-world.now, func() { world.respond(at, flow, answer) })
}

// respond sends a packet back through the fabric.
func (world *World) respond(from *backend, flow *flow, packet framer.Packet) {
	packet.Tuple = flow.tuple.Reverse()
	packet.TunnelSource = from.row.Address
	instance := world.spray(from.row.FailureDomain)
	if instance == nil {
		return
	}
	world.after(delayBetween(from.row.FailureDomain, instance.FailureDomain), func() { world.arrive(instance, flow, packet, from) })
}

// toCaller delivers a backend server's packet to its caller.
func (world *World) toCaller(flow *flow, packet framer.Packet, sender *backend) {
	switch {
	case flow.ended:
	case packet.Flags&framer.FlagSYN != 0:
		if flow.server == nil {
			flow.server = sender
			sender.open++
			sender.lastNew = world.now
			world.result.countFlow(world.measuring)
			world.fromCaller(flow, framer.Packet{Tuple: flow.tuple, Flags: framer.FlagACK, Sequence: flow.sequence})
			world.after(world.exponential(flow.service.think), func() { world.request(flow) })
		}
	case packet.PayloadLength > 0 && packet.Acknowledgment == flow.sequence+requestLength:
		flow.sequence += requestLength
		flow.tries = maxTries + 1 // no more copies of this request
		world.after(world.exponential(flow.service.think), func() { world.request(flow) })
	}
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(number >> 8), byte(number)}), 6081)
}
