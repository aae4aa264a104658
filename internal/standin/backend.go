package standin

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/framer"
)

// BackendOptions configures one backend server.
type BackendOptions struct {
	Name           string
	Address        netip.AddrPort // tunnel endpoint
	FabricAddress  netip.AddrPort // tunnel endpoint of the fabric
	ServiceAddress netip.AddrPort // destination of the packets that it accepts
	Slots          int            // requests executed concurrently
	SlotSpeed      float64        // work units per second of one slot
	RequestWork    float64        // work units of one request
	WarmupTime     time.Duration  // after the start, during which requests take three times as long
	MaxQueue       int            // requests queued or in execution at which new flows are shed
	LoadDelay      time.Duration  // minimum interval between updates of the load endpoint
}

// BackendStats holds the counters of a backend server.
type BackendStats struct {
	Name          string         `json:"name"`
	Accepted      int            `json:"accepted"`
	Shed          int            `json:"shed"`
	OpenFlows     int            `json:"open"`
	Executed      int            `json:"executed"`
	ExecutedTwice int            `json:"executed_twice"` // repeated executions of a request
	WrongService  int            `json:"wrong_service"`
	UnknownFlow   int            `json:"unknown_flow"`
	Requests      map[string]int `json:"requests,omitempty"` // executions by request
}

// Backend simulates a backend server with a fixed number of slots. It implements the
// part of TCP and UDP that the stand-ins need.
type Backend struct {
	options   BackendOptions
	socket    *net.UDPConn
	startedAt time.Time
	slots     chan struct{}

	mutex        sync.Mutex
	flows        map[framer.Tuple]*backendFlow
	queued       int  // requests waiting for a slot or in execution
	draining     bool // new flows are reset
	stats        BackendStats
	delayedStats BackendStats // reported by the load endpoint
}

// closedFlowLifetime is how long a server remembers a flow that its caller has closed, to
// answer retransmissions.
const closedFlowLifetime = 30 * time.Second

type backendFlow struct {
	closed           bool
	nextSequence     uint32 // of the next data to send
	expectedSequence uint32 // of the next data to receive
	lastAnswer       []byte // last datagram with an answer, sent again for a retransmitted request
}

// NewBackend opens the socket of a backend server. The returned function closes it.
func NewBackend(options BackendOptions) (*Backend, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, err
	}
	backend := &Backend{
		options:   options,
		socket:    socket,
		startedAt: time.Now(),
		slots:     make(chan struct{}, options.Slots),
		flows:     map[framer.Tuple]*backendFlow{},
		stats:     BackendStats{Name: options.Name, Requests: map[string]int{}},
	}
	return backend, func() { socket.Close() }, nil
}

// Handler serves GET /stats, the counters; GET /load, the number of open flows, delayed
// by LoadDelay; GET /health, which always succeeds; and PUT /drain, which makes the
// server reset new flows.
func (backend *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(writer http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(writer).Encode(backend.Stats())
	})
	mux.HandleFunc("GET /load", func(writer http.ResponseWriter, _ *http.Request) {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		json.NewEncoder(writer).Encode(map[string]int{"open": backend.delayedStats.OpenFlows})
	})
	mux.HandleFunc("PUT /drain", func(http.ResponseWriter, *http.Request) {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.draining = true
	})
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Write([]byte("up\n")) // healthy while the process runs, also when it resets new flows
	})
	return mux
}

// Stats returns a copy of the current counters.
func (backend *Backend) Stats() BackendStats {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	stats := backend.stats
	for _, flow := range backend.flows {
		if !flow.closed {
			stats.OpenFlows++
		}
	}
	stats.Requests = map[string]int{}
	for request, runs := range backend.stats.Requests {
		stats.Requests[request] = runs
	}
	return stats
}

// Run handles packets until the socket is closed.
func (backend *Backend) Run() {
	buffer := make([]byte, datagramSize)
	updatedAt := time.Now()
	for {
		length, _, err := backend.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var packet framer.Packet
		if framer.Decode(append([]byte(nil), buffer[:length]...), &packet) == nil {
			backend.handlePacket(&packet)
		}
		if time.Since(updatedAt) > backend.options.LoadDelay {
			updatedAt = time.Now()
			stats := backend.Stats()
			backend.mutex.Lock()
			backend.delayedStats = stats
			backend.mutex.Unlock()
		}
	}
}

