package decider

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/framer"
)

// VerdictKind says what to do with a packet.
type VerdictKind uint8

// Kinds of verdict.
const (
	Drop VerdictKind = iota
	ToBackendServer
	ToCaller
	ToInstance
	Refuse
)

// Verdict is what a Decider decided about one packet.
type Verdict struct {
	Kind    VerdictKind
	Reason  Count          // why a packet is dropped
	Address netip.AddrPort // tunnel address of the backend server or instance
	Rank    uint8          // place of the instance in the flow's rank order
	Hint    uint32         // backend server that the sender knows, 0 for none
	Notice  netip.AddrPort // instance that gets a copy, when valid
	Refusal framer.Refusal
}

// maxWalk bounds how many instances one packet may visit.
const maxWalk = 24

// walkRounds is how often a packet goes through the rank order: there and back,
// since the one after an instance may hear it where the one before it does not.
const walkRounds = 2

// farRank marks a packet that was sent across what may be a cut.
const farRank = 255

// Packet decides about one packet.
func (decider *Decider) Packet(now time.Time, packet *framer.Packet) Verdict {
	decider.advanceClock(now)
	destination := serviceAddress{packet.Tuple.Destination, packet.Tuple.DestinationPort, packet.Tuple.Protocol}
	if service, ok := decider.addresses[destination]; ok {
		return decider.fromCaller(service, packet, flowKey(packet.Tuple))
	}
	source := serviceAddress{packet.Tuple.Source, packet.Tuple.SourcePort, packet.Tuple.Protocol}
	if service, ok := decider.addresses[source]; ok {
		return decider.fromServer(service, packet, flowKey(packet.Tuple.Reverse()))
	}
	return decider.drop(CountUnknownService)
}

// flowKey hashes a tuple as seen from the caller.
func flowKey(tuple framer.Tuple) uint64 {
	var bytes [13]byte
	copy(bytes[0:], tuple.Source[:])
	copy(bytes[4:], tuple.Destination[:])
	bytes[8], bytes[9] = byte(tuple.SourcePort>>8), byte(tuple.SourcePort)
	bytes[10], bytes[11] = byte(tuple.DestinationPort>>8), byte(tuple.DestinationPort)
	bytes[12] = tuple.Protocol
	return xxhash.Sum64(bytes[:])
}

func (decider *Decider) drop(reason Count) Verdict {
	decider.counters.add(reason, 1)
	return Verdict{Kind: Drop, Reason: reason}
}

func isOpening(packet *framer.Packet) bool {
	return packet.Tuple.Protocol == framer.ProtocolTCP && packet.Flags&(framer.FlagSYN|framer.FlagACK) == framer.FlagSYN
}

func isEnd(packet *framer.Packet) bool { return packet.Flags&(framer.FlagFIN|framer.FlagRST) != 0 }

func (decider *Decider) fromCaller(service *service, packet *framer.Packet, key uint64) Verdict {
	if isOpening(packet) {
		return decider.open(service, packet, key)
	}
	flow, known := decider.lookup(service, key)
	if known && flow.state == opening && !flow.pinned && !decider.explains(service, key, flow) {
		known = false // another home may have opened it
	}
	if !known && packet.ServerHint != 0 {
		flow, known = decider.learnHint(service, packet, key)
	}
	if known {
		return decider.forward(packet, key, flow)
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		return decider.open(service, packet, key)
	}
	return decider.unknown(service, packet, key)
}

// explains reports whether an opening whose acceptance has not been seen can be believed.
func (decider *Decider) explains(service *service, key uint64, flow flow) bool {
	server := service.unpinned(key)
	return decider.consistent() && server != nil && server.id == flow.server
}

// lookup returns what this instance knows of a flow; an entry that no epoch
// explains and no home has pinned is left from a flow that has ended.
func (decider *Decider) lookup(service *service, key uint64) (flow, bool) {
	flow, known := decider.flows.get(key)
	if !known || flow.generation == service.generation || flow.pinned {
		return flow, known
	}
	if !flow.counted && !flow.orphan && !decider.isHome(key) && !service.anyEpochPicks(key, flow.server) {
		decider.dropFlow(key, flow)
		decider.counters.add(CountStaleFlows, 1)
		return flow, false
	}
	flow.generation = service.generation
	decider.flows.put(key, flow)
	return flow, true
}

// learnHint takes the backend server that the relaying instance knows.
func (decider *Decider) learnHint(service *service, packet *framer.Packet, key uint64) (flow, bool) {
	server, ok := decider.servers[packet.ServerHint]
	if !ok || server.service != service {
		return flow{}, false
	}
	return decider.learn(key, server, packet), true
}

func (decider *Decider) learn(key uint64, server *server, packet *framer.Packet) flow {
	learned := newFlow(established)
	if isOpening(packet) {
		learned.state = opening
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		learned.state = datagram
	}
	learned.server = server.id
	learned.generation = server.service.generation
	learned.seen = decider.seconds(decider.now)
	learned.orphan = learned.state != opening && decider.movedHome(key)
	decider.tellExceptions(key, server, &learned)
	decider.putFlow(key, learned)
	return learned
}

// tellExceptions spreads a flow that was met on a backend server to which
// instances that do not know it might not send it.
func (decider *Decider) tellExceptions(key uint64, server *server, learned *flow) {
	if !decider.integrated || server.service.certain(key) == server {
		return
	}
	if decider.isHome(key) {
		decider.counters.add(CountPinsMet, 1)
		decider.pin(key, learned)
		return
	}
	if home := decider.homeOrNil(key); home != nil {
		home.flows = AppendPin(home.flows, Pin{Flow: key, Server: server.id})
		decider.pinsQueued = true
	}
}

