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
	batchSize          = 64      // datagrams read at once
	maxDatagramSize    = 2048    // bytes; the tunnel carries no larger packets
	socketBufferSize   = 4 << 20 // bytes
	maxCachedAddresses = 100_000 // the cache is cleared when it is full
)

// PacketDecider decides about packets and knows the other instances.
type PacketDecider interface {
	// Decide returns the verdict on a packet.
	Decide(packet *framer.Packet) decider.Verdict
	// IsTrusted reports whether address is the tunnel address of a known instance.
	IsTrusted(address netip.AddrPort) bool
}

// Stats counts the socket's datagrams; the decider counts its decisions itself.
type Stats struct {
	Received       atomic.Uint64
	ReceivedBytes  atomic.Uint64
	Sent           atomic.Uint64
	SentBytes      atomic.Uint64
	SendErrors     atomic.Uint64
	Untrusted      atomic.Uint64             // datagrams dropped because their sender is not trusted
	DecodeDrops    map[string]*atomic.Uint64 // by reason, see framer.DropReasons
	RefusalsFailed atomic.Uint64             // refusals that could not be built
}

// Forwarder reads packets from the tunnel socket and writes them to it.
type Forwarder struct {
	stats           Stats
	socket          *net.UDPConn
	batchConn       *ipv4.PacketConn
	decider         PacketDecider
	fabricAddresses []netip.AddrPort
	isFabric        map[netip.AddrPort]bool
	addressCache    map[netip.AddrPort]*net.UDPAddr
	outgoing        []ipv4.Message // reused buffers; the first queuedCount are to be sent
	queuedCount     int
}

// NewForwarder binds the tunnel address; fabric holds the addresses of the fabric that
// delivers callers' packets. The returned function closes the socket, which ends Run.
func NewForwarder(address netip.AddrPort, fabric []netip.AddrPort, packetDecider PacketDecider) (*Forwarder, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, faster.Wrapf(err, "listen for packets on %s", address)
	}
	if err := errors.Join(socket.SetReadBuffer(socketBufferSize), socket.SetWriteBuffer(socketBufferSize)); err != nil {
		socket.Close()
		return nil, nil, faster.Wrap(err, "set sizes of socket buffers")
	}
	forwarder := &Forwarder{
		socket:          socket,
		batchConn:       ipv4.NewPacketConn(socket),
		decider:         packetDecider,
		fabricAddresses: fabric,
		isFabric:        map[netip.AddrPort]bool{},
		addressCache:    map[netip.AddrPort]*net.UDPAddr{},
		outgoing:        newMessages(2 * batchSize),
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

// Run forwards packets until the socket is closed, and then returns nil.
func (forwarder *Forwarder) Run() error {
	incoming := newMessages(batchSize)
	var packet framer.Packet
	for {
		count, err := forwarder.batchConn.ReadBatch(incoming, 0)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // an ICMP error caused by an earlier send; reading continues
		}
		for i := range incoming[:count] {
			forwarder.handleDatagram(&incoming[i], &packet)
		}
		forwarder.flush()
	}
}

// handleDatagram decodes a datagram into packet, which is reused, and carries out the
// verdict on it.
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

// isTrusted reports whether the sender may send the packet: relayed packets are accepted
// only from known instances, all others only from the fabric.
func (forwarder *Forwarder) isTrusted(from netip.AddrPort, packet *framer.Packet) bool {
	if packet.Relayed {
		return forwarder.decider.IsTrusted(from)
	}
	return forwarder.isFabric[from]
}

// executeVerdict sends the packet where the verdict says, and a copy of it to the
// instance that the verdict notifies, if any.
func (forwarder *Forwarder) executeVerdict(verdict decider.Verdict, packet *framer.Packet) {
	if verdict.NoticeTo.IsValid() {
		forwarder.send(verdict.NoticeTo, framer.Options{Relayed: true, Notice: true, ServerHint: verdict.Hint}, packet.Inner)
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
			ServerHint:   verdict.Hint,
		}
		forwarder.send(verdict.Address, options, packet.Inner)
	case decider.Refuse:
		forwarder.sendRefusal(verdict, packet)
	case decider.Drop:
	}
}

// sendRefusal answers the caller with a refusal built from its packet.
func (forwarder *Forwarder) sendRefusal(verdict decider.Verdict, packet *framer.Packet) {
	inner, err := framer.BuildRefusal(packet)
	if err != nil {
		forwarder.stats.RefusalsFailed.Add(1)
		return
	}
	forwarder.send(forwarder.selectFabricAddress(packet), framer.Options{Refusal: verdict.Refusal}, inner)
}

// selectFabricAddress returns the fabric address for a packet; flows are spread over the
// addresses by their ports.
func (forwarder *Forwarder) selectFabricAddress(packet *framer.Packet) netip.AddrPort {
	portSum := int(packet.Tuple.SourcePort) + int(packet.Tuple.DestinationPort)
	return forwarder.fabricAddresses[portSum%len(forwarder.fabricAddresses)]
}

// send queues a datagram for the next flush, and flushes when the queue is full.
func (forwarder *Forwarder) send(to netip.AddrPort, options framer.Options, inner []byte) {
	message := &forwarder.outgoing[forwarder.queuedCount]
	message.Buffers[0] = framer.Encode(message.Buffers[0][:0], options, inner)
	message.Addr = forwarder.udpAddress(to)
	forwarder.queuedCount++
	if forwarder.queuedCount == len(forwarder.outgoing) {
		forwarder.flush()
	}
}

// udpAddress returns the socket address for to from a cache, so that a packet needs no allocation.
func (forwarder *Forwarder) udpAddress(to netip.AddrPort) *net.UDPAddr {
	cached, ok := forwarder.addressCache[to]
	if !ok {
		if len(forwarder.addressCache) >= maxCachedAddresses {
			clear(forwarder.addressCache)
		}
		cached = net.UDPAddrFromAddrPort(to)
		forwarder.addressCache[to] = cached
	}
	return cached
}

// flush writes the queued datagrams; one that cannot be sent is counted and skipped.
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