func (backend *Backend) handlePacket(packet *framer.Packet) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4(packet.Tuple.Destination), packet.Tuple.DestinationPort)
	if address != backend.options.ServiceAddress {
		backend.stats.WrongService++
		return
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		go backend.handleRequest(packet, nil)
		return
	}
	flow, known := backend.flows[packet.Tuple]
	switch {
	case packet.Flags&framer.FlagRST != 0:
		delete(backend.flows, packet.Tuple)
	case packet.Flags&framer.FlagSYN != 0:
		backend.acceptOpening(packet, flow)
	case !known:
		backend.stats.UnknownFlow++
		backend.reply(packet, framer.Segment{Flags: framer.FlagRST, Sequence: packet.Acknowledgment})
	default:
		backend.handleEstablished(packet, flow)
	}
}

// acceptOpening accepts or sheds a new flow, and answers a retransmitted SYN of a known
// one.
func (backend *Backend) acceptOpening(packet *framer.Packet, flow *backendFlow) {
	if flow == nil || flow.closed {
		if backend.draining || backend.queued >= backend.options.MaxQueue {
			backend.stats.Shed++
			backend.reply(packet, framer.Segment{Flags: framer.FlagRST | framer.FlagACK, Acknowledgment: packet.Sequence + 1})
			return
		}
		flow = &backendFlow{nextSequence: 1000, expectedSequence: packet.Sequence + 1}
		backend.flows[packet.Tuple] = flow
		backend.stats.Accepted++
	}
	backend.reply(packet, framer.Segment{Flags: framer.FlagSYN | framer.FlagACK, Sequence: 999, Acknowledgment: flow.expectedSequence})
}

// handleEstablished handles a packet of an established flow.
func (backend *Backend) handleEstablished(packet *framer.Packet, flow *backendFlow) {
	if packet.PayloadLength > 0 {
		if flow.closed || packet.Sequence != flow.expectedSequence {
			backend.resendAnswer(flow)
			return
		}
		flow.expectedSequence += uint32(packet.PayloadLength)
		go backend.handleRequest(packet, flow)
	}
	if packet.Flags&framer.FlagFIN != 0 {
		backend.reply(packet, framer.Segment{
			Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.nextSequence, Acknowledgment: packet.Sequence + 1,
		})
		backend.closeFlow(packet.Tuple, flow)
	}
}

// closeFlow marks a flow as closed, and forgets it after closedFlowLifetime unless its caller
// has opened another one from the same port. The mutex must be held.
func (backend *Backend) closeFlow(tuple framer.Tuple, flow *backendFlow) {
	if flow.closed {
		return
	}
	flow.closed = true
	time.AfterFunc(closedFlowLifetime, func() {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		if backend.flows[tuple] == flow {
			delete(backend.flows, tuple)
		}
	})
}

// resendAnswer sends the last answer again without executing the request a second time.
func (backend *Backend) resendAnswer(flow *backendFlow) {
	if flow.lastAnswer != nil {
		_, _ = backend.socket.WriteToUDPAddrPort(flow.lastAnswer, backend.options.FabricAddress)
	}
}

// handleRequest executes one request in a slot and answers it. flow is nil for UDP.
func (backend *Backend) handleRequest(packet *framer.Packet, flow *backendFlow) {
	backend.mutex.Lock()
	backend.queued++
	backend.mutex.Unlock()
	backend.slots <- struct{}{}
	time.Sleep(backend.processingTime())
	<-backend.slots

	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.queued--
	request := string(packet.Payload())
	backend.stats.Executed++
	backend.stats.Requests[request]++
	if backend.stats.Requests[request] > 1 {
		backend.stats.ExecutedTwice++
	}
	segment := framer.Segment{Payload: []byte(backend.options.Name + " " + request)}
	if flow == nil {
		backend.reply(packet, segment)
		return
	}
	segment.Flags = framer.FlagACK
	segment.Sequence, segment.Acknowledgment = flow.nextSequence, flow.expectedSequence
	flow.nextSequence += uint32(len(segment.Payload))
	flow.lastAnswer = backend.reply(packet, segment)
}

func (backend *Backend) processingTime() time.Duration {
	seconds := backend.options.RequestWork / backend.options.SlotSpeed
	if time.Since(backend.startedAt) < backend.options.WarmupTime {
		seconds *= 3
	}
	return time.Duration(seconds * float64(time.Second))
}

// reply sends a segment through the fabric to the caller of packet, and returns the
// datagram.
func (backend *Backend) reply(packet *framer.Packet, segment framer.Segment) []byte {
	segment.Tuple = packet.Tuple.Reverse()
	inner, err := framer.BuildInner(segment)
	if err != nil {
		return nil
	}
	datagram := framer.Encode(nil, framer.Options{}, inner)
	_, _ = backend.socket.WriteToUDPAddrPort(datagram, backend.options.FabricAddress)
	return datagram
}
