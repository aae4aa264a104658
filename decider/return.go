package decider

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/picker"
)

// responseBatchSize is the number of response times in a batch, of which the smallest is reported.
const responseBatchSize = 4

// responseBatch keeps the smallest of a few response times. This keeps the wait for a
// free slot out of the measure of a backend server's speed.
type responseBatch struct {
	count    int
	smallest uint32 // microseconds
}

// fromServer decides about a packet that a backend server sends to a caller.
func (decider *Decider) fromServer(service *service, packet *framer.Packet, key uint64) Verdict {
	server := decider.sourceServer(service, packet)
	if server == nil {
		return decider.drop(CountUnknownBackendServer)
	}
	if !packet.Relayed {
		server.unsentLoad.Returned++
	}
	if answersOpening(packet) && !packet.Relayed {
		if home := decider.lastKnownHome(key); home != nil {
			if service.agreedServer(key) == server {
				decider.learnRemoteOpening(service, packet, key)
			}
			decider.markRemoteAccepted(server, packet, key)
			return decider.relay(home, 0, server.id)
		}
	}
	flow, known := decider.lookupFlow(service, key)
	if !known {
		return decider.handleUnknownReturn(service, server, packet, key)
	}
	trusted := decider.hasAllPins() && decider.isHome(key) && decider.awaitsAcceptance(flow)
	if flow.serverID != server.id && flow.state == opening && !answersOpening(packet) && !trusted {
		// A home beyond a partition has opened it at the backend server that answers.
		decider.dropFlow(key, flow)
		return decider.handleUnknownReturn(service, server, packet, key)
	}
	if flow.serverID != server.id {
		return decider.drop(CountStaleReturn)
	}
	return decider.forwardToCaller(server, packet, key, flow)
}

// awaitsAcceptance reports whether an opening of this home can still be accepted. One
// from before a change of home, or one that its caller has stopped retransmitting, may
// have been opened elsewhere.
func (decider *Decider) awaitsAcceptance(flow flow) bool {
	idle := time.Duration(decider.uptimeSeconds(decider.now)-flow.lastSeen) * time.Second
	return !flow.orphan && idle < RetransmissionWindow
}

// answersOpening reports whether the packet accepts or resets an opening (RFC 9293
// section 3.10.7.1: the reset of a SYN has sequence number 0).
func answersOpening(packet *framer.Packet) bool {
	if packet.Tuple.Protocol != framer.ProtocolTCP {
		return false
	}
	return packet.Flags&framer.FlagSYN != 0 || refusesOpening(packet)
}

// refusesOpening reports whether the packet resets an opening.
func refusesOpening(packet *framer.Packet) bool {
	return packet.Flags&framer.FlagRST != 0 && packet.Flags&framer.FlagACK != 0 && packet.Sequence == 0
}

// sourceServer returns the backend server that sent the packet, or nil if it does not belong to
// the service.
func (decider *Decider) sourceServer(service *service, packet *framer.Packet) *server {
	if packet.ServerHint != 0 {
		if server := decider.servers[packet.ServerHint]; server != nil && server.service == service {
			return server
		}
		return nil
	}
	return decider.serversByEndpoint[endpointKey{service: service, endpoint: packet.TunnelSource}]
}

type endpointKey struct {
	service  *service
	endpoint netip.AddrPort
}

// handleUnknownReturn handles a packet from a backend server of a flow that this instance
// does not know.
func (decider *Decider) handleUnknownReturn(service *service, server *server, packet *framer.Packet, key uint64) Verdict {
	if packet.Notice {
		if answersOpening(packet) && !refusesOpening(packet) {
			learned := decider.learnFlow(key, server, packet)
			learned.replica = true
			decider.putFlow(key, learned)
		}
		return Verdict{Kind: Drop, Reason: CountNotices}
	}
	picked := service.anyEpochPicks(key, server.id)
	home := decider.lastKnownHome(key)
	if !picked && home != nil && !packet.Relayed {
		return decider.relay(home, 0, server.id)
	}
	return decider.forwardToCaller(server, packet, key, decider.learnFlow(key, server, packet))
}

