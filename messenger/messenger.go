package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/ticker"
)

// alpnProtocol is the ALPN protocol name; it changes when older instances cannot decode
// the messages anymore.
const alpnProtocol = "pimentowind/1"

const (
	queueLength      = 1024            // messages queued for one instance
	idleTimeout      = 5 * time.Second // without packets, after which a connection ends
	dialTimeout      = time.Second
	redialDelay      = 300 * time.Millisecond
	writeTimeout     = 2 * time.Second
	maxArrayElements = 1 << 17 // in a CBOR array of a received message
)

// Receiver receives the messages of other instances.
type Receiver interface {
	// Receive is called with each message and the common name in the sender's certificate.
	Receive(from string, message decider.Message)
}

// Stats counts bytes on the wire, including retransmissions and acknowledgments, and
// messages and connections.
type Stats struct {
	SentBytes       atomic.Uint64
	ReceivedBytes   atomic.Uint64
	SentMessages    atomic.Uint64
	Dials           atomic.Uint64
	DialFailures    atomic.Uint64
	QueueOverflows  atomic.Uint64
	RefusedSessions atomic.Uint64 // connections without a client certificate
}

// Messenger sends messages to other instances and receives theirs.
type Messenger struct {
	stats      Stats
	tlsConfig  *tls.Config
	quicConfig *quic.Config
	transport  *quic.Transport
	receiver   Receiver
	context    context.Context

	mutex      sync.Mutex
	peers      map[string]*peer
	goroutines sync.WaitGroup
}

// peer is an instance to which messages are sent.
type peer struct {
	name  string
	queue chan []byte

	mutex   sync.Mutex
	address netip.AddrPort
}

// NewMessenger listens on address; the returned function closes all connections and
// waits for the goroutines to end.
func NewMessenger(address netip.AddrPort, tlsConfig *tls.Config, receiver Receiver) (*Messenger, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for instances on %s", address)
	}
	tlsConfig = tlsConfig.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	ctx, cancel := context.WithCancel(context.Background())
	messenger := &Messenger{
		tlsConfig:  tlsConfig,
		quicConfig: &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout},
		receiver:   receiver,
		context:    ctx,
		peers:      map[string]*peer{},
	}
	messenger.transport = &quic.Transport{Conn: &countingConn{UDPConn: socket, stats: &messenger.stats}}
	listener, err := messenger.transport.Listen(tlsConfig, messenger.quicConfig)
	if err != nil {
		cancel()
		socket.Close()
		return nil, nil, errors.Wrap(err, "listen for QUIC")
	}
	messenger.goroutines.Go(func() { messenger.acceptConnections(listener) })
	return messenger, func() {
		cancel()
		listener.Close()
		messenger.transport.Close()
		socket.Close()
		messenger.goroutines.Wait()
	}, nil
}

// Stats returns the counters.
func (messenger *Messenger) Stats() *Stats { return &messenger.stats }

// Send queues a message to an instance. It does not block; when the queue is full it
// drops the message and returns an error.
func (messenger *Messenger) Send(to decider.Instance, message decider.Message) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	peer := messenger.peerFor(to)
	select {
	case peer.queue <- encoded:
		return nil
	default:
		messenger.stats.QueueOverflows.Add(1)
		return errors.Errorf("queue to instance %q is full", to.Name)
	}
}

// peerFor returns the peer for an instance, and starts its sender on first use.
func (messenger *Messenger) peerFor(to decider.Instance) *peer {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	found, ok := messenger.peers[to.Name]
	if !ok {
		found = &peer{name: to.Name, queue: make(chan []byte, queueLength), address: to.Peer}
		messenger.peers[to.Name] = found
		messenger.goroutines.Go(func() { messenger.runSender(found) })
	}
	found.mutex.Lock()
	defer found.mutex.Unlock()
	if to.Peer.IsValid() {
		found.address = to.Peer
	}
	return found
}

// runSender sends what is queued for one instance, and dials again whenever the
// connection fails.
func (messenger *Messenger) runSender(peer *peer) {
	for messenger.context.Err() == nil {
		stream, connection, err := messenger.dial(peer)
		if err != nil {
			messenger.stats.DialFailures.Add(1)
			peer.discardQueue()
			ticker.Sleep(messenger.context, redialDelay)
			continue
		}
		messenger.writeQueue(peer, stream)
		connection.CloseWithError(0, "")
	}
}

