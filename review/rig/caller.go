package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const openTimeout = 1400 * time.Millisecond // without an answer to the openings

// openingCopies is how long after the opening its copies are sent.
var openingCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// requestKind is a kind of request with its route.
type requestKind struct {
	name       string
	route      netip.AddrPort
	service    string
	method     string
	deadline   time.Duration
	isSafe     bool
	maxRetries int
}

// caller opens a flow for each request.
type caller struct {
	address    netip.AddrPort // where it receives packets
	router     *router
	record     *record
	connection *net.UDPConn

	mutex    sync.Mutex
	nextPort uint16
	flows    map[uint16]chan packet
}

func newCaller(address netip.AddrPort, router *router, record *record) (*caller, error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	caller := &caller{address: address, router: router, record: record, connection: connection, nextPort: 20_000, flows: map[uint16]chan packet{}}
	go caller.receive()
	return caller, nil
}

func (caller *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		count, from, err := caller.connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, ok := decodePacket(buffer[:count])
		packet.from = from.Addr()
		isReset := ok && packet.flags == flagRST && len(packet.data) == 0 && packet.sum == 0
		if !ok || !isReset && !isGenuine(buffer[:count]) {
			continue
		}
		caller.mutex.Lock()
		flow := caller.flows[packet.destination.Port()]
		caller.mutex.Unlock()
		if flow == nil {
			continue
		}
		select {
		case flow <- packet:
		default:
		}
	}
}

// outcome is how an attempt ended.
type outcome struct {
	status  string // "200", or how it failed
	opened  bool
	stamp   string
	elapsed time.Duration

	resetBy   netip.Addr // who reset the open flow, if anybody did
	wasServer bool       // it was a backend server

	takenBy []netip.Addr // instances that the flow's packets were forwarded to
}

// request sends a request, again as its kind allows, and returns the last outcome.
func (caller *caller) request(kind *requestKind, id string) outcome {
	deadline := time.Now().Add(kind.deadline)
	for try := 0; ; try++ {
		attemptID := fmt.Sprintf("%s-%d", id, try)
		caller.record.line("sent request=%s kind=%s route=%s", attemptID, kind.name, kind.route)
		outcome := caller.attempt(kind, attemptID, deadline)
		caller.record.line("ended request=%s status=%s opened=%t server=%s ms=%d", attemptID, outcome.status, outcome.opened, outcome.stamp, outcome.elapsed.Milliseconds())
		mayRetry := kind.isSafe || !outcome.opened
		if outcome.status == "200" || try == kind.maxRetries || !mayRetry || !time.Now().Before(deadline) {
			return outcome
		}
	}
}

// attempt opens a flow from a new port and sends one request on it.
func (caller *caller) attempt(kind *requestKind, id string, deadline time.Time) outcome {
	caller.mutex.Lock()
	port := caller.nextPort
	caller.nextPort++
	packets := make(chan packet, 64)
	caller.flows[port] = packets
	caller.mutex.Unlock()
	defer func() {
		caller.mutex.Lock()
		delete(caller.flows, port)
		caller.mutex.Unlock()
	}()
	startedAt := time.Now()
	flow := &callerFlow{caller: caller, source: netip.AddrPortFrom(caller.address.Addr(), port), destination: kind.route, sequence: rand.Uint32(), packets: packets}
	end := func(status string) outcome {
		return outcome{status: status, opened: flow.isOpen, stamp: flow.stamp, elapsed: time.Since(startedAt), resetBy: flow.resetBy, wasServer: flow.wasServer, takenBy: flow.takenBy}
	}
	if status := flow.open(deadline); status != "" {
		return end(status)
	}
	request := fmt.Sprintf("%s /work HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", kind.method, kind.route, id)
	return end(flow.exchange(request, id, deadline))
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	caller              *caller
	source, destination netip.AddrPort
	sequence, ack, echo uint32
	isOpen              bool
	stamp               string // of the backend server, in the response
	resetBy             netip.Addr
	wasServer           bool // the reset came from a backend server
	takenBy             []netip.Addr
	packets             chan packet
}

