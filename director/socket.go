package director

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/steerer"
)

const (
	datagramBufferSize = 2048    // bytes; the largest packet has 1,234, and 1,242 when it is forwarded
	receiveBufferSize  = 1 << 20 // bytes
	// minWait is the shortest deadline of a read.
	minWait = time.Millisecond
)

// Socket receives callers' packets and carries out the steerer's verdicts: it forwards
// packets to backend servers or sends resets to callers.
type Socket struct {
	connection *net.UDPConn
	reader     *datagramReader
	steerer    *steerer.Steerer
	recorder   *Recorder
	callerPort uint16       // UDP port where every caller receives packets
	outgoing   []byte       // buffer for the datagram to be sent, reused
	wakeAt     time.Time    // deadline of the next read; zero if it has none
	woken      atomic.Bool  // Wake was called
	lastPacket atomic.Int64 // receive time in Unix nanoseconds
}

// NewSocket listens for packets on address; the returned function closes the
// socket, which ends Run.
func NewSocket(address netip.AddrPort, steerer *steerer.Steerer, recorder *Recorder) (*Socket, func(), error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for packets on %s", address)
	}
	if err := connection.SetReadBuffer(receiveBufferSize); err != nil {
		connection.Close()
		return nil, nil, errors.Wrap(err, "set the receive buffer of the packet socket")
	}
	reader, err := newDatagramReader(connection)
	if err != nil {
		connection.Close()
		return nil, nil, err
	}
	socket := &Socket{
		connection: connection,
		reader:     reader,
		steerer:    steerer,
		recorder:   recorder,
		callerPort: address.Port(),
		outgoing:   make([]byte, 0, datagramBufferSize),
	}
	return socket, func() { connection.Close() }, nil
}

// LastPacket returns when the last packet was received.
func (socket *Socket) LastPacket() time.Time { return time.Unix(0, socket.lastPacket.Load()) }

// Drained returns the time before which every packet that arrived has been decided on.
func (socket *Socket) Drained() time.Time { return socket.reader.drainedAt() }

// Wake makes Run ask the steerer for due verdicts now. It may be called concurrently.
func (socket *Socket) Wake() {
	socket.woken.Store(true)
	socket.setDeadline(deadlinePassed)
}

// Run forwards packets until the socket is closed.
func (socket *Socket) Run() error {
	datagram := make([]byte, datagramBufferSize)
	var packet steerer.Packet
	for {
		socket.setReadDeadline()
		count, err := socket.reader.read(datagram)
		isPacket := err == nil
		if errors.Is(err, os.ErrDeadlineExceeded) {
			socket.wakeAt = deadlinePassed // Wake may have set it after setReadDeadline
			count, isPacket, err = socket.reader.poll(datagram)
		}
		now := time.Now()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			socket.recorder.SocketFailed("packets", err)
			continue
		case isPacket:
			socket.handle(datagram[:count], &packet, now)
		}
		socket.executeDue(now)
	}
}

// handle decodes a datagram into packet, which is reused, and carries out the verdict on it.
func (socket *Socket) handle(datagram []byte, packet *steerer.Packet, now time.Time) {
	socket.lastPacket.Store(now.UnixNano())
	if err := platform.DecodePacket(datagram, packet); err != nil {
		socket.recorder.PacketMalformed(err)
		return
	}
	socket.execute(socket.steerer.Decide(packet, now))
}

// deadlinePassed is a read deadline that has passed.
var deadlinePassed = time.Unix(0, 1)

// setReadDeadline ends the next read when the steerer has to be asked for due verdicts, or at
// once if Wake has been called. A deadline that has passed would end the read although packets
// wait in the receive buffer, so the read lasts minWait at least.
func (socket *Socket) setReadDeadline() {
	wakeAt := socket.steerer.WakeTime()
	if earliest := time.Now().Add(minWait); !wakeAt.IsZero() && wakeAt.Before(earliest) {
		wakeAt = earliest
	}
	if !wakeAt.Equal(socket.wakeAt) {
		socket.wakeAt = wakeAt
		socket.setDeadline(wakeAt)
	}
	if socket.woken.Load() {
		socket.setDeadline(deadlinePassed)
	}
}

func (socket *Socket) setDeadline(deadline time.Time) {
	if err := socket.connection.SetReadDeadline(deadline); err != nil {
		socket.recorder.SocketFailed("packets", err)
	}
}

// executeDue carries out the verdicts that are due without a packet. A packet that still waits in the
// receive buffer may be an answer, so the steerer measures the time without an answer up to when the
// buffer was last empty.
func (socket *Socket) executeDue(now time.Time) {
	emptyAt := socket.reader.lastEmptyAt()
	if socket.woken.Swap(false) {
		socket.wakeAt = deadlinePassed
	}
	for {
		verdict, ok := socket.steerer.Next(now, emptyAt)
		if !ok {
			return
		}
		socket.execute(verdict)
	}
}

// execute counts a verdict and sends the packet or the reset that it asks for, if any.
func (socket *Socket) execute(verdict steerer.Verdict) {
	socket.recorder.Count(verdict.Reason)
	var to netip.AddrPort
	switch verdict.Action {
	case steerer.Send:
		to = verdict.Server.Address
		socket.outgoing = platform.AppendForwarded(socket.outgoing[:0], verdict.Server.Identity, verdict.Token, verdict.Raw)
	case steerer.Reset:
		to = netip.AddrPortFrom(verdict.Flow.CallerAddress.Addr(), socket.callerPort)
		socket.outgoing = platform.AppendReset(socket.outgoing[:0], verdict.Flow, verdict.ResetSequence)
	default:
		return
	}
	if _, err := socket.connection.WriteToUDPAddrPort(socket.outgoing, to); err != nil {
		socket.recorder.SocketFailed("packets", err)
	}
}
