package soaker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	openingTimeout     = 1400 * time.Millisecond
	requestTimeout     = 3 * time.Second
	retransmitInterval = 200 * time.Millisecond // for the first time; it doubles each time

	maxRetransmitInterval = 1600 * time.Millisecond
	resetWindow           = 76_800 // bytes
)

// caller simulates the clients at one address.
type caller struct {
	address netip.Addr
	soak    *soak
	socket  *net.UDPConn

	mutex      sync.Mutex
	flowByPort map[uint16]chan packet // received packets, by the source port of the flow
	lastPort   uint16
}

func newCaller(soak *soak, address netip.Addr) (*caller, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, soak.packetPort)))
	if err != nil {
		return nil, err
	}
	caller := &caller{address: address, soak: soak, socket: socket, flowByPort: map[uint16]chan packet{}, lastPort: 1024}
	go caller.receive()
	return caller, nil
}

// receive passes received packets to their flows until the socket is closed.
func (caller *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		count, err := caller.socket.Read(buffer)
		if err != nil {
			return
		}
		received, err := decodePacket(buffer[:count])
		if err != nil {
			caller.soak.recordViolation("caller %s received a malformed packet", caller.address)
			continue
		}
		caller.mutex.Lock()
		flow := caller.flowByPort[received.destination.Port()]
		caller.mutex.Unlock()
		select {
		case flow <- received:
		default: // the flow is closed, or its buffer is full
		}
	}
}

// callerFlow is the caller's state of one flow.
type callerFlow struct {
	caller           *caller
	key              [2]netip.AddrPort
	packets          chan packet
	token            uint32 // as the server returned it
	sequence         uint32
	expectedSequence uint32 // of the next data from the server
	server           string // name of the server that answered last
	isReset          bool
}

// outcome is the result of a request, or of opening a flow.
type outcome int

const (
	served  outcome = iota
	refused         // the flow was reset while it opened
	failed          // no answer in time, or a reset of an open flow
	shed            // the server's queue was full, and it did not execute the request
)

// open opens a flow to a route. If the flow does not open, it returns nil and the
// reason, refused or failed.
func (caller *caller) open(route netip.AddrPort) (*callerFlow, outcome) {
	caller.mutex.Lock()
	caller.lastPort++
	if caller.lastPort < 1024 {
		caller.lastPort = 1024
	}
	port := caller.lastPort
	flow := &callerFlow{
		caller: caller, key: [2]netip.AddrPort{netip.AddrPortFrom(caller.address, port), route},
		packets: make(chan packet, 64), sequence: rand.Uint32(),
	}
	caller.flowByPort[port] = flow.packets
	caller.mutex.Unlock()
	deadline := time.After(openingTimeout)
	retransmissions := []<-chan time.Time{time.After(200 * time.Millisecond), time.After(600 * time.Millisecond)}
	flow.sendOpening(0)
	for {
		select {
		case received := <-flow.packets:
			if received.flags&flagRST != 0 {
				caller.soak.checkRefusal(flow.key)
				flow.close()
				return nil, refused
			}
			if received.flags&flagSYN != 0 {
				flow.token, flow.expectedSequence = received.token, received.sequence+1
				flow.sequence++
				flow.send(packet{flags: flagACK})
				return flow, served
			}
		case <-retransmissions[0]:
			flow.sendOpening(1)
		case <-retransmissions[1]:
			flow.sendOpening(2)
		case <-deadline:
			flow.close()
			return nil, failed
		}
	}
}

// sendOpening sends the opening, or a copy of it, whose acknowledgment number is its number.
func (flow *callerFlow) sendOpening(copyNumber uint32) {
	flow.expectedSequence = copyNumber
	soak := flow.caller.soak
	soak.openingMutex.Lock()
	defer soak.openingMutex.Unlock()
	if copyNumber == 0 {
		soak.openings[flow.key] = &opening{sentAt: time.Now(), route: flow.key[1]}
	}
	opening := soak.openings[flow.key]
	if instance := flow.send(packet{flags: flagSYN}); instance != nil {
		opening.instances = append(opening.instances, instance)
	}
}

