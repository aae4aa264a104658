package forwarder

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	faster "github.com/go-faster/errors"
	"golang.org/x/net/ipv4"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
)

const (
	batchSize    = 64
	maxDatagramSize = 2048    // bytes; tunnels carry no larger packets
	socketBufferSize = 4 << 20 // bytes
	maxCachedAddresses = 100_000 // remembered socket addresses
)

// PacketDecider gives the verdict on a packet.
type PacketDecider interface {
	Decide(packet *framer.Packet) decider.Verdict
	// IsTrusted reports whether address is the tunnel address of a known instance.
	IsTrusted(address netip.AddrPort) bool
}

// Stats counts what the socket saw; the decisions have counters of their own.
type Stats struct {
	Received       atomic.Uint64
	ReceivedBytes  atomic.Uint64
	Sent           atomic.Uint64
	SentBytes      atomic.Uint64
	SendErrors     atomic.Uint64
	Untrusted      atomic.Uint64
	DecodeDrops  map[string]*atomic.Uint64 // by framer's reason
	RefusalsFailed atomic.Uint64
}

// Forwarder owns the tunnel socket.
type Forwarder struct {
	stats     Stats
	socket    *net.UDPConn
	batchConn     *ipv4.PacketConn
	decider   PacketDecider
	fabricAddresses    []netip.AddrPort
	isFabric  map[netip.AddrPort]bool
	addressCache map[netip.AddrPort]*net.UDPAddr
	outgoing  []ipv4.Message
	queuedCount      int
}

// NewForwarder binds the tunnel address; the returned function closes the socket and ends Run.
func NewForwarder(address netip.AddrPort, fabric []netip.AddrPort, packetDecider PacketDecider) (*Forwarder, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, faster.Wrapf(err, "listen for packets on %s", address)
	}
	if err := errors.Join(socket.SetReadBuffer(socketBufferSize), socket.SetWriteBuffer(socketBufferSize)); err != nil {
		socket.Close()
		return nil, nil, faster.Wrap(err, "size of the socket's buffers")
	}
	forwarder := &Forwarder{
		socket:    socket,
		batchConn:     ipv4.NewPacketConn(socket),
		decider:   packetDecider,
		fabricAddresses:    fabric,
		isFabric:  map[netip.AddrPort]bool{},
		addressCache: map[netip.AddrPort]*net.UDPAddr{},
		outgoing:  newMessages(2 * batchSize),
	}
	forwarder.stats.DecodeDrops = map[string]*atomic.Uint64{}
	for _, reason := range framer.DropReasons() {
		forwarder.stats.DecodeDrops[reason] = &atomic.Uint64{}
	}
	for _, address := range fabric {
		forwarder.isFabric[address] = true
	}
	return forwarder, func() { socket.Close() }, nil
}

func newMessages(count int) []ipv4.Message {
	messages := make([]ipv4.Message, count)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagramSize)}
	}
	return messages
}

// Stats returns the counters.
func (forwarder *Forwarder) Stats() *Stats { return &forwarder.stats }

// Run forwards packets until the socket is closed.
func (forwarder *Forwarder) Run() error {
	incoming := newMessages(batchSize)
	var packet framer.Packet
	for {
		count, err := forwarder.batchConn.ReadBatch(incoming, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // an ICMP error of an earlier send; the next read goes on
		}
		for i := range incoming[:count] {
			forwarder.handleDatagram(&incoming[i], &packet)
		}
		forwarder.flush()
	}
}

func (forwarder *Forwarder) handleDatagram(message *ipv4.Message, packet *framer.Packet) {
	datagram := message.Buffers[0][:message.N]
	forwarder.stats.Received.Add(1)
	forwarder.stats.ReceivedBytes.Add(uint64(message.N))
	if err := framer.Decode(datagram, packet); err != nil {
		var dropError *framer.DropError
		if errors.As(err, &dropError) {
			forwarder.stats.DecodeDrops[dropError.Reason].Add(1)
		}
		return
	}
	from := message.Addr.(*net.UDPAddr).AddrPort()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !forwarder.isTrusted(from, packet) {
		forwarder.stats.Untrusted.Add(1)
		return
	}
	forwarder.executeVerdict(forwarder.decider.Decide(packet), packet)
}

