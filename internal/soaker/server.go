package soaker

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	processingTime = 20 * time.Millisecond // of one request
	slots          = 3                     // requests that a server works on at a time
	queueTime      = 40 * time.Millisecond // after which a request that waits for a slot is shed
	identityLength = 8                     // bytes in front of a packet to a backend server

	longQueueTime = 1500 * time.Millisecond // the same at a busy server
)

// server simulates a backend server.
type server struct {
	name     string
	identity uint64
	service  string
	started  int64 // Unix milliseconds, as its entry says
	soak     *soak
	socket   *net.UDPConn

	mutex      sync.Mutex
	flows      map[[2]netip.AddrPort]*serverFlow
	leavingAt  time.Time // zero while the server accepts new flows
	stopped    bool
	silentTo   time.Time                  // until when it answers nothing
	silences   []span                     // in which it answers nothing, stops included
	busyTo     time.Time                  // until when requests wait for up to longQueueTime
	full       span                       // in which it takes no new flows
	resetFlows map[[2]netip.AddrPort]bool // flows that the server itself reset
	coldUntil  time.Time                  // end of the warm-up; zero if it has none
	openings   []time.Time                // within the last second of the warm-up
	slotFreeAt [slots]time.Time           // when each slot has worked off its requests
}

// serverFlow is the server's state of one flow.
type serverFlow struct {
	sequence     uint32
	open         bool               // the caller has completed the handshake
	acknowledged uint32             // by the caller's last packet
	answers      map[uint32]*answer // by sequence number of the request
}

// answer is the server's answer to one request.
type answer struct {
	data    []byte
	readyAt time.Time
}

// answerTo returns the answer to an executed request. It is several times as long as a shedAnswer.
func answerTo(id, server string) string {
	return strings.Repeat(".", 100) + " answer to " + id + " by " + server
}

// shedAnswer returns the answer to a request that was not executed, because no slot was free in time.
func shedAnswer(server string) string { return "shed by " + server }

func newServer(soak *soak, name string, identity uint64, service string, address netip.AddrPort) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	server := &server{
		name: name, identity: identity, service: service, started: 1, soak: soak, socket: socket,
		flows: map[[2]netip.AddrPort]*serverFlow{}, resetFlows: map[[2]netip.AddrPort]bool{},
	}
	go server.receive()
	return server, nil
}

// writeEntry writes the server's entry to the store.
func (server *server) writeEntry(state parser.State) {
	entry := viewer.BackendServer{
		Service: server.service, Address: server.socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		FailureDomain: server.failureDomain(), Slots: slots, State: state, StartedAt: server.started,
		ColdUntil: viewer.Deadline{Time: server.coldUntil},
	}
	server.soak.store.Put(platform.ServersKind, server.name, platform.EncodeServer(&entry))
}

// failureDomain returns a failure domain such that each service has servers in all of them.
func (server *server) failureDomain() string {
	return server.soak.domainName(int(server.identity / 3))
}

// removeEntry removes the server's entry from the store.
func (server *server) removeEntry() { server.soak.store.Remove(platform.ServersKind, server.name) }

// receive handles packets that carry the server's identity until the socket is closed.
func (server *server) receive() {
	buffer := make([]byte, 2048)
	for {
		count, err := server.socket.Read(buffer)
		if err != nil {
			return
		}
		if count < identityLength || binary.BigEndian.Uint64(buffer) != server.identity {
			continue
		}
		received, err := decodePacket(buffer[identityLength:count])
		if err != nil || received.checksum != received.computeChecksum() {
			server.soak.recordViolation("server %s received a packet that no caller sent", server.name)
			continue
		}
		server.soak.network.carry(received.flags&flagSYN != 0, func() { server.handlePacket(received) })
	}
}

func (server *server) handlePacket(received packet) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	key := [2]netip.AddrPort{received.source, received.destination}
	flow := server.flows[key]
	if flow != nil && int32(received.acknowledgment-flow.acknowledged) > 0 {
		flow.acknowledged = received.acknowledgment
	}
	switch {
	case server.stopped || time.Now().Before(server.silentTo):
		return
	case received.flags&flagSYN != 0:
		server.acceptOpening(key, received)
	case flow == nil:
		server.resetFlows[key] = true
		server.send(received, packet{flags: flagRST, sequence: received.acknowledgment})
	case received.acknowledgment != flow.sequence+1 && !flow.open:
		return // the caller has accepted the SYN ACK of another server
	case received.flags&flagRST != 0:
		delete(server.flows, key)
	case received.flags&flagFIN != 0:
		flow.open = true
		server.send(received, packet{flags: flagACK | flagFIN, sequence: received.acknowledgment, acknowledgment: received.sequence + 1})
	case len(received.data) > 0:
		flow.open = true
		server.handleRequest(flow, received)
	default:
		flow.open = true
	}
}

