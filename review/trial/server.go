package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	missedHeartbeats  = 3 // after which the store removes an entry
	lastHeartbeat     = 100 * time.Millisecond

	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
	maxInFlight         = 16
)

// flowKey identifies a flow by the caller's and the route's address.
type flowKey struct{ caller, route netip.AddrPort }

func (key flowKey) String() string { return key.caller.String() + ">" + key.route.String() }

// server is a backend server.
type server struct {
	deployment    *deployment
	name, service string
	zone          string
	identity      uint64
	address       netip.AddrPort
	slots, queue  int
	work          func() time.Duration
	startedAt     int64
	socket        *net.UDPConn

	mutex       sync.Mutex
	state       parser.State
	isCut       bool
	disturbedAt time.Time // end of the last disruption; zero if there was none
	flows       map[flowKey]*serverFlow
	resets      map[flowKey]bool // flows that the server reset itself
	busy        int
	waiting     []func()
}

// serverFlow is a flow as its server holds it.
type serverFlow struct {
	sequence  uint32 // of the next byte to be sent
	open      bool
	echo      uint32
	received  uint32 // sequence number of the next data that is missing
	unacked   int    // packets received since the last acknowledgment
	content   []byte // of the request that arrives
	unsent    []byte // of the response
	inFlight  []packet
	attempts  int
	timer     *time.Timer
	callerFIN bool
	ownFIN    bool
}

// addServer starts a backend server and registers it.
func (deployment *deployment) addServer(service, zone string, slots, queue int, work func() time.Duration) (*server, error) {
	deployment.mutex.Lock()
	deployment.names++
	number := deployment.names
	deployment.mutex.Unlock()
	return deployment.addNamedServer(uint64(rand.Uint32())<<8|uint64(number), time.Now().UnixMilli(), service, zone, slots, queue, work)
}

// addNamedServer does so for one that started at a time, in Unix milliseconds, with an identity.
func (deployment *deployment) addNamedServer(identity uint64, startedAt int64, service, zone string, slots, queue int, work func() time.Duration) (*server, error) {
	deployment.mutex.Lock()
	number := len(deployment.servers) + 1
	deployment.mutex.Unlock()
	server := &server{
		deployment: deployment, name: fmt.Sprintf("i-%010x", identity), identity: identity, service: service, zone: zone,
		address: netip.AddrPortFrom(deployment.address(3, byte(number)), serverPort), slots: slots, queue: queue, work: work,
		startedAt: startedAt, state: parser.Active, flows: map[flowKey]*serverFlow{}, resets: map[flowKey]bool{},
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(server.address))
	if err != nil {
		return nil, err
	}
	server.socket = socket
	deployment.mutex.Lock()
	deployment.servers[server.name] = server
	deployment.mutex.Unlock()
	server.register()
	go server.receive()
	return server, nil
}

// register writes the server's entry.
func (server *server) register() {
	entry := viewer.BackendServer{
		Service: server.service, Address: server.address, FailureDomain: server.zone, Slots: server.slots,
		State: server.state, StartedAt: server.startedAt,
	}
	server.deployment.store.Put(platform.ServersKind, server.name, platform.EncodeServer(&entry))
	server.deployment.recorder.note("entry of %s is written: service %s, zone %s, %s", server.name, server.service, server.zone, server.state)
}

// cut partitions the server from all machines and callers for a time. Its entry expires
// after three heartbeats of silence, the last of which was lastHeartbeat before the cut, and is written
// again with the first heartbeat after the cut.
func (server *server) cut(duration time.Duration) {
	server.setCut(true)
	expiry := time.AfterFunc(missedHeartbeats*heartbeatInterval-lastHeartbeat, func() {
		server.deployment.store.Remove(platform.ServersKind, server.name)
		server.deployment.recorder.note("entry of %s has expired", server.name)
	})
	time.AfterFunc(duration, func() {
		server.setCut(false)
		time.AfterFunc(rand.N(heartbeatInterval), func() {
			if !expiry.Stop() {
				server.register()
			}
		})
	})
}