// forwardToCaller forwards a backend server's packet to the caller.
func (decider *Decider) forwardToCaller(server *server, packet *framer.Packet, key uint64, flow flow) Verdict {
	flow.lastSeen = decider.uptimeSeconds(decider.now)
	// Anything but a refusal from the backend server of an opening shows that it has the flow.
	conclusive := answersOpening(packet) || decider.isHome(key)
	accepted := flow.state == opening && conclusive && !refusesOpening(packet)
	shed := flow.state == opening && refusesOpening(packet)
	decider.recordSignals(server, packet, &flow)
	if accepted && !flow.pinned && (flow.serverChanged || decider.needsPin(server.service, key, server)) {
		decider.counters.add(CountPinsAtAccept, 1)
		decider.pinFlow(key, &flow)
		decider.flushPins()
	}
	flow.applyFlags(packet.Flags, false)
	decider.putFlow(key, flow)
	if packet.Notice {
		return decider.finishNotice(server, packet, key)
	}
	decider.counters.add(CountToCaller, 1)
	verdict := Verdict{Kind: ToCaller, Hint: server.id}
	if shed {
		decider.counters.add(CountRefusedShed, 1)
		verdict.Refusal = framer.Refusal{Reason: framer.ReasonBackendServerShed, RetryAfter: retryAfterShed}
	}
	if !answersOpening(packet) {
		decider.notifyHome(&verdict, packet, key)
	}
	if accepted || (endsFlow(packet) && decider.isHome(key)) {
		decider.notifyReplica(&verdict, server, key)
	}
	return verdict
}

// finishNotice drops a notice after it was applied; the home passes the end of a flow on to the
// replica.
func (decider *Decider) finishNotice(server *server, packet *framer.Packet, key uint64) Verdict {
	verdict := Verdict{Kind: Drop, Reason: CountNotices, Hint: server.id}
	if endsFlow(packet) && decider.isHome(key) {
		decider.notifyReplica(&verdict, server, key)
	}
	return verdict
}

// notifyReplica sends a copy of a packet that accepts or ends a flow to the flow's replica,
// the first in rank of the instances in the backend server's failure domain, so that a
// domain that is partitioned off knows the flows of its own backend servers.
func (decider *Decider) notifyReplica(verdict *Verdict, server *server, key uint64) {
	var replica *member
	best := uint64(0)
	for _, entry := range decider.view {
		if entry.member == nil || entry.member.FailureDomain != server.failureDomain {
			continue
		}
		if score := picker.Hash(key, entry.hash); score >= best {
			replica, best = entry.member, score
		}
	}
	if replica != nil {
		verdict.NoticeTo = replica.Tunnel
		decider.counters.add(CountNoticesSent, 1)
	}
}

// recordSignals updates the measurements of load and health from a packet.
func (decider *Decider) recordSignals(server *server, packet *framer.Packet, flow *flow) {
	if flow.state == opening {
		switch {
		case refusesOpening(packet):
			server.unsentLoad.Shed++
		case packet.Flags&framer.FlagSYN != 0:
			server.unsentLoad.Accepted++
			server.updateRoundTrip(decider.uptimeMicroseconds(decider.now) - flow.sentAt)
			flow.state = established
		}
	}
	if flow.state == opening && !answersOpening(packet) {
		flow.state = established
	}
	if flow.responsePending && packet.PayloadLength > 0 && packet.Acknowledgment == flow.expectedAck {
		flow.responsePending = false
		server.recordResponse(time.Duration(decider.uptimeMicroseconds(decider.now)-flow.sentAt) * time.Microsecond)
	}
}

// updateRoundTrip updates the round-trip time from the time that an opening took to be
// accepted. Accepting needs no slot of the backend server, so the smallest such time is
// the network's; larger ones raise it slowly, so that an old minimum is forgotten.
func (server *server) updateRoundTrip(microseconds uint32) {
	if server.roundTrip == 0 || microseconds < server.roundTrip {
		server.roundTrip = max(microseconds, 1)
		return
	}
	server.roundTrip += (microseconds - server.roundTrip) / roundTripDecay
}

// roundTripDecay is the number of openings over which an old minimum is forgotten.
const roundTripDecay = 4096

// recordResponse adds one response time minus the round-trip time of the network.
func (server *server) recordResponse(elapsed time.Duration) {
	if server.roundTrip == 0 {
		return
	}
	microseconds := uint32(elapsed / time.Microsecond)
	microseconds -= min(microseconds, server.roundTrip)
	batch := &server.responses
	if batch.count == 0 || microseconds < batch.smallest {
		batch.smallest = microseconds
	}
	batch.count++
	if batch.count == responseBatchSize {
		server.unsentLoad.ResponseBatches++
		server.unsentLoad.MinResponseSum += batch.smallest
		*batch = responseBatch{}
	}
}