// send returns the instance that the packet was sent to.
func (flow *callerFlow) send(sent packet) *instance {
	sent.source, sent.destination, sent.token = flow.key[0], flow.key[1], flow.token
	sent.sequence, sent.acknowledgment = flow.sequence, flow.expectedSequence
	return flow.caller.soak.forwarder.forward(sent.encodeWithChecksum(), flow.key)
}

// sendRequest sends one request, retransmits it until an answer arrives, and checks the
// answer.
func (flow *callerFlow) sendRequest(id string) outcome {
	soak := flow.caller.soak
	deadline := time.After(requestTimeout)
	interval := retransmitInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	flow.send(packet{flags: flagACK, data: []byte(id)})
	for {
		select {
		case received := <-flow.packets:
			switch {
			case received.flags&flagRST != 0 && !flow.takesReset(received):
			case received.flags&flagRST != 0:
				flow.isReset = true
				flow.checkReset(received)
				return failed
			case received.checksum != received.computeChecksum():
				soak.recordViolation("flow %s received a packet that no server sent", flow.key)
			case len(received.data) > 0 && received.sequence == flow.expectedSequence:
				defer flow.send(packet{flags: flagACK})
				return flow.acceptAnswer(id, received)
			case received.flags&flagSYN == 0 && received.acknowledgment == flow.sequence+uint32(len(id)):
				timer.Stop() // the request has arrived
			}
		case <-timer.C:
			flow.send(packet{flags: flagACK, data: []byte(id)})
			interval = min(2*interval, maxRetransmitInterval)
			timer.Reset(interval)
		case <-deadline:
			return failed
		}
	}
}

// takesReset reports whether a reset of the open flow is near what the caller has acknowledged; others,
// such as the refusal of a copy of its opening, mean nothing to it.
func (flow *callerFlow) takesReset(reset packet) bool {
	distance := int64(int32(reset.sequence - flow.expectedSequence))
	return max(distance, -distance) <= resetWindow
}

// checkReset checks that a flow is not reset while its server has it open.
func (flow *callerFlow) checkReset(reset packet) {
	soak := flow.caller.soak
	if flow.server == "" || !soak.serverHasOpenFlow(flow.server, flow.key) {
		return
	}
	sender := "the load balancer"
	if reset.checksum != 0 {
		sender = "another server"
	}
	soak.recordViolation("flow %s was reset by %s while server %s has it open", flow.key, sender, flow.server)
}

// acceptAnswer checks an answer and advances the flow's sequence numbers.
func (flow *callerFlow) acceptAnswer(id string, received packet) outcome {
	answer := string(received.data)
	name := answeringServer(answer)
	if answer != answerTo(id, name) && answer != shedAnswer(name) {
		flow.caller.soak.recordViolation("request %s received the answer %q", id, answer)
	}
	if flow.server != "" && flow.server != name {
		flow.caller.soak.recordViolation("flow %s moved from server %s to %s", flow.key, flow.server, name)
	}
	flow.server, flow.token = name, received.token
	flow.sequence += uint32(len(id))
	flow.expectedSequence += uint32(len(received.data))
	if answer == shedAnswer(name) {
		return shed
	}
	return served
}

func (flow *callerFlow) close() {
	flow.caller.mutex.Lock()
	defer flow.caller.mutex.Unlock()
	delete(flow.caller.flowByPort, flow.key[0].Port())
}

// call opens a flow to a route, sends requests on it with a pause after each, and
// closes it.
func (caller *caller) call(route netip.AddrPort, requests int, pause time.Duration) {
	flow, result := caller.open(route)
	if flow == nil {
		caller.soak.countOutcome(route, result)
		return
	}
	defer flow.close()
	for i := range requests {
		result = flow.sendRequest(fmt.Sprintf("%s/%d", flow.key[0], i))
		caller.soak.countOutcome(route, result)
		if result != served {
			return
		}
		time.Sleep(pause)
	}
	flow.send(packet{flags: flagACK | flagFIN})
}
