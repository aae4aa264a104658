package forwarder

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
)

// waitTimeout is how long a test waits for a packet or a counter.
const waitTimeout = 20 * time.Second

// fixedDecider returns the same verdict for every packet and trusts one address.
type fixedDecider struct {
	verdict decider.Verdict
	trusted netip.AddrPort
}

func (fixedDecider fixedDecider) Decide(*framer.Packet) decider.Verdict { return fixedDecider.verdict }

func (fixedDecider fixedDecider) IsTrusted(address netip.AddrPort) bool {
	return address == fixedDecider.trusted
}

func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { socket.Close() })
	return socket, socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// start runs a forwarder and returns it with its address.
func start(t *testing.T, fabric netip.AddrPort, packetDecider PacketDecider) (*Forwarder, netip.AddrPort) {
	t.Helper()
	probe, address := listen(t)
	probe.Close()
	forwarder, cleanup, err := NewForwarder(address, []netip.AddrPort{fabric}, packetDecider)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- forwarder.Run() }()
	t.Cleanup(func() {
		cleanup()
		assert.NilError(t, <-done)
	})
	return forwarder, address
}

var openingTuple = framer.Tuple{
	Source: [4]byte{198, 51, 100, 1}, SourcePort: 40000, Destination: [4]byte{10, 1, 0, 1}, DestinationPort: 443, Protocol: framer.ProtocolTCP,
}

func encodeOpening(t *testing.T, options framer.Options) []byte {
	t.Helper()
	inner, err := framer.BuildInner(framer.Segment{Tuple: openingTuple, Flags: framer.FlagSYN, Sequence: 7})
	assert.NilError(t, err)
	return framer.Encode(nil, options, inner)
}

func receive(t *testing.T, socket *net.UDPConn) framer.Packet {
	t.Helper()
	buffer := make([]byte, maxDatagramSize)
	assert.NilError(t, socket.SetReadDeadline(time.Now().Add(waitTimeout)))
	length, _, err := socket.ReadFromUDPAddrPort(buffer)
	assert.NilError(t, err)
	var packet framer.Packet
	assert.NilError(t, framer.Decode(buffer[:length], &packet))
	return packet
}

func TestVerdictDecidesDestination(t *testing.T) {
	refusal := framer.Refusal{Reason: framer.ReasonBackendServersFull, RetryAfter: 2 * time.Second}
	cases := []struct {
		name    string
		verdict decider.Verdict
		fabric  bool // whether the packet goes to the fabric; otherwise to the verdict's address
		check   func(*testing.T, framer.Packet)
	}{
		{"to a backend server", decider.Verdict{Kind: decider.ToBackendServer}, false, func(t *testing.T, packet framer.Packet) {
			assert.Assert(t, !packet.Relayed)
			assert.Equal(t, packet.Sequence, uint32(7))
		}},
		{"to an instance", decider.Verdict{Kind: decider.ToInstance, Rank: 2, Hint: 5}, false, func(t *testing.T, packet framer.Packet) {
			assert.Assert(t, packet.Relayed && packet.RelayRank == 2 && packet.ServerHint == 5)
		}},
		{"to the caller", decider.Verdict{Kind: decider.ToCaller}, true, func(t *testing.T, packet framer.Packet) {
			assert.Equal(t, packet.Tuple, openingTuple)
		}},
		{"refused", decider.Verdict{Kind: decider.Refuse, Refusal: refusal}, true, func(t *testing.T, packet framer.Packet) {
			assert.Equal(t, packet.Refusal, refusal)
			assert.Equal(t, packet.Tuple, openingTuple.Reverse())
			assert.Equal(t, packet.Flags, uint8(framer.FlagRST|framer.FlagACK))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fabricSocket, fabric := listen(t)
			destination, destinationAddress := listen(t)
			c.verdict.Address = destinationAddress
			_, forwarderAddress := start(t, fabric, fixedDecider{verdict: c.verdict})
			_, err := fabricSocket.WriteToUDPAddrPort(encodeOpening(t, framer.Options{}), forwarderAddress)
			assert.NilError(t, err)
			if c.fabric {
				destination = fabricSocket
			}
			c.check(t, receive(t, destination))
		})
	}
}

func TestNoticeIsSentAsCopy(t *testing.T) {
	fabricSocket, fabric := listen(t)
	server, serverAddress := listen(t)
	home, homeAddress := listen(t)
	verdict := decider.Verdict{Kind: decider.ToBackendServer, Address: serverAddress, NoticeTo: homeAddress, Hint: 9}
	_, forwarderAddress := start(t, fabric, fixedDecider{verdict: verdict})
	_, err := fabricSocket.WriteToUDPAddrPort(encodeOpening(t, framer.Options{}), forwarderAddress)
	assert.NilError(t, err)
	assert.Assert(t, !receive(t, server).Notice)
	copied := receive(t, home)
	assert.Assert(t, copied.Notice && copied.ServerHint == 9)
}

func TestUntrustedAndMalformedDatagramsAreCounted(t *testing.T) {
	fabricSocket, fabric := listen(t)
	stranger, _ := listen(t)
	forwarder, forwarderAddress := start(t, fabric, fixedDecider{verdict: decider.Verdict{Kind: decider.Drop}})
	send := func(socket *net.UDPConn, content []byte) {
		_, err := socket.WriteToUDPAddrPort(content, forwarderAddress)
		assert.NilError(t, err)
	}
	send(stranger, encodeOpening(t, framer.Options{}))
	send(stranger, encodeOpening(t, framer.Options{Relayed: true}))
	send(fabricSocket, encodeOpening(t, framer.Options{Relayed: true}))
	send(fabricSocket, []byte{0xff})
	send(fabricSocket, encodeOpening(t, framer.Options{}))
	deadline := time.Now().Add(waitTimeout)
	for forwarder.Stats().Received.Load() < 5 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for forwarder.Stats().DecodeDrops["truncated_tunnel"].Load() < 1 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, forwarder.Stats().Untrusted.Load(), uint64(3))
	assert.Equal(t, forwarder.Stats().DecodeDrops["truncated_tunnel"].Load(), uint64(1))
}
