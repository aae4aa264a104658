package decider

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/framer"
)

// VerdictKind is what to do with a packet.
type VerdictKind uint8

// Kinds of verdict.
const (
	Drop VerdictKind = iota
	ToBackendServer
	ToCaller
	ToInstance
	Refuse
)

// Verdict is the decision about one packet.
type Verdict struct {
	Kind     VerdictKind
	Reason   Count          // why a packet is dropped
	Address  netip.AddrPort // tunnel address of the backend server or instance
	Rank     uint8          // position of the instance in the flow's rank order
	Hint     uint32         // ID of the flow's backend server as far as this instance knows, 0 for none
	NoticeTo netip.AddrPort // instance that gets a notice, a copy of the packet to follow the flow's state, if valid
	Refusal  framer.Refusal // of an opening, by this instance (Refuse) or by the backend server (ToCaller), else zero
}

// maxRelays bounds how many instances one packet may visit.
const maxRelays = 24

// relayRounds is how often a packet goes through the rank order: first forwards and then
// backwards, since an instance may be reachable from the next in rank but not from the
// one before.
const relayRounds = 2

// crossPartitionRank marks a packet that was relayed across a possible network partition.
const crossPartitionRank = 255

// HandlePacket decides about one packet.
func (decider *Decider) HandlePacket(now time.Time, packet *framer.Packet) Verdict {
	decider.advanceClock(now)
	destination := serviceAddress{packet.Tuple.Destination, packet.Tuple.DestinationPort, packet.Tuple.Protocol}
	if service, ok := decider.servicesByAddress[destination]; ok {
		return decider.fromCaller(service, packet, flowKey(packet.Tuple))
	}
	source := serviceAddress{packet.Tuple.Source, packet.Tuple.SourcePort, packet.Tuple.Protocol}
	if service, ok := decider.servicesByAddress[source]; ok {
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

func endsFlow(packet *framer.Packet) bool { return packet.Flags&(framer.FlagFIN|framer.FlagRST) != 0 }

// fromCaller decides about a packet that a caller sends to a service.
func (decider *Decider) fromCaller(service *service, packet *framer.Packet, key uint64) Verdict {
	if isOpening(packet) {
		return decider.openFlow(service, packet, key)
	}
	flow, known := decider.lookupFlow(service, key)
	if known && flow.state == opening && !flow.pinned && !decider.isOpeningConfirmed(service, key, flow) {
		known = false // another home may have opened it elsewhere
	}
	if !known && packet.ServerHint != 0 {
		flow, known = decider.learnFromHint(service, packet, key)
	}
	if known {
		return decider.forwardToServer(packet, key, flow)
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		return decider.openFlow(service, packet, key)
	}
	return decider.handleUnknownFlow(service, packet, key)
}

// isOpeningConfirmed reports whether the entry of an opening can be relied on although
// its acceptance was not seen.
func (decider *Decider) isOpeningConfirmed(service *service, key uint64, flow flow) bool {
	server := service.expectedServer(key)
	return decider.hasAllPins() && server != nil && server.id == flow.serverID
}

// lookupFlow returns the entry of a flow. It removes the entry of a flow of another home if
// no epoch in use picks the backend server and no home has pinned it: that flow has ended.
func (decider *Decider) lookupFlow(service *service, key uint64) (flow, bool) {
	flow, known := decider.flows.get(key)
	if !known || flow.generation == service.generation || flow.pinned {
		return flow, known
	}
	if !flow.counted && !flow.orphan && !decider.isHome(key) && !service.anyEpochPicks(key, flow.serverID) {
		decider.dropFlow(key, flow)
		decider.counters.add(CountStaleFlows, 1)
		return flow, false
	}
	flow.generation = service.generation
	decider.flows.put(key, flow)
	return flow, true
}

// learnFromHint adds a flow with the backend server that the relaying instance knows.
func (decider *Decider) learnFromHint(service *service, packet *framer.Packet, key uint64) (flow, bool) {
	server, ok := decider.servers[packet.ServerHint]
	if !ok || server.service != service {
		return flow{}, false
	}
	return decider.learnFlow(key, server, packet), true
}

// learnFlow adds a flow that this instance did not open, as far as it knows.
func (decider *Decider) learnFlow(key uint64, server *server, packet *framer.Packet) flow {
	learned := newFlow(established)
	if isOpening(packet) {
		learned.state = opening
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		learned.state = datagram
	}
	learned.serverID = server.id
	learned.generation = server.service.generation
	learned.lastSeen = decider.uptimeSeconds(decider.now)
	learned.orphan = learned.state != opening && decider.homeMoved(key)
	decider.pinOrReportException(key, server, &learned)
	decider.putFlow(key, learned)
	return learned
}

// pinOrReportException announces a flow that instances which do not know it might send to
// another backend server: its home pins it, any other instance reports it to the home.
func (decider *Decider) pinOrReportException(key uint64, server *server, learned *flow) {
	if !decider.integrated || server.service.agreedServer(key) == server {
		return
	}
	if decider.isHome(key) {
		decider.counters.add(CountPinsLearned, 1)
		decider.pinFlow(key, learned)
		return
	}
	if home := decider.lastKnownHome(key); home != nil {
		home.queuedFlows = AppendPin(home.queuedFlows, Pin{Flow: key, Server: server.id})
		decider.pinsQueued = true
	}
}

// forwardToServer forwards a caller's packet to the backend server of its flow.
func (decider *Decider) forwardToServer(packet *framer.Packet, key uint64, flow flow) Verdict {
	server := decider.servers[flow.serverID]
	flow.lastSeen = decider.uptimeSeconds(decider.now)
	if flow.state == opening && packet.Tuple.Protocol == framer.ProtocolTCP {
		// The caller has received the acceptance, which may have bypassed this home.
		flow.state = established
		if !flow.pinned && decider.isHome(key) && decider.needsPin(server.service, key, server) {
			decider.pinFlow(key, &flow)
		}
	}
	if packet.PayloadLength > 0 && packet.Tuple.Protocol == framer.ProtocolTCP {
		flow.responsePending = true
		flow.expectedAck = packet.Sequence + uint32(packet.PayloadLength)
		flow.sentAt = decider.uptimeMicroseconds(decider.now)
	}
	flow.applyFlags(packet.Flags, true)
	decider.putFlow(key, flow)
	decider.counters.add(CountToBackendServer, 1)
	verdict := Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
	decider.notifyHome(&verdict, packet, key)
	if packet.Notice {
		return decider.finishNotice(server, packet, key)
	}
	if endsFlow(packet) && decider.isHome(key) {
		decider.notifyReplica(&verdict, server, key)
	}
	return verdict
}

// notifyHome sends a copy of a packet that ends the flow to the flow's home.
func (decider *Decider) notifyHome(verdict *Verdict, packet *framer.Packet, key uint64) {
	if !endsFlow(packet) || packet.Relayed || packet.Notice || len(decider.view) == 0 {
		return
	}
	if home := decider.home(key); home != nil {
		verdict.NoticeTo = home.Tunnel
		decider.counters.add(CountNoticesSent, 1)
	}
}

// handleUnknownFlow handles a TCP packet, other than an opening, of a flow that this
// instance does not know.
func (decider *Decider) handleUnknownFlow(service *service, packet *framer.Packet, key uint64) Verdict {
	if packet.Notice {
		return Verdict{Kind: Drop, Reason: CountNotices}
	}
	if server := service.expectedServer(key); server != nil && decider.hasAllPins() {
		return decider.forwardToServer(packet, key, decider.learnFlow(key, server, packet))
	}
	if own, known := decider.flows.get(key); known && own.counted && !decider.domainUnreachable && decider.hasVisitedAll(packet) {
		return decider.forwardToServer(packet, key, own) // no other instance has opened it
	}
	if verdict, ok := decider.relayToNextRank(packet, key); ok {
		return verdict
	}
	oldest := service.oldestEpoch()
	if oldest == nil || !decider.hasAllPins() {
		// The flow may have been opened beyond a partition, or during a pause. If the packet is
		// dropped, the caller's retransmission may succeed; a wrong backend server would reset the flow.
		return decider.drop(CountUnknownFlow)
	}
	server := oldest.pick(key)
	if server == nil {
		return decider.drop(CountUnknownFlow)
	}
	decider.counters.add(CountGuessedFlows, 1)
	return decider.forwardToServer(packet, key, decider.learnFlow(key, server, packet))
}

// hasAllPins reports whether this instance has every pin that the others rely on.
func (decider *Decider) hasAllPins() bool {
	return decider.integrated && !decider.pinsPending && !decider.domainUnreachable
}

// relayToNextRank relays a packet to the next instance that may know its flow, in the
// flow's rank order; the home is the first in it that opens flows.
func (decider *Decider) relayToNextRank(packet *framer.Packet, key uint64) (Verdict, bool) {
	if home := decider.lastKnownHome(key); len(decider.reachable) == 1 && home != nil && !packet.Relayed {
		return decider.relay(home, 0, 0), true // no other instance is reachable yet
	}
	ranked := decider.rankedMembers(key)
	rank := 0
	if packet.Relayed {
		rank = int(packet.RelayRank) + 1
	}
	for ; rank < relayRounds*len(ranked) && rank < maxRelays; rank++ {
		next := ranked[rank%len(ranked)]
		if rank >= len(ranked) {
			next = ranked[relayRounds*len(ranked)-1-rank]
		}
		if next == nil || !next.reachable || decider.isSuspect(next) {
			continue
		}
		return decider.relay(next, rank, 0), true
	}
	return decider.relayAcrossPartition(packet, key)
}

// hasVisitedAll reports whether a packet has already been relayed once through the rank order.
func (decider *Decider) hasVisitedAll(packet *framer.Packet) bool {
	return packet.Relayed && int(packet.RelayRank) >= len(decider.sortedMembers)+1
}

// isSuspect reports whether an instance has been unresponsive for longer than SuspectTimeout.
func (decider *Decider) isSuspect(member *member) bool {
	return decider.now.Sub(member.lastReceived) > SuspectTimeout
}

// relayAcrossPartition relays a packet whose flow no instance on this side of a
// partition knows to the instance that would be its home on the other side. The
// partition may just have healed, or the instances there have become reachable while
// the packet was being relayed.
func (decider *Decider) relayAcrossPartition(packet *framer.Packet, key uint64) (Verdict, bool) {
	if decider.hasAllPins() || packet.RelayRank == crossPartitionRank {
		return Verdict{}, false
	}
	var beyond []viewEntry
	for _, member := range decider.sortedMembers {
		justJoined := decider.now.Sub(member.joinedAt) < HeartbeatInterval
		if member.listed && (!member.reachable || justJoined) {
			beyond = append(beyond, viewEntry{hash: member.hash, member: member})
		}
	}
	if len(beyond) == 0 {
		return Verdict{}, false
	}
	return decider.relay(homeInView(beyond, key), crossPartitionRank, 0), true
}

func (decider *Decider) relay(to *member, rank int, hint uint32) Verdict {
	decider.counters.add(CountRelayed, 1)
	return Verdict{Kind: ToInstance, Address: to.Tunnel, Rank: uint8(rank), Hint: hint}
}
