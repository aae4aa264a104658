package decider

import (
	"math"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// Times to come back that a refusal tells.
const (
	retryAfterFull    = 2 * time.Second
	retryAfterShed    = time.Second
	retryAfterNone    = 5 * time.Second
	retryAfterUnknown = UncertainWindow
)

// reopenAfter is the silence after which an opening on a known flow is a new flow.
const reopenAfter = 60 * time.Second

// open decides about the first packet of a flow, at its home.
func (decider *Decider) open(service *service, packet *framer.Packet, key uint64) Verdict {
	if home := decider.homeOrNil(key); home != nil && !packet.Relayed {
		decider.witness(service, packet, key)
		return decider.relay(home, 0, 0)
	}
	if len(decider.view) == 0 {
		return decider.drop(CountNotReady)
	}
	old, known := decider.flows.get(key)
	if known && !decider.reopens(packet, old) {
		return decider.reforward(service, packet, key, old)
	}
	if refusal, refused := decider.admit(service, packet, key); refused {
		decider.counters.add(countOfRefusal(refusal.Reason), 1)
		return Verdict{Kind: Refuse, Refusal: refusal}
	}
	return decider.openAt(service, packet, key, old, known)
}

// witness remembers a flow that another instance opens, as far as it is clear
// where, so that the flow is known when its home dies right after.
func (decider *Decider) witness(service *service, packet *framer.Packet, key uint64) {
	if _, known := decider.flows.get(key); known || packet.Tuple.Protocol == framer.ProtocolUDP {
		return
	}
	if server := service.certain(key); server != nil && decider.consistent() {
		decider.learn(key, server, packet)
	}
}

// witnessAcceptance notes that a flow which another instance opens is
// established, so that this one tells its next home if that instance dies.
func (decider *Decider) witnessAcceptance(server *server, packet *framer.Packet, key uint64) {
	flow, known := decider.flows.get(key)
	if !known || flow.state != opening || flow.server != server.id || isShed(packet) {
		return
	}
	flow.state = established
	decider.putFlow(key, flow)
}

// reopens reports whether an opening on a known flow starts a new one.
func (decider *Decider) reopens(packet *framer.Packet, old flow) bool {
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		return false
	}
	silent := time.Duration(decider.seconds(decider.now)-old.seen) * time.Second
	return old.state == closed || (old.state != opening && silent > reopenAfter)
}

// isDown reports whether a backend server that the sheet wants in service takes no new flows.
func (service *service) isDown(id uint32) bool {
	for _, row := range service.spec.BackendServers {
		if serverID(service.name, row.Address) == id {
			return row.State == parser.Active && service.active != nil && service.active.weight(id) == 0
		}
	}
	return false
}

// reforward sends a repeated opening where the first copy went, unless the
// backend server has not accepted that copy and answers nobody.
func (decider *Decider) reforward(service *service, packet *framer.Packet, key uint64, old flow) Verdict {
	isTCP := packet.Tuple.Protocol == framer.ProtocolTCP
	if isTCP && old.state == opening && service.isDown(old.server) {
		decider.counters.add(CountReopened, 1)
		if _, refused := decider.admit(service, packet, key); !refused {
			return decider.openAt(service, packet, key, old, true)
		}
	}
	decider.counters.add(CountOpeningsRepeated, 1)
	old.seen = decider.seconds(decider.now)
	decider.putFlow(key, old)
	server := decider.servers[old.server]
	server.load.Openings++
	decider.counters.add(CountToBackendServer, 1)
	return Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
}

// admit says why an opening is refused, when it is. What another home may have
// let run is never told to have not run.
func (decider *Decider) admit(service *service, packet *framer.Packet, key uint64) (framer.Refusal, bool) {
	refusal, refused := decider.admitHere(service, key)
	if decider.uncertain(service, packet, key, refused) {
		return framer.Refusal{Reason: framer.ReasonOutcomeUnknown, RetryAfter: retryAfterUnknown}, true
	}
	return refusal, refused
}

func (decider *Decider) admitHere(service *service, key uint64) (framer.Refusal, bool) {
	if service.active == nil || !service.listed {
		return framer.Refusal{Reason: framer.ReasonNoBackendServer, RetryAfter: retryAfterNone}, true
	}
	server := service.active.pick(key)
	if server == nil {
		return framer.Refusal{Reason: framer.ReasonNoBackendServer, RetryAfter: retryAfterNone}, true
	}
	if server.open >= decider.connectionShare(service, server) {
		return framer.Refusal{Reason: framer.ReasonBackendServersFull, RetryAfter: retryAfterFull}, true
	}
	return framer.Refusal{}, false
}

// uncertain reports whether this non-idempotent datagram may have been sent by
// another home, now or within the caller's retransmission time, to a backend
// server that this home would not send it to.
func (decider *Decider) uncertain(service *service, packet *framer.Packet, key uint64, refused bool) bool {
	if packet.Tuple.Protocol != framer.ProtocolUDP || service.spec.Idempotent || service.active == nil {
		return false
	}
	recent := decider.missing() > 0 || decider.now.Sub(decider.viewChangedAt) < UncertainWindow
	if refused {
		return recent && decider.movedHome(key)
	}
	if service.settled == nil || service.settled == service.active {
		return false
	}
	before := service.settled.pick(key)
	return before != nil && before != service.active.pick(key)
}

// connectionShare returns how many flows this instance may have open at a backend server.
func (decider *Decider) connectionShare(service *service, server *server) int {
	for _, row := range service.spec.BackendServers {
		if row.Address == server.endpoint {
			share := float64(row.Connections) / float64(len(decider.view))
			// Homes get uneven shares of the flows: three standard deviations are allowed for.
			return int(share + 3*math.Sqrt(share) + 1)
		}
	}
	return 0
}

// openAt opens a flow at the backend server that the active epoch gives.
func (decider *Decider) openAt(service *service, packet *framer.Packet, key uint64, old flow, known bool) Verdict {
	if known {
		decider.dropFlow(key, old)
	}
	server := service.active.pick(key)
	opened := newFlow(opening)
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		opened.state = datagram
	}
	opened.server = server.id
	opened.generation = service.generation
	opened.seen = decider.seconds(decider.now)
	opened.sent = decider.microseconds(decider.now)
	decider.countFlow(&opened)
	opened.moved = known && old.server != server.id
	if packet.Tuple.Protocol == framer.ProtocolUDP && decider.needsPin(service, key, server) {
		decider.pin(key, &opened)
		decider.flushPins()
	}
	decider.putFlow(key, opened)
	server.load.Openings++
	decider.counters.add(CountOpenings, 1)
	decider.counters.add(CountToBackendServer, 1)
	return Verdict{Kind: ToBackendServer, Address: server.endpoint, Hint: server.id}
}

// needsPin reports whether an instance that does not know the flow would send it
// to another backend server, by the active epoch or by the staged one.
func (decider *Decider) needsPin(service *service, key uint64, server *server) bool {
	if service.certain(key) == server {
		return false
	}
	// While flows are asked of their home, pins only save the asking.
	passed := service.active != nil && service.prepared == service.target().ID
	return service.clean || passed || decider.mayPin(service, len(decider.walk)-1)
}

func countOfRefusal(reason framer.RefusalReason) Count {
	switch reason {
	case framer.ReasonBackendServersFull:
		return CountRefusedFull
	case framer.ReasonOutcomeUnknown:
		return CountRefusedOutcomeUnknown
	default:
		return CountRefusedNoBackendServer
	}
}
