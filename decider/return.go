package decider

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/picker"
)

// responseBatchSize is the number of response times of which the smallest is reported.
const responseBatchSize = 4

// responseBatch keeps the smallest of a few response times, which leaves the
// waiting for a slot out of the measure of a backend server's strength.
type responseBatch struct {
	count    int
	smallest uint32 // microseconds
}

// fromServer decides about a packet that a backend server sends to a caller.
func (decider *Decider) fromServer(service *service, packet *framer.Packet, key uint64) Verdict {
	server := decider.sender(service, packet)
	if server == nil {
		return decider.drop(CountUnknownBackendServer)
	}
	if !packet.Relayed {
		server.load.Returned++
	}
	if isAccept(packet) && !packet.Relayed {
		if home := decider.homeOrNil(key); home != nil {
			if service.certain(key) == server {
				decider.witness(service, packet, key)
			}
			decider.witnessAcceptance(server, packet, key)
			return decider.relay(home, 0, server.id)
		}
	}
	flow, known := decider.lookup(service, key)
	if !known {
		return decider.returnUnknown(service, server, packet, key)
	}
	believed := decider.consistent() && decider.isHome(key) && decider.standing(flow)
	if flow.server != server.id && flow.state == opening && !isAccept(packet) && !believed {
		// Another home, beyond a cut, has opened it at the backend server that answers.
		decider.dropFlow(key, flow)
		return decider.returnUnknown(service, server, packet, key)
	}
	if flow.server != server.id {
		return decider.drop(CountStaleReturn)
	}
	return decider.toCaller(server, packet, key, flow)
}

// standing reports whether an opening of this home can still be accepted. One of a
// time with another home, or that its caller repeats no more, has gone elsewhere.
func (decider *Decider) standing(flow flow) bool {
	silent := time.Duration(decider.seconds(decider.now)-flow.seen) * time.Second
	return !flow.orphan && silent < UncertainWindow
}

// isAccept reports whether the packet accepts or resets an opening (RFC 9293
// section 3.10.7.1: the reset of a SYN has sequence number 0).
func isAccept(packet *framer.Packet) bool {
	if packet.Tuple.Protocol != framer.ProtocolTCP {
		return false
	}
	return packet.Flags&framer.FlagSYN != 0 || isShed(packet)
}

func isShed(packet *framer.Packet) bool {
	return packet.Flags&framer.FlagRST != 0 && packet.Flags&framer.FlagACK != 0 && packet.Sequence == 0
}

// sender returns the backend server that sent the packet, or nil when it does not serve the service.
func (decider *Decider) sender(service *service, packet *framer.Packet) *server {
	if packet.ServerHint != 0 {
		if server := decider.servers[packet.ServerHint]; server != nil && server.service == service {
			return server
		}
		return nil
	}
	return decider.endpoints[endpointKey{service: service, endpoint: packet.TunnelSource}]
}

type endpointKey struct {
	service  *service
	endpoint netip.AddrPort
}

// returnUnknown handles a packet from a backend server on a flow that this instance does not know.
func (decider *Decider) returnUnknown(service *service, server *server, packet *framer.Packet, key uint64) Verdict {
	if packet.Notice {
		if isAccept(packet) && !isShed(packet) {
			learned := decider.learn(key, server, packet)
			learned.replica = true
			decider.putFlow(key, learned)
		}
		return Verdict{Kind: Drop, Reason: CountNotices}
	}
	explained := service.anyEpochPicks(key, server.id)
	home := decider.homeOrNil(key)
	if !explained && home != nil && !packet.Relayed {
		return decider.relay(home, 0, server.id)
	}
	return decider.toCaller(server, packet, key, decider.learn(key, server, packet))
}

