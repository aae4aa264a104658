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
	workTime     = 20 * time.Millisecond // of one request
	identitySize = 8                     // bytes before a packet for a backend server
)

// server is a stand-in of a backend server.
type server struct {
	name     string
	identity uint64
	service  string
	soak     *soak
	socket   *net.UDPConn

	mutex     sync.Mutex
	flows     map[[2]netip.AddrPort]*serverFlow
	leavingAt time.Time // zero while it takes new flows
	ended     bool
	resets    map[[2]netip.AddrPort]bool // flows that it reset itself
}

// serverFlow is one flow that a server holds.
type serverFlow struct {
	sequence uint32
	open     bool
	answers  map[uint32][]byte // by the sequence number of the request
}

func newServer(soak *soak, name string, identity uint64, service string, address netip.AddrPort) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	server := &server{
		name: name, identity: identity, service: service, soak: soak, socket: socket,
		flows: map[[2]netip.AddrPort]*serverFlow{}, resets: map[[2]netip.AddrPort]bool{},
	}
	go server.run()
	return server, nil
}

// write writes the server's entry into the store.
func (server *server) write(state parser.State) {
	entry := viewer.BackendServer{
		Service: server.service, Address: server.socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		FailureDomain: "domain-0", Slots: 3, State: state, StartedAt: 1,
	}
	server.soak.store.Put(platform.ServersKind, server.name, platform.EncodeServer(&entry))
}

// removeEntry removes the server's entry from the store.
func (server *server) removeEntry() { server.soak.store.Remove(platform.ServersKind, server.name) }

func (server *server) run() {
	buffer := make([]byte, 2048)
	for {
		count, err := server.socket.Read(buffer)
		if err != nil {
			return
		}
		if count < identitySize || binary.BigEndian.Uint64(buffer) != server.identity {
			continue
		}
		received, err := decodePacket(buffer[identitySize:count])
		if err != nil || received.sum != received.checksum() {
			server.soak.violate("server %s got a packet that no caller wrote", server.name)
			continue
		}
		server.handle(received)
	}
}

func (server *server) handle(received packet) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	key := [2]netip.AddrPort{received.source, received.destination}
	flow := server.flows[key]
	switch {
	case received.flags&flagSYN != 0:
		server.opening(key, received)
	case flow == nil:
		server.resets[key] = true
		server.send(received, packet{flags: flagRST, sequence: received.acknowledge})
	case received.acknowledge != flow.sequence+1 && !flow.open:
		return // the caller acknowledges another server's answer
	case received.flags&flagRST != 0:
		delete(server.flows, key)
	case received.flags&flagFIN != 0:
		flow.open = true
		server.send(received, packet{flags: flagACK | flagFIN, sequence: received.acknowledge, acknowledge: received.sequence + 1})
	case len(received.data) > 0:
		flow.open = true
		server.request(flow, received)
	default:
		flow.open = true
	}
}

// opening takes a new flow; a copy gets the same answer.
func (server *server) opening(key [2]netip.AddrPort, received packet) {
	flow := server.flows[key]
	if flow == nil {
		server.soak.checkOpening(server, received)
		flow = &serverFlow{sequence: rand.Uint32(), answers: map[uint32][]byte{}}
		server.flows[key] = flow
	}
	server.send(received, packet{flags: flagSYN | flagACK, sequence: flow.sequence, acknowledge: received.sequence + 1})
}

// request runs a request once and answers its copies with the same bytes.
func (server *server) request(flow *serverFlow, received packet) {
	answer, known := flow.answers[received.sequence]
	if !known {
		id := string(received.data)
		server.soak.ran(id, server)
		answer = []byte("answer to " + id + " by " + server.name)
		flow.answers[received.sequence] = answer
	}
	time.AfterFunc(workTime, func() {
		server.send(received, packet{
			flags: flagACK, sequence: received.acknowledge, acknowledge: received.sequence + uint32(len(received.data)), data: answer,
		})
	})
}

// send answers a caller's packet, past the instances.
func (server *server) send(received, answer packet) {
	answer.source, answer.destination, answer.token = received.destination, received.source, received.token
	to := netip.AddrPortFrom(received.source.Addr(), server.soak.packetPort)
	server.socket.WriteToUDPAddrPort(answer.seal(), to)
}

// drain announces that the server leaves, and ends it when its flows have had time to end.
func (server *server) drain(grace time.Duration) {
	server.mutex.Lock()
	server.leavingAt = time.Now()
	server.mutex.Unlock()
	server.write(parser.Leaving)
	time.AfterFunc(grace, func() {
		server.end()
		server.removeEntry()
	})
}

// end stops the server; its flows are lost.
func (server *server) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.ended = true
	server.socket.Close()
}

// holds reports whether a flow is open here, was not reset by the server, and the server lives.
func (server *server) holds(key [2]netip.AddrPort) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	flow := server.flows[key]
	return flow != nil && flow.open && !server.ended && !server.resets[key]
}

// author returns the name of the server that wrote an answer.
func author(answer string) string {
	return answer[strings.LastIndexByte(answer, ' ')+1:]
}