func (server *server) setCut(isCut bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.isCut, server.disturbedAt = isCut, time.Now()
	server.deployment.recorder.note("server %s is cut off: %t", server.name, isCut)
}

// holds reports whether the server lives undisturbed for a time and has a flow open that it did
// not reset.
func (server *server) holds(key flowKey, undisturbed time.Duration) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	flow := server.flows[key]
	isCalm := server.disturbedAt.IsZero() || time.Since(server.disturbedAt) > undisturbed
	return flow != nil && flow.open && !flow.ownFIN && !server.isCut && !server.resets[key] && isCalm
}

func (server *server) receive() {
	buffer := make([]byte, 2048)
	for {
		count, err := server.socket.Read(buffer)
		if err != nil {
			return
		}
		if count < identityLength {
			continue
		}
		if identity := binary.BigEndian.Uint64(buffer); identity != 0 && identity != server.identity {
			continue
		}
		received, ok := decode(buffer[identityLength:count])
		if !ok || received.sum != received.computeSum() {
			server.deployment.recorder.breaks("UNASKED: server %s got a packet that no caller sent", server.name)
			continue
		}
		server.handle(received)
	}
}

// handle processes a packet of a caller.
func (server *server) handle(received packet) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.isCut {
		return
	}
	key := flowKey{caller: received.source, route: received.destination}
	flow := server.flows[key]
	switch {
	case received.flags&flagSYN != 0:
		server.accept(key, flow, received)
	case flow == nil:
		if received.flags&flagRST == 0 {
			server.resets[key] = true
			server.send(key, packet{flags: flagRST, sequence: received.acknowledgment, echo: received.echo})
		}
	case !flow.open && received.acknowledgment != flow.sequence:
		// The caller opened the flow at another server.
	case received.flags&flagRST != 0:
		server.drop(key, flow)
	default:
		flow.open, flow.echo = true, received.echo
		server.handleOpen(key, flow, received)
	}
}

// accept answers an opening, unless the server is full.
func (server *server) accept(key flowKey, flow *serverFlow, received packet) {
	if flow == nil {
		if server.busy >= server.slots && len(server.waiting) >= server.queue {
			return
		}
		server.deployment.checkOpening(server, key)
		flow = &serverFlow{sequence: rand.Uint32() + 1, received: received.sequence + 1, echo: received.echo}
		server.flows[key] = flow
	}
	if !flow.open {
		server.send(key, packet{flags: flagSYN | flagACK, sequence: flow.sequence - 1, acknowledgment: flow.received, echo: received.echo})
	}
}

func (server *server) handleOpen(key flowKey, flow *serverFlow, received packet) {
	server.acknowledge(key, flow, received.acknowledgment)
	switch {
	case len(received.data) > 0 && received.sequence == flow.received:
		flow.received += uint32(len(received.data))
		flow.content = append(flow.content, received.data...)
		flow.unacked++
	case len(received.data) > 0: // sent again, or after a gap
		flow.unacked = 2
	}
	if flow.unacked >= 2 {
		server.sendACK(key, flow)
	}
	if id, ok := completeMessage(flow.content); ok {
		flow.content = nil
		server.enqueue(key, flow, id)
	}
	if received.flags&flagFIN != 0 && received.sequence+uint32(len(received.data)) == flow.received && !flow.callerFIN {
		flow.received++
		flow.callerFIN, flow.ownFIN = true, true
		server.send(key, packet{flags: flagACK | flagFIN, sequence: flow.sequence, acknowledgment: flow.received, echo: flow.echo})
		time.AfterFunc(2*time.Second, func() {
			server.mutex.Lock()
			defer server.mutex.Unlock()
			if server.flows[key] == flow {
				server.drop(key, flow)
			}
		})
	}
}

func (server *server) drop(key flowKey, flow *serverFlow) {
	delete(server.flows, key)
	if flow.timer != nil {
		flow.timer.Stop()
	}
}

