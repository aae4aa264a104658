package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	firstRetransmission = 200 * time.Millisecond
	lastRetransmission  = 1600 * time.Millisecond
	maxRetransmissions  = 8
	queueLength         = 12 // requests that wait for a slot
)

// requestRun is a request that a backend server began to work on, and the opening of its flow.
type requestRun struct {
	requestID string
	host      *host
	route     netip.AddrPort
	openedAt  time.Time // when the opening packet arrived
	at        time.Time
}

// host is a backend server.
type host struct {
	service    string
	zone       string
	name       string
	id         uint64
	address    netip.AddrPort
	callerPort uint16
	slots      chan struct{}
	waiting    atomic.Int32 // requests in the queue
	work       time.Duration
	lossShare  float64      // of the datagrams to callers, that the network loses
	lost       atomic.Int32 // datagrams
	store      *store
	onRun      func(run requestRun)
	connection *net.UDPConn

	mutex    sync.Mutex
	state    string
	born     int64
	sequence int
	flows    map[[2]netip.AddrPort]*hostFlow
	gone     chan struct{}
}

// hostFlow is a flow that a backend server holds.
type hostFlow struct {
	openedAt         time.Time
	sequence, ack    uint32 // next to send and to receive
	echo             uint32
	isOpen, hasRun   bool
	isEnded          bool
	acknowledgedUpTo uint32
}

// start registers the backend server and serves flows until stop.
func (host *host) start() error {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(host.address))
	if err != nil {
		return err
	}
	host.connection, host.state, host.born = connection, "ready", time.Now().UnixMilli()
	host.flows, host.gone = map[[2]netip.AddrPort]*hostFlow{}, make(chan struct{})
	host.write()
	go host.receive()
	go host.beat()
	return nil
}

// entry returns what the backend server says of itself.
func (host *host) entry() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		host.service, host.address, host.zone, cap(host.slots), host.state, host.sequence, host.born)
}

func (host *host) write() {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.sequence++
	host.store.put("servers", host.name, host.entry())
}

// drain reports that the backend server leaves, and returns when the store has accepted it.
func (host *host) drain() time.Time {
	host.mutex.Lock()
	host.state = "draining"
	host.mutex.Unlock()
	host.write()
	return time.Now()
}

func (host *host) beat() {
	for {
		select {
		case <-host.gone:
			return
		case <-time.After(heartbeat):
			host.write()
		}
	}
}

func (host *host) stop() {
	close(host.gone)
	host.connection.Close()
}

func (host *host) receive() {
	buffer := make([]byte, 2048)
	for {
		count, _, err := host.connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if count < 8 {
			continue
		}
		intended, content := binary.BigEndian.Uint64(buffer), buffer[8:count]
		packet, ok := decodePacket(content)
		if !ok || !isGenuine(content) || intended != 0 && intended != host.id {
			continue
		}
		host.mutex.Lock()
		host.handle(&packet)
		host.mutex.Unlock()
	}
}

func (host *host) handle(packet *packet) {
	key := [2]netip.AddrPort{packet.source, packet.destination}
	flow := host.flows[key]
	switch {
	case packet.flags&flagSYN != 0 && packet.flags&flagACK != 0:
		return
	case packet.flags&flagSYN != 0:
		if flow == nil || flow.ack != packet.sequence+1 {
			flow = &hostFlow{openedAt: time.Now(), sequence: rand.Uint32(), ack: packet.sequence + 1}
			flow.acknowledgedUpTo = flow.sequence + 1
			host.flows[key] = flow
		}
		flow.echo = packet.echo
		host.send(key, flow, flagSYN|flagACK, flow.sequence, nil)
		return
	case flow == nil || packet.flags&flagRST == 0 && packet.flags&flagACK != 0 && !flow.isOpen && packet.ack != flow.sequence+1:
		if packet.flags&flagRST == 0 {
			host.send(key, &hostFlow{echo: packet.echo, ack: packet.sequence}, flagRST, packet.ack, nil)
		}
		return
	case packet.flags&flagRST != 0:
		delete(host.flows, key)
		return
	}
	flow.echo, flow.acknowledgedUpTo = packet.echo, packet.ack
	if !flow.isOpen {
		flow.isOpen, flow.sequence = true, flow.sequence+1
	}
	switch {
	case packet.flags&flagFIN != 0:
		if !flow.isEnded {
			flow.isEnded, flow.ack = true, packet.sequence+uint32(len(packet.data))+1
			host.send(key, flow, flagFIN|flagACK, flow.sequence, nil)
			return
		}
		host.send(key, flow, flagACK, flow.sequence, nil)
	case len(packet.data) > 0 && packet.sequence == flow.ack && !flow.hasRun:
		flow.ack += uint32(len(packet.data))
		flow.hasRun = true
		go host.runRequest(key, flow, string(packet.data))
	case len(packet.data) > 0:
		host.send(key, flow, flagACK, flow.sequence, nil) // it had arrived before
	}
}

// runRequest works on a request that fits one packet once a slot is free, and sends the response.
func (host *host) runRequest(key [2]netip.AddrPort, flow *hostFlow, request string) {
	requestID := headerOf(request, "Request-Id")
	if len(host.slots) == cap(host.slots) && int(host.waiting.Load()) >= queueLength {
		host.respond(key, flow, fmt.Sprintf("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\n\r\n", requestID, host.name))
		return
	}
	host.waiting.Add(1)
	host.slots <- struct{}{}
	host.waiting.Add(-1)
	host.onRun(requestRun{requestID: requestID, host: host, route: key[1], openedAt: flow.openedAt, at: time.Now()})
	time.Sleep(host.work)
	<-host.slots
	body := strings.Repeat("x", 600)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\n\r\n%s", len(body), requestID, host.name, body)
	host.respond(key, flow, response)
}

// respond sends a response that fits one packet until it is acknowledged.
func (host *host) respond(key [2]netip.AddrPort, flow *hostFlow, response string) {
	host.mutex.Lock()
	first := flow.sequence
	flow.sequence += uint32(len(response))
	host.mutex.Unlock()
	for attempt, wait := 0, firstRetransmission; attempt <= maxRetransmissions; attempt++ {
		host.mutex.Lock()
		isDone := host.flows[key] != flow || int32(flow.acknowledgedUpTo-first) > 0
		if !isDone {
			host.send(key, flow, flagACK, first, []byte(response))
		}
		host.mutex.Unlock()
		if isDone {
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, lastRetransmission)
	}
}

// headerOf returns a header of a request or a response, empty if it has none of that name.
func headerOf(message, name string) string {
	for line := range strings.SplitSeq(message, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// send sends a packet to the caller. The mutex must be held.
func (host *host) send(key [2]netip.AddrPort, flow *hostFlow, flags byte, sequence uint32, data []byte) {
	packet := packet{source: key[1], destination: key[0], sequence: sequence, ack: flow.ack, echo: flow.echo, flags: flags, data: data}
	if rand.Float64() < host.lossShare {
		host.lost.Add(1)
		return
	}
	host.connection.WriteToUDPAddrPort(packet.encode(), netip.AddrPortFrom(key[0].Addr(), host.callerPort))
}
