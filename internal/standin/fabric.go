package standin

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/pimentowind/pimentowind/framer"
)

const datagramSize = 2048 // bytes, maximum

// Fabric simulates the network fabric. It sprays packets of callers and backend servers
// at random over the balancers, and delivers packets of balancers to callers.
type Fabric struct {
	socket *net.UDPConn
	random *rand.Rand

	mutex           sync.Mutex
	balancers       []netip.AddrPort
	knownBalancers  map[netip.AddrPort]bool    // every balancer that was ever in the list
	callerByAddress map[[4]byte]netip.AddrPort // socket address by inner source address
}

// NewFabric opens a socket on address. The seed determines which balancers are selected.
// The returned function closes the socket.
func NewFabric(address netip.AddrPort, seed uint64) (*Fabric, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, err
	}
	if err := socket.SetReadBuffer(4 << 20); err != nil {
		return nil, nil, err
	}
	fabric := &Fabric{
		socket:          socket,
		random:          rand.New(rand.NewPCG(seed, seed)),
		knownBalancers:  map[netip.AddrPort]bool{},
		callerByAddress: map[[4]byte]netip.AddrPort{},
	}
	return fabric, func() { socket.Close() }, nil
}

// SetBalancers replaces the balancers that receive packets.
func (fabric *Fabric) SetBalancers(balancers []netip.AddrPort) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	fabric.balancers = balancers
	for _, address := range balancers {
		fabric.knownBalancers[address] = true
	}
}

// Handler serves PUT /balancers, which replaces the list of balancers.
func (fabric *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /balancers", func(writer http.ResponseWriter, request *http.Request) {
		var balancers []netip.AddrPort
		if err := json.NewDecoder(request.Body).Decode(&balancers); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		fabric.SetBalancers(balancers)
	})
	return mux
}

// Run forwards packets until the socket is closed.
func (fabric *Fabric) Run() {
	buffer := make([]byte, datagramSize)
	out := make([]byte, 0, datagramSize)
	var packet framer.Packet
	for {
		length, from, err := fabric.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		fabric.forward(buffer[:length], from, &packet, out)
	}
}

// forward sends a datagram from a balancer to its caller, and any other datagram to a
// random balancer. Packets of backend servers carry the sender as tunnel source.
func (fabric *Fabric) forward(datagram []byte, from netip.AddrPort, packet *framer.Packet, out []byte) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	if fabric.knownBalancers[from] {
		if to, ok := fabric.callerByAddress[innerDestination(datagram)]; ok {
			fabric.send(datagram, to)
		}
		return
	}
	if framer.Decode(datagram, packet) != nil || len(fabric.balancers) == 0 {
		return
	}
	options := framer.Options{}
	if _, isReturn := fabric.callerByAddress[packet.Tuple.Destination]; isReturn {
		options.TunnelSource = from
	} else {
		fabric.callerByAddress[packet.Tuple.Source] = from
	}
	selected := fabric.balancers[fabric.random.IntN(len(fabric.balancers))]
	fabric.send(framer.Encode(out[:0], options, packet.Inner), selected)
}

func (fabric *Fabric) send(datagram []byte, to netip.AddrPort) {
	// A send can fail with the ICMP error of an earlier datagram to a process that has
	// exited. The packet is then lost, as it would be on a network.
	_, _ = fabric.socket.WriteToUDPAddrPort(datagram, to)
}

// innerDestination returns the inner destination address, also of a refusal that is an
// ICMP message.
func innerDestination(datagram []byte) [4]byte {
	start := 8 + int(datagram[0]&0x3f)*4
	if len(datagram) < start+20 {
		return [4]byte{}
	}
	return [4]byte(datagram[start+16 : start+20])
}