// enqueue runs a request in a free slot, or later. A server whose queue is full says that it did
// not run it.
func (server *server) enqueue(key flowKey, flow *serverFlow, id string) {
	run := func() {
		server.busy++
		server.deployment.ran(server, key, id)
		time.AfterFunc(server.work(), func() {
			server.mutex.Lock()
			defer server.mutex.Unlock()
			server.busy--
			if len(server.waiting) > 0 {
				next := server.waiting[0]
				server.waiting = server.waiting[1:]
				next()
			}
			if server.flows[key] == flow {
				server.respond(key, flow, encodeMessage("ran "+id+" at "+server.name, responseLength))
			}
		})
	}
	switch {
	case server.busy < server.slots:
		run()
	case len(server.waiting) < server.queue:
		server.waiting = append(server.waiting, run)
	default:
		server.respond(key, flow, encodeMessage("shed "+id+" at "+server.name, 0))
	}
}

// respond sends a response.
func (server *server) respond(key flowKey, flow *serverFlow, content []byte) {
	flow.unsent = append(flow.unsent, content...)
	server.flush(key, flow)
}

// flush sends what the window permits.
func (server *server) flush(key flowKey, flow *serverFlow) {
	for len(flow.unsent) > 0 && len(flow.inFlight) < maxInFlight {
		length := min(len(flow.unsent), maxPayload)
		sent := packet{flags: flagACK, sequence: flow.sequence, data: flow.unsent[:length]}
		flow.unsent = flow.unsent[length:]
		flow.sequence += uint32(length)
		flow.inFlight = append(flow.inFlight, sent)
		server.transmit(key, flow, sent)
	}
	if len(flow.inFlight) > 0 && flow.timer == nil {
		flow.attempts = 0
		flow.timer = time.AfterFunc(firstRetransmission, func() { server.retransmit(key, flow) })
	}
}

func (server *server) transmit(key flowKey, flow *serverFlow, sent packet) {
	sent.acknowledgment, sent.echo = flow.received, flow.echo
	flow.unacked = 0
	server.send(key, sent)
}

// retransmit sends the first packet that is not acknowledged again.
func (server *server) retransmit(key flowKey, flow *serverFlow) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.flows[key] != flow || len(flow.inFlight) == 0 {
		return
	}
	if flow.attempts++; flow.attempts > maxRetransmissions {
		server.drop(key, flow)
		return
	}
	server.transmit(key, flow, flow.inFlight[0])
	flow.timer.Reset(min(firstRetransmission<<flow.attempts, maxRetransmission))
}

// acknowledge forgets the packets that the caller has.
func (server *server) acknowledge(key flowKey, flow *serverFlow, acknowledgment uint32) {
	before := len(flow.inFlight)
	for len(flow.inFlight) > 0 && int32(acknowledgment-flow.inFlight[0].sequence) >= int32(len(flow.inFlight[0].data)) {
		flow.inFlight = flow.inFlight[1:]
	}
	if len(flow.inFlight) < before {
		flow.timer.Stop()
		flow.timer = nil
		server.flush(key, flow)
	}
}

func (server *server) sendACK(key flowKey, flow *serverFlow) {
	flow.unacked = 0
	server.send(key, packet{flags: flagACK, sequence: flow.sequence, acknowledgment: flow.received, echo: flow.echo})
}

// send sends a packet to the caller directly.
func (server *server) send(key flowKey, sent packet) {
	if server.isCut {
		return
	}
	sent.source, sent.destination = key.route, key.caller
	server.socket.WriteToUDPAddrPort(sent.seal(), netip.AddrPortFrom(key.caller.Addr(), packetPort))
}

// responseLength is the length of a usual response.
const responseLength = 600

// encodeMessage returns a message with its length in front, filled up to a length.
func encodeMessage(text string, length int) []byte {
	content := binary.BigEndian.AppendUint16(nil, uint16(max(length, len(text)+4)))
	content = binary.BigEndian.AppendUint16(content, uint16(len(text)))
	content = append(content, text...)
	return append(content, make([]byte, max(length-len(content), 0))...)
}

// completeMessage returns the text of a message that has arrived in full.
func completeMessage(content []byte) (string, bool) {
	if len(content) < 4 || len(content) < int(binary.BigEndian.Uint16(content)) {
		return "", false
	}
	return string(content[4 : 4+int(binary.BigEndian.Uint16(content[2:]))]), true
}
