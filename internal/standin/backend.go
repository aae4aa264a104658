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

// BackendOptions describe one backend server.
type BackendOptions struct {
	Name     string
	Address  netip.AddrPort // end of the tunnel
	FabricAddress   netip.AddrPort
	ServiceAddress  netip.AddrPort // the service it serves
	Slots    int            // requests served at once
	SlotSpeed float64        // work units a second and slot
	RequestWork     float64        // work units of one request
	WarmupTime     time.Duration  // after the start, in which it is slower
	MaxQueue int            // waiting requests at which openings are shed
	LoadDelay      time.Duration  // by which the load endpoint is late
}

// BackendStats is what a backend server saw.
type BackendStats struct {
	Name         string         `json:"name"`
	Accepted     int            `json:"accepted"`
	Shed         int            `json:"shed"`
	OpenFlows         int            `json:"open"`
	Executed     int            `json:"executed"`
	ExecutedTwice  int            `json:"executed_twice"` // requests run more than once
	WrongService int            `json:"wrong_service"`
	UnknownFlow  int            `json:"unknown_flow"`
	Requests     map[string]int `json:"requests,omitempty"` // runs by request
}

// Backend is a backend server with slots that speaks just enough TCP and UDP.
type Backend struct {
	options BackendOptions
	socket  *net.UDPConn
	started time.Time
	slots   chan struct{}

	mutex   sync.Mutex
	flows   map[framer.Tuple]*backendFlow
	waiting int
	drains  bool
	stats   BackendStats
	lagging BackendStats
}

type backendFlow struct {
	sequence uint32 // next to send
	expected uint32 // next to receive
	answer   []byte // last packet with payload, sent again for a repeated request
}

// NewBackend listens on the tunnel address.
func NewBackend(options BackendOptions) (*Backend, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Address))
	if err != nil {
		return nil, nil, err
	}
	backend := &Backend{
		options: options,
		socket:  socket,
		started: time.Now(),
		slots:   make(chan struct{}, options.Slots),
		flows:   map[framer.Tuple]*backendFlow{},
		stats:   BackendStats{Name: options.Name, Requests: map[string]int{}},
	}
	return backend, func() { socket.Close() }, nil
}

// Handler serves /stats, /load and /health, which lag, and PUT /drain, after which openings are reset.
func (backend *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(writer http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(writer).Encode(backend.Stats())
	})
	mux.HandleFunc("GET /load", func(writer http.ResponseWriter, _ *http.Request) {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		json.NewEncoder(writer).Encode(map[string]int{"open": backend.lagging.OpenFlows})
	})
	mux.HandleFunc("PUT /drain", func(http.ResponseWriter, *http.Request) {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.drains = true
	})
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Write([]byte("up\n")) // as long as the process lives, whatever it does with openings
	})
	return mux
}

// Stats returns what the backend server saw until now.
func (backend *Backend) Stats() BackendStats {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	stats := backend.stats
	stats.OpenFlows = len(backend.flows)
	stats.Requests = map[string]int{}
	for request, runs := range backend.stats.Requests {
		stats.Requests[request] = runs
	}
	return stats
}

// Run serves until the socket is closed.
func (backend *Backend) Run() {
	buffer := make([]byte, datagramSize)
	copied := time.Now()
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
			backend.handle(&packet)
		}
		if time.Since(copied) > backend.options.LoadDelay {
			copied = time.Now()
			stats := backend.Stats()
			backend.mutex.Lock()
			backend.lagging = stats
			backend.mutex.Unlock()
		}
	}
}

func (backend *Backend) handle(packet *framer.Packet) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	address := netip.AddrPortFrom(netip.AddrFrom4(packet.Tuple.Destination), packet.Tuple.DestinationPort)
	if address != backend.options.ServiceAddress {
		backend.stats.WrongService++
		return
	}
	if packet.Tuple.Protocol == framer.ProtocolUDP {
		go backend.serve(packet, nil)
		return
	}
	flow, known := backend.flows[packet.Tuple]
	switch {
	case packet.Flags&framer.FlagRST != 0:
		delete(backend.flows, packet.Tuple)
	case packet.Flags&framer.FlagSYN != 0:
		backend.accept(packet, flow)
	case !known:
		backend.stats.UnknownFlow++
		backend.reply(packet, framer.Segment{Flags: framer.FlagRST, Sequence: packet.Acknowledge})
	default:
		backend.established(packet, flow)
	}
}

func (backend *Backend) accept(packet *framer.Packet, flow *backendFlow) {
	if flow == nil {
		if backend.drains || backend.waiting >= backend.options.MaxQueue {
			backend.stats.Shed++
			backend.reply(packet, framer.Segment{Flags: framer.FlagRST | framer.FlagACK, Acknowledge: packet.Sequence + 1})
			return
		}
		flow = &backendFlow{sequence: 1000, expected: packet.Sequence + 1}
		backend.flows[packet.Tuple] = flow
		backend.stats.Accepted++
	}
	backend.reply(packet, framer.Segment{Flags: framer.FlagSYN | framer.FlagACK, Sequence: 999, Acknowledge: flow.expected})
}

func (backend *Backend) established(packet *framer.Packet, flow *backendFlow) {
	if packet.PayloadLength > 0 {
		if packet.Sequence != flow.expected {
			backend.repeat(flow)
			return
		}
		flow.expected += uint32(packet.PayloadLength)
		go backend.serve(packet, flow)
	}
	if packet.Flags&framer.FlagFIN != 0 {
		backend.reply(packet, framer.Segment{
			Flags: framer.FlagFIN | framer.FlagACK, Sequence: flow.sequence, Acknowledge: packet.Sequence + 1,
		})
		delete(backend.flows, packet.Tuple)
	}
}

// repeat sends the last answer again; the request is not run a second time.
func (backend *Backend) repeat(flow *backendFlow) {
	if flow.answer != nil {
		_, _ = backend.socket.WriteToUDPAddrPort(flow.answer, backend.options.FabricAddress)
	}
}

// serve runs one request in a slot and answers it; flow is nil for UDP.
func (backend *Backend) serve(packet *framer.Packet, flow *backendFlow) {
	backend.mutex.Lock()
	backend.waiting++
	backend.mutex.Unlock()
	backend.slots <- struct{}{}
	time.Sleep(backend.serviceTime())
	<-backend.slots

	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.waiting--
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
	segment.Sequence, segment.Acknowledge = flow.sequence, flow.expected
	flow.sequence += uint32(len(segment.Payload))
	flow.answer = backend.reply(packet, segment)
}

func (backend *Backend) serviceTime() time.Duration {
	seconds := backend.options.RequestWork / backend.options.SlotSpeed
	if time.Since(backend.started) < backend.options.WarmupTime {
		seconds *= 3
	}
	return time.Duration(seconds * float64(time.Second))
}

// reply sends a segment back to the caller of packet, through the fabric.
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