// forward sends a caller's packet to the backend server of its flow.
func (decider *Decider) forward(packet *framer.Packet, key uint64, flow flow) Verdict {
	server := decider.servers[flow.server]
	flow.seen = decider.seconds(decider.now)
	if flow.state == opening && packet.Tuple.Protocol == framer.ProtocolTCP {
		// The caller has seen the acceptance, which may have gone past this home.
		flow.state = established
		if !flow.pinned && decider.isHome(key) && decider.needsPin(server.service, key, server) {
			decider.pin(key, &flow)
		}
	}
	if packet.PayloadLength > 0 && packet.Tuple.Protocol == framer.ProtocolTCP {
		flow.pending = true
		flow.expect = packet.Sequence + uint32(packet.PayloadLength)
		flow.sent = decider.microseconds(decider.now)
	}
	flow.end(packet.Flags, true)
	decider.putFlow(key, flow)
	decider.counters.add(CountToBackendServer, 1)
	verdict := Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
	decider.noticeHome(&verdict, packet, key)
	if packet.Notice {
		return decider.noticed(server, packet, key)
	}
	if isEnd(packet) && decider.isHome(key) {
		decider.noticeReplica(&verdict, server, key)
	}
	return verdict
}

// noticeHome lets the flow's home see the end of the flow too.
func (decider *Decider) noticeHome(verdict *Verdict, packet *framer.Packet, key uint64) {
	if !isEnd(packet) || packet.Relayed || packet.Notice || len(decider.view) == 0 {
		return
	}
	if home := decider.home(key); home != nil {
		verdict.Notice = home.Tunnel
		decider.counters.add(CountNoticesSent, 1)
	}
}

// unknown handles a TCP packet of an established flow that this instance does not know.
func (decider *Decider) unknown(service *service, packet *framer.Packet, key uint64) Verdict {
	if packet.Notice {
		return Verdict{Kind: Drop, Reason: CountNotices}
	}
	if server := service.unpinned(key); server != nil && decider.consistent() {
		return decider.forward(packet, key, decider.learn(key, server, packet))
	}
	if own, known := decider.flows.get(key); known && own.counted && !decider.darkened && decider.asked(packet) {
		return decider.forward(packet, key, own) // nobody knows of another opening
	}
	if verdict, ok := decider.ask(packet, key); ok {
		return verdict
	}
	oldest := service.oldest()
	if oldest == nil || !decider.consistent() {
		// The flow may have been opened beyond a cut, or during a pause. Silence lets the caller's
		// next copy find its way; a wrong backend server would reset the flow.
		return decider.drop(CountUnknownFlow)
	}
	server := oldest.pick(key)
	if server == nil {
		return decider.drop(CountUnknownFlow)
	}
	decider.counters.add(CountGuessed, 1)
	return decider.forward(packet, key, decider.learn(key, server, packet))
}

// consistent reports whether this instance holds every pin that the others rely on.
func (decider *Decider) consistent() bool {
	return decider.integrated && !decider.merging && !decider.darkened
}

// ask passes a packet on to the next instance that may know its flow, in the
// flow's rank order, in which its home is the first that decides.
func (decider *Decider) ask(packet *framer.Packet, key uint64) (Verdict, bool) {
	if home := decider.homeOrNil(key); len(decider.walk) == 1 && home != nil && !packet.Relayed {
		return decider.relay(home, 0, 0), true // nobody is heard yet
	}
	ranked := decider.ranked(key)
	rank := 0
	if packet.Relayed {
		rank = int(packet.RelayRank) + 1
	}
	for ; rank < walkRounds*len(ranked) && rank < maxWalk; rank++ {
		next := ranked[rank%len(ranked)]
		if rank >= len(ranked) {
			next = ranked[walkRounds*len(ranked)-1-rank]
		}
		if next == nil || !next.alive || decider.doubtful(next) {
			continue
		}
		return decider.relay(next, rank, 0), true
	}
	return decider.askUnheard(packet, key)
}

// asked reports whether a packet has been through the rank order already.
func (decider *Decider) asked(packet *framer.Packet) bool {
	return packet.Relayed && int(packet.RelayRank) >= len(decider.roster)+1
}

// doubtful reports whether an instance has been silent for longer than heartbeats take.
func (decider *Decider) doubtful(member *member) bool {
	return decider.now.Sub(member.lastHeard) > DoubtTimeout
}

// askUnheard passes a packet that nobody on this side of a cut knows to the
// instance that would be its home on the other side: the cut may just have
// healed, or its instances were heard again while the packet was on its way.
func (decider *Decider) askUnheard(packet *framer.Packet, key uint64) (Verdict, bool) {
	if decider.consistent() || packet.RelayRank == farRank {
		return Verdict{}, false
	}
	var unheard []place
	for _, member := range decider.roster {
		justHeard := decider.now.Sub(member.joined) < HeartbeatInterval
		if member.listed && (!member.alive || justHeard) {
			unheard = append(unheard, place{hash: member.hash, member: member})
		}
	}
	if len(unheard) == 0 {
		return Verdict{}, false
	}
	return decider.relay(topOf(unheard, key), farRank, 0), true
}

func (decider *Decider) relay(to *member, rank int, hint uint32) Verdict {
	decider.counters.add(CountRelayed, 1)
	return Verdict{Kind: ToInstance, Address: to.Tunnel, Rank: uint8(rank), Hint: hint}
}
