package director

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/steerer"
)

const (
	datagramSize = 2048    // bytes; the largest datagram has 1,234
	socketBuffer = 1 << 20 // bytes
	// idleWait is the shortest wait for a packet that shows that none was there.
	idleWait = 200 * time.Microsecond
)

// Socket takes callers' packets and sends them on.
type Socket struct {
	connection *net.UDPConn
	steerer    *steerer.Steerer
	recorder   *Recorder
	callerPort uint16 // at which callers take packets
	outgoing   []byte
	lastPacket atomic.Int64 // Unix nanoseconds
}

// NewSocket binds address; the returned function closes the socket and ends Run.
func NewSocket(address netip.AddrPort, steerer *steerer.Steerer, recorder *Recorder) (*Socket, func(), error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for packets on %s", address)
	}
	if err := connection.SetReadBuffer(socketBuffer); err != nil {
		connection.Close()
		return nil, nil, errors.Wrap(err, "size of the socket's buffer")
	}
	socket := &Socket{
		connection: connection,
		steerer:    steerer,
		recorder:   recorder,
		callerPort: address.Port(),
		outgoing:   make([]byte, 0, datagramSize),
	}
	return socket, func() { connection.Close() }, nil
}

// LastPacket returns when the last packet came.
func (socket *Socket) LastPacket() time.Time { return time.Unix(0, socket.lastPacket.Load()) }

// Run forwards packets until the socket is closed.
func (socket *Socket) Run() error {
	datagram := make([]byte, datagramSize)
	var packet steerer.Packet
	var drained time.Time // when no packet waited
	for {
		askedAt := time.Now()
		count, _, err := socket.connection.ReadFromUDPAddrPort(datagram)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			socket.recorder.SocketFailed("packets", err)
			continue
		}
		now := time.Now()
		if now.Sub(askedAt) > idleWait {
			drained = now
		}
		socket.lastPacket.Store(now.UnixNano())
		if err := platform.DecodePacket(datagram[:count], &packet); err != nil {
			socket.recorder.Malformed(err)
			continue
		}
		socket.carryOut(socket.steerer.Decide(&packet, now))
		socket.retry(now, drained)
	}
}

// retry sends the openings that were not answered to other servers.
func (socket *Socket) retry(now, drained time.Time) {
	for {
		verdict, ok := socket.steerer.NextRetry(now, drained)
		if !ok {
			return
		}
		socket.carryOut(verdict)
	}
}

func (socket *Socket) carryOut(verdict steerer.Verdict) {
	socket.recorder.Count(verdict.Reason)
	var to netip.AddrPort
	switch verdict.Action {
	case steerer.Send:
		to = verdict.Server.Address
		socket.outgoing = platform.AppendForward(socket.outgoing[:0], verdict.Server.Identity, verdict.Server.Token, verdict.Raw)
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
