package decider

import (
	"math"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// Times after which a refused caller may retry.
const (
	retryAfterFull     = 2 * time.Second
	retryAfterShed     = time.Second
	retryAfterNoServer = 5 * time.Second
	retryAfterUnknown  = RetransmissionWindow
)

// reopenTimeout is the idle time after which an opening on a known flow starts a new flow.
const reopenTimeout = 60 * time.Second

// openFlow decides about the opening of a flow; an instance that is not its home relays it there,
// unless it was relayed already.
func (decider *Decider) openFlow(service *service, packet *framer.Packet, key uint64) Verdict {
	if home := decider.lastKnownHome(key); home != nil && !packet.Relayed {
		decider.learnRemoteOpening(service, packet, key)
		return decider.relay(home, 0, 0)
	}
	if len(decider.view) == 0 {
		return decider.drop(CountNotReady)
	}
	old, known := decider.flows.get(key)
	if known && !decider.startsNewFlow(packet, old) {
		return decider.forwardRepeatedOpening(service, packet, key, old)
	}
	if refusal, refused := decider.checkAdmission(service, packet, key); refused {
		decider.counters.add(refusalCounter(refusal.Reason), 1)
		return Verdict{Kind: Refuse, Refusal: refusal}
	}
	return decider.openAt(service, packet, key, old, known)
}

// learnRemoteOpening records a flow that another instance opens, if all epochs in use
// pick the same backend server, so that the flow is known if its home fails next.
func (decider *Decider) learnRemoteOpening(service *service, packet *framer.Packet, key uint64) {
	if _, known := decider.flows.get(key); known || packet.Tuple.Protocol == framer.ProtocolUDP {
		return
	}
	if server := service.agreedServer(key); server != nil && decider.hasAllPins() {
		decider.learnFlow(key, server, packet)
	}
}

// markRemoteAccepted records that a flow which another instance opened is established,
// so that this one reports it to the next home if that instance fails.
func (decider *Decider) markRemoteAccepted(server *server, packet *framer.Packet, key uint64) {
	flow, known := decider.flows.get(key)
	if !known || flow.state != opening || flow.serverID != server.id || refusesOpening(packet) {
		return
	}
	flow.state = established
	decider.putFlow(key, flow)
}

// startsNewFlow reports whether an opening on a known flow starts a new flow.
func (decider *Decider) startsNewFlow(packet *framer.Packet, old flow) bool {
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		return false
	}
	idle := time.Duration(decider.uptimeSeconds(decider.now)-old.lastSeen) * time.Second
	return old.state == closed || (old.state != opening && idle > reopenTimeout)
}

// isEjected reports whether a backend server is active in the sheet but gets no new flows.
func (service *service) isEjected(id uint32) bool {
	for _, row := range service.spec.BackendServers {
		if serverID(service.name, row.Address) == id {
			return row.State == parser.Active && service.active != nil && service.active.weight(id) == 0
		}
	}
	return false
}

// forwardRepeatedOpening sends a repeated opening to the backend server of the first
// copy. A TCP flow that this server has not accepted is opened anew if the server is ejected.
func (decider *Decider) forwardRepeatedOpening(service *service, packet *framer.Packet, key uint64, old flow) Verdict {
	isTCP := packet.Tuple.Protocol == framer.ProtocolTCP
	if isTCP && old.state == opening && service.isEjected(old.serverID) {
		decider.counters.add(CountOpeningsMoved, 1)
		if _, refused := decider.checkAdmission(service, packet, key); !refused {
			return decider.openAt(service, packet, key, old, true)
		}
	}
	decider.counters.add(CountOpeningsRepeated, 1)
	old.lastSeen = decider.uptimeSeconds(decider.now)
	decider.putFlow(key, old)
	server := decider.servers[old.serverID]
	server.unsentLoad.Openings++
	decider.counters.add(CountToBackendServer, 1)
	return Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
}

// checkAdmission returns the refusal of an opening and whether it is refused. An opening
// that another home may have forwarded is never reported as not executed.
func (decider *Decider) checkAdmission(service *service, packet *framer.Packet, key uint64) (framer.Refusal, bool) {
	refusal, refused := decider.checkLocalAdmission(service, key)
	if decider.isOutcomeUnknown(service, packet, key, refused) {
		return framer.Refusal{Reason: framer.ReasonOutcomeUnknown, RetryAfter: retryAfterUnknown}, true
	}
	return refusal, refused
}