// acceptOpening accepts a new flow, unless the server is full. A retransmitted SYN receives the same answer.
func (server *server) acceptOpening(key [2]netip.AddrPort, received packet) {
	server.soak.checkReception(key, server, received)
	if now := time.Now(); now.After(server.full.from) && now.Before(server.full.to) {
		return
	}
	server.checkWarmUp()
	flow := server.flows[key]
	if flow == nil {
		server.soak.checkOpening(server, received)
		flow = &serverFlow{sequence: rand.Uint32(), answers: map[uint32]*answer{}}
		server.flows[key] = flow
	}
	server.send(received, packet{flags: flagSYN | flagACK, sequence: flow.sequence, acknowledgment: received.sequence + 1})
}

// handleRequest executes a request once. A copy of it is acknowledged at once, also while it waits.
func (server *server) handleRequest(flow *serverFlow, received packet) {
	if flow.answers[received.sequence] != nil {
		server.send(received, packet{flags: flagACK, sequence: received.acknowledgment, acknowledgment: received.sequence + uint32(len(received.data))})
		return
	}
	answer := server.execute(string(received.data))
	flow.answers[received.sequence] = answer
	flow.acknowledged = received.acknowledgment
	time.AfterFunc(time.Until(answer.readyAt), func() { server.deliver(flow, received, answer.data, retransmitInterval) })
}

// deliver sends the answer to a request until the caller has acknowledged it.
func (server *server) deliver(flow *serverFlow, received packet, data []byte, wait time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopped || wait > maxRetransmitInterval || int32(flow.acknowledged-received.acknowledgment) > 0 {
		return
	}
	if !time.Now().Before(server.silentTo) {
		server.send(received, packet{flags: flagACK, sequence: received.acknowledgment, acknowledgment: received.sequence + uint32(len(received.data)), data: data})
	}
	time.AfterFunc(wait, func() { server.deliver(flow, received, data, 2*wait) })
}

// execute executes a request in the first free slot, or sheds it if none gets free within queueTime.
func (server *server) execute(id string) *answer {
	now := time.Now()
	slot := &server.slotFreeAt[0]
	for i := range server.slotFreeAt {
		if server.slotFreeAt[i].Before(*slot) {
			slot = &server.slotFreeAt[i]
		}
	}
	longestQueue := queueTime
	if now.Before(server.busyTo) {
		longestQueue = longQueueTime
	}
	if slot.After(now.Add(queueTime)) {
		server.soak.mutex.Lock()
		server.soak.lastShedAt = now // or so late that it may be refused
		server.soak.mutex.Unlock()
	}
	if slot.After(now.Add(longestQueue)) {
		return &answer{data: []byte(shedAnswer(server.name)), readyAt: now.Add(queueTime)}
	}
	if slot.Before(now) {
		*slot = now
	}
	*slot = slot.Add(processingTime)
	server.soak.recordExecution(id, server)
	return &answer{data: []byte(answerTo(id, server.name)), readyAt: *slot}
}

// send sends an answer to the caller directly, not through an instance.
func (server *server) send(received, answer packet) {
	answer.source, answer.destination, answer.token = received.destination, received.source, received.token
	to := netip.AddrPortFrom(received.source.Addr(), server.soak.packetPort)
	content := answer.encodeWithChecksum()
	server.soak.network.carry(answer.flags&flagSYN != 0, func() { server.socket.WriteToUDPAddrPort(content, to) })
}

// drain announces that the server leaves, and stops it after gracePeriod, in which its
// flows can end.
func (server *server) drain(gracePeriod time.Duration) {
	server.mutex.Lock()
	server.leavingAt = time.Now()
	server.mutex.Unlock()
	server.writeEntry(parser.Leaving)
	time.AfterFunc(gracePeriod, func() {
		server.soak.recordFaultStart("server "+server.name+" ends", confined)
		defer server.soak.recordFaultEnd(confined)
		server.stop()
		server.removeEntry()
	})
}

// stop closes the server's socket; its flows are lost.
func (server *server) stop() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.stopped = true
	server.silences = append(server.silences, span{from: time.Now(), to: time.Now().Add(time.Hour)})
	server.socket.Close()
}

// hasOpenFlow reports whether the server hasFlow, and has not been silent for stabilizationTime.
func (server *server) hasOpenFlow(key [2]netip.AddrPort) bool {
	hasFlow := server.hasFlow(key)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return hasFlow && time.Since(server.silentTo) >= stabilizationTime
}

// hasFlow reports whether the server is running, has the flow open and has not reset it.
func (server *server) hasFlow(key [2]netip.AddrPort) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	flow := server.flows[key]
	return flow != nil && flow.open && !server.stopped && !server.resetFlows[key]
}

// answeringServer returns the name of the server that sent an answer.
func answeringServer(answer string) string {
	return answer[strings.LastIndexByte(answer, ' ')+1:]
}