// toCaller passes a backend server's packet on to the caller.
func (decider *Decider) toCaller(server *server, packet *framer.Packet, key uint64, flow flow) Verdict {
	flow.seen = decider.seconds(decider.now)
	// Whatever the server of an opening sends but a refusal, it has the flow.
	shows := isAccept(packet) || decider.isHome(key)
	accepted := flow.state == opening && shows && !isShed(packet)
	shed := flow.state == opening && isShed(packet)
	decider.observe(server, packet, &flow)
	if accepted && !flow.pinned && (flow.moved || decider.needsPin(server.service, key, server)) {
		decider.counters.add(CountPinsAtAccept, 1)
		decider.pin(key, &flow)
		decider.flushPins()
	}
	flow.end(packet.Flags, false)
	decider.putFlow(key, flow)
	if packet.Notice {
		return decider.noticed(server, packet, key)
	}
	decider.counters.add(CountToCaller, 1)
	verdict := Verdict{Kind: ToCaller, Hint: server.id}
	if shed {
		decider.counters.add(CountRefusedShed, 1)
		verdict.Refusal = framer.Refusal{Reason: framer.ReasonBackendServerShed, RetryAfter: retryAfterShed}
	}
	if !isAccept(packet) {
		decider.noticeHome(&verdict, packet, key)
	}
	if accepted || (isEnd(packet) && decider.isHome(key)) {
		decider.noticeReplica(&verdict, server, key)
	}
	return verdict
}

// noticed ends the way of a notice; the home shows the end of a flow to its replica.
func (decider *Decider) noticed(server *server, packet *framer.Packet, key uint64) Verdict {
	verdict := Verdict{Kind: Drop, Reason: CountNotices, Hint: server.id}
	if isEnd(packet) && decider.isHome(key) {
		decider.noticeReplica(&verdict, server, key)
	}
	return verdict
}

// noticeReplica lets one more instance see that a backend server has accepted a
// flow: the first in rank of the backend server's failure domain, so that a
// domain that is cut off knows the flows of its own backend servers.
func (decider *Decider) noticeReplica(verdict *Verdict, server *server, key uint64) {
	var replica *member
	best := uint64(0)
	for _, place := range decider.view {
		if place.member == nil || place.member.FailureDomain != server.domain {
			continue
		}
		if score := picker.Hash(key, place.hash); score >= best {
			replica, best = place.member, score
		}
	}
	if replica != nil {
		verdict.Notice = replica.Tunnel
		decider.counters.add(CountNoticesSent, 1)
	}
}

// observe takes the signals of load and health that the packet carries.
func (decider *Decider) observe(server *server, packet *framer.Packet, flow *flow) {
	if flow.state == opening {
		switch {
		case isShed(packet):
			server.load.Shed++
		case packet.Flags&framer.FlagSYN != 0:
			server.load.Accepted++
			server.accepted(decider.microseconds(decider.now) - flow.sent)
			flow.state = established
		}
	}
	if flow.state == opening && !isAccept(packet) {
		flow.state = established
	}
	if flow.pending && packet.PayloadLength > 0 && packet.Acknowledgment == flow.expect {
		flow.pending = false
		server.response(time.Duration(decider.microseconds(decider.now)-flow.sent) * time.Microsecond)
	}
}

// accepted takes the time that an opening took, in which no slot of the backend
// server has part: the smallest is that of the path, and is slowly forgotten.
func (server *server) accepted(microseconds uint32) {
	if server.path == 0 || microseconds < server.path {
		server.path = max(microseconds, 1)
		return
	}
	server.path += (microseconds - server.path) / pathMemory
}

// pathMemory is the number of openings over which the path's time is forgotten.
const pathMemory = 4096

// response adds one response time, less the time of the path.
func (server *server) response(elapsed time.Duration) {
	if server.path == 0 {
		return
	}
	microseconds := uint32(elapsed / time.Microsecond)
	microseconds -= min(microseconds, server.path)
	batch := &server.batch
	if batch.count == 0 || microseconds < batch.smallest {
		batch.smallest = microseconds
	}
	batch.count++
	if batch.count == responseBatchSize {
		server.load.Batches++
		server.load.BatchSums += batch.smallest
		*batch = responseBatch{}
	}
}
