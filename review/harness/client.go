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

// Times of PROTOCOL.md, "Flows", and of the sheet.
const (
	openingTimeout  = 1400 * time.Millisecond
	defaultDeadline = 3 * time.Second
	requestBytes    = 900
	firstPort       = 1024
	tries           = 3
)

// openingCopies are the times after which a SYN is sent again.
var openingCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// client is one client address of a zone.
type client struct {
	run     *run
	zone    string
	address netip.Addr
	socket  *net.UDPConn

	mutex sync.Mutex
	flows map[uint16]chan packet
	port  uint16
}

func (run *run) newClient(zone string, address netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, run.packetPort)))
	if err != nil {
		return nil, err
	}
	created := &client{run: run, zone: zone, address: address, socket: socket, flows: map[uint16]chan packet{}, port: firstPort}
	go created.receive()
	return created, nil
}

func (client *client) receive() {
	buffer := make([]byte, 2048)
	for {
		count, err := client.socket.Read(buffer)
		if err != nil {
			return
		}
		received, ok := decode(buffer[:count])
		if !ok || received.sum != 0 && received.sum != keyedSum(buffer[:count]) {
			client.run.broken("MIXED", "client %s got a packet that its sender did not write so", client.address)
			continue
		}
		client.mutex.Lock()
		flow := client.flows[received.destination.Port()]
		client.mutex.Unlock()
		select {
		case flow <- received:
		default:
		}
	}
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	client   *client
	key      [2]netip.AddrPort
	packets  chan packet
	next     uint32 // seq of the next byte to send
	expected uint32 // seq of the next byte from the host
	echo     uint32 // last received
}

func (client *client) newFlow(route netip.AddrPort) *clientFlow {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.port++
	flow := &clientFlow{
		client: client, key: [2]netip.AddrPort{netip.AddrPortFrom(client.address, client.port), route},
		packets: make(chan packet, 64), next: rand.Uint32(),
	}
	client.flows[client.port] = flow.packets
	return flow
}

func (flow *clientFlow) close() {
	flow.client.mutex.Lock()
	defer flow.client.mutex.Unlock()
	delete(flow.client.flows, flow.key[0].Port())
}

func (flow *clientFlow) send(sent packet) {
	sent.source, sent.destination = flow.key[0], flow.key[1]
	flow.client.run.router.forward(flow.client.zone, flow.key, sent.encode(false))
}

// open opens the flow, or returns why it did not open.
func (flow *clientFlow) open() string {
	initial := flow.next
	copies := uint32(0)
	sendOpening := func() {
		flow.send(packet{flags: flagSYN, seq: initial, ack: copies})
		copies++
	}
	flow.client.run.opening(flow.key)
	sendOpening()
	startedAt := time.Now()
	for {
		wait := openingTimeout
		if int(copies) <= len(openingCopies) {
			wait = openingCopies[copies-1]
		}
		select {
		case received := <-flow.packets:
			switch {
			case received.flags&flagRST != 0:
				return "reset before it opened"
			case received.flags&flagSYN != 0:
				flow.next, flow.expected, flow.echo = initial+1, received.seq+1, received.echo
				return ""
			}
		case <-time.After(time.Until(startedAt.Add(wait))):
			if int(copies) > len(openingCopies) {
				return "no answer to its opening"
			}
			sendOpening()
		}
	}
}

// request sends one unsafe request on a new flow, and records how it ended. It is tried again, twice
// at most, only if its flow never opened or the host reports that it was not run.
func (client *client) request(route netip.AddrPort, id string, work time.Duration) {
	for try := range tries {
		name := fmt.Sprintf("%s.%d", id, try)
		flow := client.newFlow(route)
		outcome, mayRepeat := flow.exchange(name, work)
		flow.close()
		client.run.ended(name, flow.key, outcome)
		if !mayRepeat {
			return
		}
	}
}

// exchange opens the flow, sends the request and waits for its response; it also returns whether
// the request may be sent again.
func (flow *clientFlow) exchange(id string, work time.Duration) (string, bool) {
	run := flow.client.run
	run.sent(id, flow.key, work)
	if reason := flow.open(); reason != "" {
		return reason, true
	}
	text := fmt.Sprintf("%s %d", id, work.Milliseconds())
	data := []byte(text + strings.Repeat(".", max(requestBytes-len(text), 0)))
	sendData := func() {
		flow.send(packet{flags: flagACK, seq: flow.next, ack: flow.expected, echo: flow.echo, data: data})
	}
	sendData()
	isAcknowledged, interval := false, firstRetransmission
	end, retransmitAt := time.Now().Add(run.deadline), time.Now().Add(interval)
	for {
		wait := time.Until(end)
		if !isAcknowledged {
			wait = min(wait, time.Until(retransmitAt))
		}
		select {
		case received := <-flow.packets:
			if received.flags&flagRST != 0 {
				return run.resetOpenFlow(id, flow, &received), false
			}
			if received.flags&flagSYN != 0 {
				continue // another host's answer to a copy of the SYN
			}
			flow.echo = received.echo
			isAcknowledged = isAcknowledged || int32(received.ack-(flow.next+uint32(len(data)))) >= 0
			if len(received.data) == 0 || received.seq != flow.expected {
				continue
			}
			flow.expected += uint32(len(received.data))
			flow.next += uint32(len(data))
			flow.send(packet{flags: flagACK | flagFIN, seq: flow.next, ack: flow.expected, echo: flow.echo})
			response := strings.TrimRight(string(received.data), "\x00")
			return "response " + response, strings.HasPrefix(response, "503 Not-Executed")
		case <-time.After(wait):
			switch {
			case !time.Now().Before(end):
				return "no response before its deadline", false
			case !isAcknowledged:
				sendData()
				interval = min(2*interval, lastRetransmission)
				retransmitAt = time.Now().Add(interval)
			}
		}
	}
}