// dial opens a connection to a peer, whose certificate must be issued for the peer's
// name, and the stream on it.
func (messenger *Messenger) dial(peer *peer) (*quic.SendStream, *quic.Conn, error) {
	peer.mutex.Lock()
	address := peer.address
	peer.mutex.Unlock()
	ctx, cancel := context.WithTimeout(messenger.context, dialTimeout)
	defer cancel()
	messenger.stats.Dials.Add(1)
	tlsConfig := messenger.tlsConfig.Clone()
	tlsConfig.ServerName = peer.name
	connection, err := messenger.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), tlsConfig, messenger.quicConfig)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial instance %q at %s", peer.name, address)
	}
	stream, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		connection.CloseWithError(0, "")
		return nil, nil, errors.Wrapf(err, "open stream to instance %q", peer.name)
	}
	return stream, connection, nil
}

// writeQueue writes queued messages to the stream until a write fails, the stream ends or
// the messenger is closed.
func (messenger *Messenger) writeQueue(peer *peer, stream *quic.SendStream) {
	for {
		select {
		case <-messenger.context.Done():
			return
		case <-stream.Context().Done():
			return
		case encoded := <-peer.queue:
			stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := stream.Write(encoded); err != nil {
				return
			}
			messenger.stats.SentMessages.Add(1)
		}
	}
}

// discardQueue empties the queue to an unreachable instance: what it missed is part of
// the handover when it is reachable again.
func (peer *peer) discardQueue() {
	for {
		select {
		case <-peer.queue:
		default:
			return
		}
	}
}

// acceptConnections receives from every instance that connects, until the messenger is closed.
func (messenger *Messenger) acceptConnections(listener *quic.Listener) {
	for {
		connection, err := listener.Accept(messenger.context)
		if err != nil {
			return
		}
		messenger.goroutines.Go(func() { messenger.receiveMessages(connection) })
	}
}

// receiveMessages passes the messages on a connection to the receiver until the
// stream ends or a message cannot be decoded.
func (messenger *Messenger) receiveMessages(connection *quic.Conn) {
	defer connection.CloseWithError(0, "")
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		messenger.stats.RefusedSessions.Add(1)
		return
	}
	stream, err := connection.AcceptUniStream(messenger.context)
	if err != nil {
		return
	}
	decoder := decodeMode().NewDecoder(stream)
	for {
		var message decider.Message
		if err := decoder.Decode(&message); err != nil {
			return
		}
		messenger.receiver.Receive(certificates[0].Subject.CommonName, message)
	}
}

var decodeMode = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
})

// countingConn counts the bytes sent and received on a socket.
type countingConn struct {
	*net.UDPConn
	stats *Stats
}

// WriteTo counts and sends a datagram.
func (countingConn *countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	countingConn.stats.SentBytes.Add(uint64(len(data)))
	return countingConn.UDPConn.WriteTo(data, to)
}

// WriteMsgUDP counts and sends a datagram.
func (countingConn *countingConn) WriteMsgUDP(data, oob []byte, to *net.UDPAddr) (int, int, error) {
	countingConn.stats.SentBytes.Add(uint64(len(data)))
	return countingConn.UDPConn.WriteMsgUDP(data, oob, to)
}

// ReadFrom receives and counts a datagram.
func (countingConn *countingConn) ReadFrom(data []byte) (int, net.Addr, error) {
	length, from, err := countingConn.UDPConn.ReadFrom(data)
	countingConn.stats.ReceivedBytes.Add(uint64(length))
	return length, from, err
}

// ReadMsgUDP receives and counts a datagram.
func (countingConn *countingConn) ReadMsgUDP(data, oob []byte) (int, int, int, *net.UDPAddr, error) {
	length, oobLength, flags, from, err := countingConn.UDPConn.ReadMsgUDP(data, oob)
	countingConn.stats.ReceivedBytes.Add(uint64(length))
	return length, oobLength, flags, from, err
}
