package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times of callers.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const synTimeout = 1400 * time.Millisecond

// caller is the callers at one address.
type caller struct {
	deployment *deployment
	zone       string
	address    netip.Addr
	socket     *net.UDPConn

	mutex sync.Mutex
	flows map[netip.AddrPort]chan packet // by the caller's end
	port  uint16
}

func (deployment *deployment) addCaller(zone string, number byte) (*caller, error) {
	caller := &caller{deployment: deployment, zone: zone, address: deployment.address(5, number), flows: map[netip.AddrPort]chan packet{}, port: 1024}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(caller.address, packetPort)))
	if err != nil {
		return nil, err
	}
	caller.socket = socket
	go caller.receive()
	return caller, nil
}

func (caller *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		count, err := caller.socket.Read(buffer)
		if err != nil {
			return
		}
		received, ok := decode(buffer[:count])
		if !ok {
			continue
		}
		caller.mutex.Lock()
		flow := caller.flows[received.destination]
		caller.mutex.Unlock()
		select {
		case flow <- received:
		default:
		}
	}
}

// callerFlow is a flow as its caller holds it.
type callerFlow struct {
	caller   *caller
	key      flowKey
	packets  chan packet
	echo     uint32
	sequence uint32 // of the next byte to be sent
	received uint32 // sequence number of the next data that is missing
	unacked  int
	server   string // that answered last
}

// outcome is how a request or an opening ended.
type outcome string

const (
	served   outcome = "served"
	shed     outcome = "shed"
	refused  outcome = "refused"
	unopened outcome = "no answer to the opening"
	reset    outcome = "reset"
	deadline outcome = "deadline"
)

// open opens a flow to a route.
func (caller *caller) open(route netip.AddrPort) (*callerFlow, outcome) {
	caller.mutex.Lock()
	caller.port = max(caller.port+1, 1024)
	end := netip.AddrPortFrom(caller.address, caller.port)
	flow := &callerFlow{caller: caller, key: flowKey{caller: end, route: route}, packets: make(chan packet, 64), sequence: rand.Uint32()}
	caller.flows[end] = flow.packets
	caller.mutex.Unlock()
	flow.send(packet{flags: flagSYN, sequence: flow.sequence})
	startedAt, copies := time.Now(), 0
	for {
		next := synTimeout
		if copies < len(synCopies) {
			next = synCopies[copies]
		}
		select {
		case received := <-flow.packets:
			switch {
			case received.flags&flagRST != 0:
				flow.close()
				return nil, refused
			case received.flags&flagSYN != 0:
				flow.sequence++
				flow.echo, flow.received = received.echo, received.sequence+1
				flow.send(packet{flags: flagACK})
				return flow, served
			}
		case <-time.After(time.Until(startedAt.Add(next))):
			if copies == len(synCopies) {
				flow.close()
				return nil, unopened
			}
			copies++
			flow.sendCopy(uint32(copies))
		}
	}
}

func (flow *callerFlow) sendCopy(number uint32) {
	sent := packet{flags: flagSYN, sequence: flow.sequence, acknowledgment: number}
	sent.source, sent.destination = flow.key.caller, flow.key.route
	flow.caller.forward(flow.key, sent)
}

// send sends a packet with the flow's present fields.
func (flow *callerFlow) send(sent packet) {
	sent.source, sent.destination, sent.echo = flow.key.caller, flow.key.route, flow.echo
	sent.acknowledgment = flow.received
	if sent.sequence == 0 {
		sent.sequence = flow.sequence
	}
	flow.caller.forward(flow.key, sent)
}

// forward hands a packet to the routers.
func (caller *caller) forward(key flowKey, sent packet) {
	if instance := caller.deployment.route(caller.zone, key.caller, key.route); instance != nil {
		caller.socket.WriteToUDPAddrPort(sent.seal(), netip.AddrPortFrom(instance.address, packetPort))
	}
}

// request sends a request of one packet and waits for its response.
func (flow *callerFlow) request(id string, length int, timeout time.Duration) outcome {
	content := encodeMessage(id, length)
	sequence, attempt, response := flow.sequence, 0, []byte(nil)
	flow.sequence += uint32(len(content))
	isAcked := false
	flow.send(packet{flags: flagACK, sequence: sequence, data: content})
	end := time.After(timeout)
	again := time.NewTimer(firstRetransmission)
	defer again.Stop()
	for {
		select {
		case received := <-flow.packets:
			switch {
			case received.flags&flagRST != 0:
				flow.caller.deployment.checkReset(flow, received, id)
				flow.close()
				return reset
			case received.sum != received.computeSum():
				flow.caller.deployment.recorder.breaks("MIXED: flow %s got a packet that no server sent", flow.key)
				continue
			case received.flags&flagSYN != 0:
				continue // of another server, or again
			}
			flow.echo = received.echo
			if int32(received.acknowledgment-flow.sequence) >= 0 {
				isAcked = true
			}
			if len(received.data) == 0 {
				continue
			}
			if received.sequence != flow.received {
				flow.sendACK()
				continue
			}
			flow.received += uint32(len(received.data))
			response = append(response, received.data...)
			if flow.unacked++; flow.unacked >= 2 {
				flow.sendACK()
			}
			if text, ok := completeMessage(response); ok {
				return flow.finish(id, text)
			}
		case <-again.C:
			if !isAcked {
				flow.send(packet{flags: flagACK, sequence: sequence, data: content})
			}
			attempt++
			again.Reset(min(firstRetransmission<<attempt, maxRetransmission))
		case <-end:
			flow.close()
			return deadline
		}
	}
}

func (flow *callerFlow) sendACK() {
	flow.unacked = 0
	flow.send(packet{flags: flagACK})
}

// finish checks a response.
func (flow *callerFlow) finish(id, text string) outcome {
	flow.server = text[strings.LastIndexByte(text, ' ')+1:]
	switch text {
	case fmt.Sprintf("ran %s at %s", id, flow.server):
		return served
	case fmt.Sprintf("shed %s at %s", id, flow.server):
		return shed
	}
	flow.caller.deployment.recorder.breaks("MIXED: request %s got the answer %q", id, text)
	return served
}

// end closes the flow with a FIN.
func (flow *callerFlow) end() {
	flow.send(packet{flags: flagACK | flagFIN})
	flow.close()
}

func (flow *callerFlow) close() {
	flow.caller.mutex.Lock()
	defer flow.caller.mutex.Unlock()
	delete(flow.caller.flows, flow.key.caller)
}