func (flow *callerFlow) send(flags byte, sequence, ack uint32, data []byte) {
	packet := packet{source: flow.source, destination: flow.destination, sequence: sequence, ack: ack, echo: flow.echo, flags: flags, data: data}
	to, ok := flow.caller.router.next(flow.caller.address.Addr(), flow.source, flow.destination)
	if ok {
		if !slices.Contains(flow.takenBy, to.Addr()) {
			flow.takenBy = append(flow.takenBy, to.Addr())
		}
		flow.caller.connection.WriteToUDPAddrPort(packet.encode(), to)
	}
}

// open returns how the opening failed, or "" once a backend server has answered it.
func (flow *callerFlow) open(deadline time.Time) string {
	startedAt := time.Now()
	end := startedAt.Add(openTimeout)
	if deadline.Before(end) {
		end = deadline
	}
	flow.send(flagSYN, flow.sequence, 0, nil)
	for copies := 0; ; {
		next := end
		if copies < len(openingCopies) && startedAt.Add(openingCopies[copies]).Before(end) {
			next = startedAt.Add(openingCopies[copies])
		}
		select {
		case packet := <-flow.packets:
			switch {
			case packet.flags&flagRST != 0:
				return "reset"
			case packet.flags&flagSYN != 0 && packet.flags&flagACK != 0 && packet.ack == flow.sequence+1:
				flow.isOpen, flow.sequence, flow.ack, flow.echo = true, flow.sequence+1, packet.sequence+1, packet.echo
				return ""
			}
		case <-time.After(time.Until(next)):
			if next == end {
				return "no_answer"
			}
			copies++
			flow.send(flagSYN, flow.sequence, uint32(copies), nil)
		}
	}
}

// close sends the end of the flow, which acknowledges the response, until the backend server ends
// it too.
func (flow *callerFlow) close(sequence uint32) {
	for range maxRetransmissions {
		flow.send(flagFIN|flagACK, sequence, flow.ack, nil)
		again := time.After(firstRetransmission)
		for isWaiting := true; isWaiting; {
			select {
			case packet := <-flow.packets:
				if packet.flags&flagFIN != 0 {
					flow.send(flagACK, sequence+1, packet.sequence+1, nil)
				}
				if packet.flags&(flagFIN|flagRST) != 0 {
					return
				}
			case <-again:
				isWaiting = false
			}
		}
	}
}

// resetWindow is how far the sequence number of a reset may be from the last acknowledgment.
const resetWindow = 76_800

// exchange sends a request that fits one packet and returns the status of its response, or how
// the exchange failed.
func (flow *callerFlow) exchange(request, id string, deadline time.Time) string {
	wait, nextAt := firstRetransmission, time.Now()
	response, isAcknowledged := "", false
	after := flow.sequence + uint32(len(request))
	for {
		now := time.Now()
		if !now.Before(deadline) {
			flow.send(flagRST, flow.sequence, flow.ack, nil)
			return "deadline"
		}
		if !isAcknowledged && !now.Before(nextAt) {
			flow.send(flagACK, flow.sequence, flow.ack, []byte(request))
			nextAt = now.Add(wait)
			wait = min(2*wait, lastRetransmission)
		}
		until := deadline
		if !isAcknowledged && nextAt.Before(until) {
			until = nextAt
		}
		select {
		case packet := <-flow.packets:
			distance := int64(int32(packet.sequence - flow.ack))
			switch {
			case packet.flags&flagRST != 0 && max(distance, -distance) <= resetWindow:
				flow.caller.record.line("reset request=%s from=%s", id, packet.from)
				flow.resetBy, flow.wasServer = packet.from, packet.sum != 0
				return "reset_open"
			case packet.flags&(flagRST|flagSYN) != 0 || max(distance, -distance) > resetWindow:
				continue
			}
			flow.echo = packet.echo
			isAcknowledged = isAcknowledged || int32(packet.ack-after) >= 0
			if len(packet.data) == 0 || distance != 0 {
				continue
			}
			response += string(packet.data)
			flow.ack += uint32(len(packet.data))
			if headerOf(response, "Request-Id") != id {
				return "foreign_answer"
			}
			flow.stamp = headerOf(response, "Response-Stamp")
			flow.close(after)
			return strings.Fields(response)[1]
		case <-time.After(time.Until(until)):
		}
	}
}
