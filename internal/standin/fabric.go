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

const datagramSize = 2048 // bytes

// Fabric sprays packets over balancers and delivers answers to callers.
type Fabric struct {
	socket *net.UDPConn
	random *rand.Rand

	mutex     sync.Mutex
	balancers []netip.AddrPort
	known     map[netip.AddrPort]bool // every balancer ever listed
	callers   map[[4]byte]netip.AddrPort
}

// NewFabric listens on address; the spray follows the seed.
func NewFabric(address netip.AddrPort, seed uint64) (*Fabric, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, err
	}
	if err := socket.SetReadBuffer(4 << 20); err != nil {
		return nil, nil, err
	}
	fabric := &Fabric{
		socket:  socket,
		random:  rand.New(rand.NewPCG(seed, seed)),
		known:   map[netip.AddrPort]bool{},
		callers: map[[4]byte]netip.AddrPort{},
	}
	return fabric, func() { socket.Close() }, nil
}

// SetBalancers replaces the balancers that packets are sprayed over.
func (fabric *Fabric) SetBalancers(balancers []netip.AddrPort) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	fabric.balancers = balancers
	for _, address := range balancers {
		fabric.known[address] = true
	}
}

// Handler lets an operator replace the list of balancers with PUT /balancers.
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

// Run moves packets until the socket is closed.
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
		fabric.move(buffer[:length], from, &packet, out)
	}
}

func (fabric *Fabric) move(datagram []byte, from netip.AddrPort, packet *framer.Packet, out []byte) {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	if fabric.known[from] {
		if to, ok := fabric.callers[destinationOf(datagram)]; ok {
			fabric.write(datagram, to)
		}
		return
	}
	if framer.Decode(datagram, packet) != nil || len(fabric.balancers) == 0 {
		return
	}
	options := framer.Options{}
	if _, isReturn := fabric.callers[packet.Tuple.Destination]; isReturn {
		options.TunnelSource = from
	} else {
		fabric.callers[packet.Tuple.Source] = from
	}
	chosen := fabric.balancers[fabric.random.IntN(len(fabric.balancers))]
	fabric.write(framer.Encode(out[:0], options, packet.Inner), chosen)
}

func (fabric *Fabric) write(datagram []byte, to netip.AddrPort) {
	// A send to a process that has gone fails with the ICMP error of an earlier one: the packet is lost, as on a wire.
	_, _ = fabric.socket.WriteToUDPAddrPort(datagram, to)
}

// destinationOf reads the inner destination address, also of refusals that are ICMP.
func destinationOf(datagram []byte) [4]byte {
	start := 8 + int(datagram[0]&0x3f)*4
	if len(datagram) < start+20 {
		return [4]byte{}
	}
	return [4]byte(datagram[start+16 : start+20])
}