// isTrusted accepts callers' packets from the fabric alone and relayed ones from instances alone.
func (forwarder *Forwarder) isTrusted(from netip.AddrPort, packet *framer.Packet) bool {
	if packet.Relayed {
		return forwarder.decider.IsTrusted(from)
	}
	return forwarder.isFabric[from]
}

func (forwarder *Forwarder) executeVerdict(verdict decider.Verdict, packet *framer.Packet) {
	if verdict.NoticeTo.IsValid() {
		forwarder.send(verdict.NoticeTo, framer.Options{Relayed: true, Notice: true, Hint: verdict.Hint}, packet.Inner)
	}
	switch verdict.Kind {
	case decider.ToBackendServer:
		forwarder.send(verdict.Address, framer.Options{}, packet.Inner)
	case decider.ToCaller:
		forwarder.send(forwarder.selectFabricAddress(packet), framer.Options{Refusal: verdict.Refusal}, packet.Inner)
	case decider.ToInstance:
		options := framer.Options{
			TunnelSource: packet.TunnelSource,
			Relayed:      true,
			RelayRank:    verdict.Rank,
			Hint:         verdict.Hint,
		}
		forwarder.send(verdict.Address, options, packet.Inner)
	case decider.Refuse:
		forwarder.sendRefusal(verdict, packet)
	case decider.Drop:
	}
}

func (forwarder *Forwarder) sendRefusal(verdict decider.Verdict, packet *framer.Packet) {
	inner, err := framer.RefuseInner(packet)
	if err != nil {
		forwarder.stats.RefusalsFailed.Add(1)
		return
	}
	forwarder.send(forwarder.selectFabricAddress(packet), framer.Options{Refusal: verdict.Refusal}, inner)
}

// selectFabricAddress spreads flows over the fabric's addresses.
func (forwarder *Forwarder) selectFabricAddress(packet *framer.Packet) netip.AddrPort {
	spread := int(packet.Tuple.SourcePort) + int(packet.Tuple.DestinationPort)
	return forwarder.fabricAddresses[spread%len(forwarder.fabricAddresses)]
}

// send queues a datagram for the next flush.
func (forwarder *Forwarder) send(to netip.AddrPort, options framer.Options, inner []byte) {
	message := &forwarder.outgoing[forwarder.queuedCount]
	message.Buffers[0] = framer.Encode(message.Buffers[0][:0], options, inner)
	message.Addr = forwarder.udpAddress(to)
	forwarder.queuedCount++
	if forwarder.queuedCount == len(forwarder.outgoing) {
		forwarder.flush()
	}
}

// udpAddress returns the socket address for to without allocating for each packet.
func (forwarder *Forwarder) udpAddress(to netip.AddrPort) *net.UDPAddr {
	known, ok := forwarder.addressCache[to]
	if !ok {
		if len(forwarder.addressCache) >= maxCachedAddresses {
			clear(forwarder.addressCache)
		}
		known = net.UDPAddrFromAddrPort(to)
		forwarder.addressCache[to] = known
	}
	return known
}

// flush writes the queued datagrams; one that cannot be sent is counted and left out.
func (forwarder *Forwarder) flush() {
	queued := forwarder.outgoing[:forwarder.queuedCount]
	forwarder.queuedCount = 0
	for len(queued) > 0 {
		sent, err := forwarder.batchConn.WriteBatch(queued, 0)
		for i := range queued[:max(sent, 0)] {
			forwarder.stats.Sent.Add(1)
			forwarder.stats.SentBytes.Add(uint64(queued[i].N))
		}
		if err != nil || sent <= 0 {
			forwarder.stats.SendErrors.Add(1)
			sent = max(sent, 0) + 1
		}
		queued = queued[min(sent, len(queued)):]
	}
}
