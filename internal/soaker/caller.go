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
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 3 * time.Second
	repeatInterval = 200 * time.Millisecond
)

// caller is a stand-in of the clients at one address.
type caller struct {
	address netip.Addr
	soak    *soak
	socket  *net.UDPConn

	mutex sync.Mutex
	ports map[uint16]chan packet
	next  uint16
}

func newCaller(soak *soak, address netip.Addr) (*caller, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, soak.packetPort)))
	if err != nil {
		return nil, err
	}
	caller := &caller{address: address, soak: soak, socket: socket, ports: map[uint16]chan packet{}, next: 1024}
	go caller.run()
	return caller, nil
}

func (caller *caller) run() {
	buffer := make([]byte, 2048)
	for {
		count, err := caller.socket.Read(buffer)
		if err != nil {
			return
		}
		received, err := decodePacket(buffer[:count])
		if err != nil {
			caller.soak.violate("caller %s got bytes that are no packet", caller.address)
			continue
		}
		caller.mutex.Lock()
		flow := caller.ports[received.destination.Port()]
		caller.mutex.Unlock()
		select {
		case flow <- received:
		default: // nobody waits any more
		}
	}
}

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	caller   *caller
	key      [2]netip.AddrPort
	packets  chan packet
	token    uint32
	sequence uint32
	next     uint32 // sequence number expected from the server
	server   string // that answered first
}

// outcome says how a request ended.
type outcome int

const (
	served outcome = iota
	refused
	failed
)

// open opens a flow to service; it returns nil with the reason when it does not open.
func (caller *caller) open(service netip.AddrPort) (*callerFlow, outcome) {
	caller.mutex.Lock()
	caller.next++
	if caller.next < 1024 {
		caller.next = 1024
	}
	port := caller.next
	flow := &callerFlow{
		caller: caller, key: [2]netip.AddrPort{netip.AddrPortFrom(caller.address, port), service},
		packets: make(chan packet, 64), sequence: rand.Uint32(),
	}
	caller.ports[port] = flow.packets
	caller.mutex.Unlock()
	deadline := time.After(openTimeout)
	copies := []<-chan time.Time{time.After(200 * time.Millisecond), time.After(600 * time.Millisecond)}
	flow.send(packet{flags: flagSYN})
	for {
		select {
		case received := <-flow.packets:
			if received.flags&flagRST != 0 {
				flow.close()
				return nil, refused
			}
			if received.flags&flagSYN != 0 {
				flow.token, flow.next = received.token, received.sequence+1
				flow.sequence++
				flow.send(packet{flags: flagACK})
				return flow, served
			}
		case <-copies[0]:
			flow.send(packet{flags: flagSYN})
		case <-copies[1]:
			flow.send(packet{flags: flagSYN})
		case <-deadline:
			flow.close()
			return nil, failed
		}
	}
}

func (flow *callerFlow) send(sent packet) {
	sent.source, sent.destination, sent.token = flow.key[0], flow.key[1], flow.token
	sent.sequence, sent.acknowledge = flow.sequence, flow.next
	flow.caller.soak.router.forward(sent.seal(), flow.key)
}

// request sends one request and checks its answer.
func (flow *callerFlow) request(id string) outcome {
	soak := flow.caller.soak
	deadline := time.After(requestTimeout)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	flow.send(packet{flags: flagACK, data: []byte(id)})
	for {
		select {
		case received := <-flow.packets:
			switch {
			case received.flags&flagRST != 0:
				if flow.server != "" && received.sum == 0 && soak.holds(flow.server, flow.key) {
					soak.violate("flow %s was reset by the system while server %s holds it", flow.key, flow.server)
				}
				return failed
			case received.sum != received.checksum():
				soak.violate("flow %s got a packet that no server wrote", flow.key)
			case len(received.data) > 0 && received.sequence == flow.next:
				return flow.take(id, received)
			}
		case <-repeat.C:
			flow.send(packet{flags: flagACK, data: []byte(id)})
		case <-deadline:
			return failed
		}
	}
}

// take checks an answer and moves the flow on.
func (flow *callerFlow) take(id string, received packet) outcome {
	answer := string(received.data)
	name := author(answer)
	if answer != "answer to "+id+" by "+name {
		flow.caller.soak.violate("request %s got %q", id, answer)
	}
	if flow.server != "" && flow.server != name {
		flow.caller.soak.violate("flow %s went from server %s to %s", flow.key, flow.server, name)
	}
	flow.server, flow.token = name, received.token
	flow.sequence += uint32(len(id))
	flow.next += uint32(len(received.data))
	return served
}

func (flow *callerFlow) close() {
	flow.caller.mutex.Lock()
	defer flow.caller.mutex.Unlock()
	delete(flow.caller.ports, flow.key[0].Port())
}

// call opens a flow, sends requests with pauses over it, and closes it.
func (caller *caller) call(service netip.AddrPort, requests int, pause time.Duration) {
	flow, result := caller.open(service)
	if flow == nil {
		caller.soak.count(service, result)
		return
	}
	defer flow.close()
	for i := range requests {
		result = flow.request(fmt.Sprintf("%s/%d", flow.key[0], i))
		caller.soak.count(service, result)
		if result != served {
			return
		}
		time.Sleep(pause)
	}
	flow.send(packet{flags: flagACK | flagFIN})
}
