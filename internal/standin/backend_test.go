package standin

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
)

// TestRepeatedClosingIsAnsweredAgain checks that a caller whose answer to its FIN was lost or
// late gets another one. The packet belongs to a flow that the server has held.
func TestRepeatedClosingIsAnsweredAgain(t *testing.T) {
	fabric, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer fabric.Close()
	backend, cleanup, err := NewBackend(BackendOptions{
		Name: "s-1", Address: netip.MustParseAddrPort("127.0.0.1:0"), FabricAddress: fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		ServiceAddress: netip.MustParseAddrPort("10.1.0.1:443"), Slots: 1, SlotSpeed: 1, MaxQueue: 1,
	})
	assert.NilError(t, err)
	defer cleanup()
	send := func(port uint16, flags uint8) {
		tuple := framer.Tuple{
			Source: [4]byte{198, 51, 100, 1}, SourcePort: port, Destination: [4]byte{10, 1, 0, 1}, DestinationPort: 443, Protocol: framer.ProtocolTCP,
		}
		backend.handlePacket(&framer.Packet{Tuple: tuple, Flags: flags, Sequence: 1})
	}
	answer := func() uint8 {
		buffer := make([]byte, datagramSize)
		length, _, err := fabric.ReadFromUDPAddrPort(buffer)
		assert.NilError(t, err)
		var packet framer.Packet
		assert.NilError(t, framer.Decode(buffer[:length], &packet))
		return packet.Flags
	}
	send(1, framer.FlagSYN)
	assert.Equal(t, answer(), uint8(framer.FlagSYN|framer.FlagACK))
	for range 2 {
		send(1, framer.FlagFIN|framer.FlagACK)
		assert.Equal(t, answer(), uint8(framer.FlagFIN|framer.FlagACK))
	}
	assert.Equal(t, backend.Stats().UnknownFlow, 0)
	assert.Equal(t, backend.Stats().OpenFlows, 0)
	send(1, framer.FlagSYN)
	assert.Equal(t, answer(), uint8(framer.FlagSYN|framer.FlagACK), "the port is used again")
	assert.Equal(t, backend.Stats().OpenFlows, 1)
	send(2, framer.FlagFIN|framer.FlagACK)
	assert.Equal(t, answer(), uint8(framer.FlagRST), "the flow was never here")
	assert.Equal(t, backend.Stats().UnknownFlow, 1)
}

// TestDrainingBackendResetsOpenings checks that a draining server resets new flows but
// still answers a retransmitted opening of an accepted one.
func TestDrainingBackendResetsOpenings(t *testing.T) {
	loopback := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))
	fabric, err := net.ListenUDP("udp4", loopback)
	assert.NilError(t, err)
	defer fabric.Close()
	placeholder, err := net.ListenUDP("udp4", loopback)
	assert.NilError(t, err)
	address := placeholder.LocalAddr().(*net.UDPAddr).AddrPort()
	placeholder.Close()
	backend, cleanup, err := NewBackend(BackendOptions{
		Name: "s-1", Address: address, FabricAddress: fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		ServiceAddress: netip.MustParseAddrPort("10.1.0.1:443"), Slots: 1, SlotSpeed: 1, MaxQueue: 1,
	})
	assert.NilError(t, err)
	defer cleanup()
	go backend.Run()
	open := func(port uint16) uint8 {
		tuple := framer.Tuple{
			Source: [4]byte{198, 51, 100, 1}, SourcePort: port, Destination: [4]byte{10, 1, 0, 1}, DestinationPort: 443, Protocol: framer.ProtocolTCP,
		}
		inner, err := framer.BuildInner(framer.Segment{Tuple: tuple, Flags: framer.FlagSYN})
		assert.NilError(t, err)
		_, err = fabric.WriteToUDPAddrPort(framer.Encode(nil, framer.Options{}, inner), address)
		assert.NilError(t, err)
		buffer := make([]byte, datagramSize)
		assert.NilError(t, fabric.SetReadDeadline(time.Now().Add(20*time.Second)))
		length, _, err := fabric.ReadFromUDPAddrPort(buffer)
		assert.NilError(t, err)
		var packet framer.Packet
		assert.NilError(t, framer.Decode(buffer[:length], &packet))
		return packet.Flags
	}
	assert.Equal(t, open(1), uint8(framer.FlagSYN|framer.FlagACK))
	backend.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("PUT", "/drain", nil))
	assert.Equal(t, open(2), uint8(framer.FlagRST|framer.FlagACK))
	assert.Equal(t, open(1), uint8(framer.FlagSYN|framer.FlagACK), "an accepted flow must stay open")
}