// checkLocalAdmission is checkAdmission without regard to other homes.
func (decider *Decider) checkLocalAdmission(service *service, key uint64) (framer.Refusal, bool) {
	if service.active == nil || !service.listed {
		return framer.Refusal{Reason: framer.ReasonNoBackendServer, RetryAfter: retryAfterNoServer}, true
	}
	server := service.active.pick(key)
	if server == nil {
		return framer.Refusal{Reason: framer.ReasonNoBackendServer, RetryAfter: retryAfterNoServer}, true
	}
	if server.openFlows >= decider.maxOpenFlows(service, server) {
		return framer.Refusal{Reason: framer.ReasonBackendServersFull, RetryAfter: retryAfterFull}, true
	}
	return framer.Refusal{}, false
}

// isOutcomeUnknown reports whether another home may send this non-idempotent datagram,
// or have sent it within RetransmissionWindow, to a backend server to which this
// home would not send it.
func (decider *Decider) isOutcomeUnknown(service *service, packet *framer.Packet, key uint64, refused bool) bool {
	if packet.Tuple.Protocol != framer.ProtocolUDP || service.spec.Idempotent || service.active == nil {
		return false
	}
	unsettled := decider.unreachableListed() > 0 || decider.now.Sub(decider.viewChangedAt) < RetransmissionWindow
	if refused {
		return unsettled && decider.homeMoved(key)
	}
	if service.lastAgreed == nil || service.lastAgreed == service.active {
		return false
	}
	before := service.lastAgreed.pick(key)
	return before != nil && before != service.active.pick(key)
}

// maxOpenFlows returns how many flows this instance may have open at a backend server.
func (decider *Decider) maxOpenFlows(service *service, server *server) int {
	for _, row := range service.spec.BackendServers {
		if row.Address == server.endpoint {
			share := float64(row.Connections) / float64(len(decider.view))
			// Homes get uneven shares of the flows; this allows for three standard deviations.
			return int(share + 3*math.Sqrt(share) + 1)
		}
	}
	return 0
}

// openAt opens a flow at the backend server that the active epoch picks; old is the earlier entry
// of the flow, if known.
func (decider *Decider) openAt(service *service, packet *framer.Packet, key uint64, old flow, known bool) Verdict {
	if known {
		decider.dropFlow(key, old)
	}
	server := service.active.pick(key)
	opened := newFlow(opening)
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		opened.state = datagram
	}
	opened.serverID = server.id
	opened.generation = service.generation
	opened.lastSeen = decider.uptimeSeconds(decider.now)
	opened.sentAt = decider.uptimeMicroseconds(decider.now)
	decider.countFlow(&opened)
	opened.serverChanged = known && old.serverID != server.id
	if packet.Tuple.Protocol == framer.ProtocolUDP && decider.needsPin(service, key, server) {
		decider.pinFlow(key, &opened)
		decider.flushPins()
	}
	decider.putFlow(key, opened)
	server.unsentLoad.Openings++
	decider.counters.add(CountOpenings, 1)
	decider.counters.add(CountToBackendServer, 1)
	return Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
}

// needsPin reports whether a flow is to be pinned because an instance that does not
// know it could send it to another backend server, by the active epoch or another
// one in use.
func (decider *Decider) needsPin(service *service, key uint64, server *server) bool {
	if service.agreedServer(key) == server {
		return false
	}
	// Without all pins, instances relay such flows to their home. A pin then only saves
	// that, so it may be left out when the pin budget is used up.
	prepared := service.active != nil && service.prepared == service.targetEpoch().ID
	return service.allPinned || prepared || decider.reservePinBudget(service, len(decider.reachable)-1)
}

// refusalCounter returns the counter of a reason to refuse an opening.
func refusalCounter(reason framer.RefusalReason) Count {
	switch reason {
	case framer.ReasonBackendServersFull:
		return CountRefusedFull
	case framer.ReasonOutcomeUnknown:
		return CountRefusedOutcomeUnknown
	default:
		return CountRefusedNoBackendServer
	}
}
