package framer

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"
)

var sampleTuple = Tuple{
	Source: [4]byte{198, 51, 100, 1}, Destination: [4]byte{10, 1, 0, 1},
	SourcePort: 40000, DestinationPort: 443, Protocol: ProtocolTCP,
}

func buildInner(t testing.TB, segment Segment) []byte {
	t.Helper()
	inner, err := BuildInner(segment)
	assert.NilError(t, err)
	return inner
}

func sampleDatagram(t testing.TB) []byte {
	inner := buildInner(t, Segment{Tuple: sampleTuple, Flags: FlagACK, Sequence: 7, Acknowledgment: 9, Payload: []byte("log")})
	return Encode(nil, Options{Relayed: true, RelayRank: 3, ServerHint: 77}, inner)
}

func TestDecodeReversesEncode(t *testing.T) {
	cases := []Options{
		{},
		{TunnelSource: netip.MustParseAddrPort("127.0.0.1:6081")},
		{Relayed: true, RelayRank: 4, ServerHint: 99},
		{Relayed: true, Notice: true},
		{Refusal: Refusal{Reason: ReasonBackendServersFull, RetryAfter: 1500 * time.Millisecond}},
	}
	for _, options := range cases {
		for _, protocol := range []uint8{ProtocolTCP, ProtocolUDP} {
			tuple := sampleTuple
			tuple.Protocol = protocol
			inner := buildInner(t, Segment{Tuple: tuple, Flags: FlagSYN, Sequence: 5, Payload: []byte("abc")})
			var packet Packet
			assert.NilError(t, Decode(Encode(nil, options, inner), &packet))
			assert.Equal(t, packet.Tuple, tuple)
			assert.Equal(t, string(packet.Payload()), "abc")
			got := Options{packet.TunnelSource, packet.Relayed, packet.RelayRank, packet.Notice, packet.ServerHint, packet.Refusal}
			assert.Equal(t, got, options)
		}
	}
}

func TestDecodeRejectsMalformedDatagrams(t *testing.T) {
	valid := sampleDatagram(t)
	innerStart := len(valid) - 20 - 20 - 3
	withByte := func(at int, value byte) []byte {
		changed := append([]byte(nil), valid...)
		changed[at] = value
		return changed
	}
	cases := []struct {
		name     string
		datagram []byte
		reason   string
	}{
		{"empty datagram", nil, "truncated_tunnel"},
		{"truncated Geneve header", valid[:5], "truncated_tunnel"},
		{"truncated Geneve options", valid[:10], "truncated_tunnel"},
		{"unknown Geneve version", withByte(0, 0x40|valid[0]), "tunnel_version"},
		{"inner Ethernet", withByte(2, 0x65), "tunnel_protocol"},
		{"option longer than the options length", withByte(11, 0x1f), "tunnel_option"},
		{"relay option too short", withByte(11, 0x01), "tunnel_option"},
		{"truncated inner header", valid[:innerStart+10], "truncated_inner"},
		{"inner IPv6", withByte(innerStart, 0x65), "inner_version"},
		{"inner header length too small", withByte(innerStart, 0x41), "truncated_inner"},
		{"inner packet longer than the datagram", withByte(innerStart+2, 0xff), "truncated_inner"},
		{"fragment", withByte(innerStart+6, 0x20), "fragment"},
		{"inner ICMP", withByte(innerStart+9, ProtocolICMP), "inner_protocol"},
		{"TCP data offset too large", withByte(innerStart+20+12, 0xf0), "truncated_inner"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var packet Packet
			var dropError *DropError
			assert.Assert(t, errors.As(Decode(c.datagram, &packet), &dropError))
			assert.Equal(t, dropError.Reason, c.reason)
		})
	}
}

func TestEncodeIsReadableByGopacket(t *testing.T) {
	decoded := gopacket.NewPacket(sampleDatagram(t), layers.LayerTypeGeneve, gopacket.Default)
	assert.Assert(t, decoded.ErrorLayer() == nil)
	tunnel := decoded.Layer(layers.LayerTypeGeneve).(*layers.Geneve)
	assert.Equal(t, tunnel.Options[0].Class, uint16(OptionClass))
	segment := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
	assert.Equal(t, uint16(segment.DstPort), uint16(443))
}

func TestRefusalIsAddressedToTheCaller(t *testing.T) {
	opening := Packet{Tuple: sampleTuple, Flags: FlagSYN, Sequence: 41}
	inner, err := BuildRefusal(&opening)
	assert.NilError(t, err)
	var reset Packet
	assert.NilError(t, Decode(Encode(nil, Options{}, inner), &reset))
	assert.Equal(t, reset.Tuple, sampleTuple.Reverse())
	assert.Equal(t, reset.Flags, uint8(FlagRST|FlagACK))
	assert.Equal(t, reset.Acknowledgment, uint32(42))

	tuple := sampleTuple
	tuple.Protocol = ProtocolUDP
	datagram := Packet{Tuple: tuple, Inner: buildInner(t, Segment{Tuple: tuple, Payload: []byte("x")})}
	inner, err = BuildRefusal(&datagram)
	assert.NilError(t, err)
	decoded := gopacket.NewPacket(inner, layers.LayerTypeIPv4, gopacket.Default)
	assert.Equal(t, decoded.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4).TypeCode.String(), "DestinationUnreachable(Port)")
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleDatagram(f))
	f.Add([]byte{0, 0, 8, 0})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var packet Packet
		if Decode(datagram, &packet) == nil {
			assert.Assert(t, packet.PayloadLength <= len(packet.Inner))
		}
	})
}
