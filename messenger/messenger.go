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

// alpnProtocol is the ALPN name; a change of the messages that old instances cannot read changes it.
const alpnProtocol = "pimentowind/1"

const (
	queueLength   = 1024 // messages waiting for one instance
	idleTimeout   = 5 * time.Second
	dialTimeout   = time.Second
	redialDelay   = 300 * time.Millisecond
	writeTimeout  = 2 * time.Second
	maxArrayElements = 1 << 17
)

// Receiver takes the messages that arrive, with the name in the sender's certificate.
type Receiver interface {
	Receive(from string, message decider.Message)
}

// Stats counts what went over the wire, retransmissions and acknowledgements included.
type Stats struct {
	SentBytes       atomic.Uint64
	ReceivedBytes   atomic.Uint64
	SentMessages    atomic.Uint64
	Dials           atomic.Uint64
	DialFailures    atomic.Uint64
	QueueOverflows  atomic.Uint64
	RefusedSessions atomic.Uint64
}

// Messenger sends to and receives from other instances.
type Messenger struct {
	stats     Stats
	tlsConfig       *tls.Config
	quicConfig      *quic.Config
	transport *quic.Transport
	receiver  Receiver
	context   context.Context

	mutex sync.Mutex
	peers map[string]*peer
	goroutines sync.WaitGroup
}

// peer is the way to one instance.
type peer struct {
	name  string
	queue chan []byte

	mutex   sync.Mutex
	address netip.AddrPort
}

// NewMessenger listens on address and returns a function that stops everything it started.
func NewMessenger(address netip.AddrPort, tlsConfig *tls.Config, receiver Receiver) (*Messenger, func(), error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for instances on %s", address)
	}
	tlsConfig = tlsConfig.Clone()
	tlsConfig.NextProtos = []string{alpnProtocol}
	ctx, cancel := context.WithCancel(context.Background())
	messenger := &Messenger{
		tlsConfig:      tlsConfig,
		quicConfig:     &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout},
		receiver: receiver,
		context:  ctx,
		peers:    map[string]*peer{},
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

// Send queues a message; it never waits, and drops the message when the queue is full.
func (messenger *Messenger) Send(to decider.Instance, message decider.Message) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	link := messenger.peerFor(to)
	select {
	case link.queue <- encoded:
		return nil
	default:
		messenger.stats.QueueOverflows.Add(1)
		return errors.Errorf("queue to instance %q is full", to.Name)
	}
}

func (messenger *Messenger) peerFor(to decider.Instance) *peer {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	known, ok := messenger.peers[to.Name]
	if !ok {
		known = &peer{name: to.Name, queue: make(chan []byte, queueLength), address: to.Peer}
		messenger.peers[to.Name] = known
		messenger.goroutines.Go(func() { messenger.runSender(known) })
	}
	known.mutex.Lock()
	defer known.mutex.Unlock()
	if to.Peer.IsValid() {
		known.address = to.Peer
	}
	return known
}

// runSender sends what is queued for one instance, over a new session whenever the old one fails.
func (messenger *Messenger) runSender(link *peer) {
	for messenger.context.Err() == nil {
		stream, session, err := messenger.dial(link)
		if err != nil {
			messenger.stats.DialFailures.Add(1)
			link.discardQueue()
			ticker.Sleep(messenger.context, redialDelay)
			continue
		}
		messenger.writeQueue(link, stream)
		session.CloseWithError(0, "")
	}
}

func (messenger *Messenger) dial(link *peer) (*quic.SendStream, *quic.Conn, error) {
	link.mutex.Lock()
	address := link.address
	link.mutex.Unlock()
	ctx, cancel := context.WithTimeout(messenger.context, dialTimeout)
	defer cancel()
	messenger.stats.Dials.Add(1)
	tlsConfig := messenger.tlsConfig.Clone()
	tlsConfig.ServerName = link.name
	session, err := messenger.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), tlsConfig, messenger.quicConfig)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial instance %q at %s", link.name, address)
	}
	stream, err := session.OpenUniStreamSync(ctx)
	if err != nil {
		session.CloseWithError(0, "")
		return nil, nil, errors.Wrapf(err, "open stream to instance %q", link.name)
	}
	return stream, session, nil
}

// writeQueue writes the queue to the stream until an error.
func (messenger *Messenger) writeQueue(link *peer, stream *quic.SendStream) {
	for {
		select {
		case <-messenger.context.Done():
			return
		case <-stream.Context().Done():
			return
		case encoded := <-link.queue:
			stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := stream.Write(encoded); err != nil {
				return
			}
			messenger.stats.SentMessages.Add(1)
		}
	}
}

// discardQueue empties the queue to an instance that cannot be reached: what it
// missed comes with the hand-over when it is heard again.
func (peer *peer) discardQueue() {
	for {
		select {
		case <-peer.queue:
		default:
			return
		}
	}
}

func (messenger *Messenger) acceptConnections(listener *quic.Listener) {
	for {
		session, err := listener.Accept(messenger.context)
		if err != nil {
			return
		}
		messenger.goroutines.Go(func() { messenger.receiveMessages(session) })
	}
}

func (messenger *Messenger) receiveMessages(session *quic.Conn) {
	defer session.CloseWithError(0, "")
	certificates := session.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		messenger.stats.RefusedSessions.Add(1)
		return
	}
	stream, err := session.AcceptUniStream(messenger.context)
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

// countingConn counts the bytes of a socket.
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
