package framer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// RefusalReason says why an opening was refused.
type RefusalReason uint8

// Reasons of a refusal, as carried in the Geneve refusal option.
const (
	NotRefused RefusalReason = iota
	ReasonNoBackendServer
	ReasonBackendServersFull
	ReasonBackendServerShed
	ReasonOutcomeUnknown
)

// String returns the snake_case name used in counters and reports.
func (reason RefusalReason) String() string {
	names := [...]string{"not_refused", "no_backend_server", "backend_servers_full", "backend_server_shed", "outcome_unknown"}
	if int(reason) < len(names) {
		return names[reason]
	}
	return "unknown"
}

// Refusal tells a caller that an opening was not served and when to come back.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

func appendRefusal(buffer []byte, refusal Refusal) []byte {
	buffer = append(buffer, uint8(refusal.Reason), 0, 0, 0)
	return binary.BigEndian.AppendUint32(buffer, uint32(refusal.RetryAfter.Milliseconds()))
}

func decodeRefusal(data []byte) Refusal {
	milliseconds := binary.BigEndian.Uint32(data[4:])
	return Refusal{Reason: RefusalReason(data[0]), RetryAfter: time.Duration(milliseconds) * time.Millisecond}
}

// BuildRefusal builds the inner packet that refuses an opening: a TCP reset
// (RFC 9293 section 3.10.7.1) or, for UDP, ICMP port unreachable (RFC 1122).
func BuildRefusal(packet *Packet) ([]byte, error) {
	network := &layers.IPv4{
		Version:  4,
		TTL:      64,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    net.IP(packet.Tuple.Destination[:]),
		DstIP:    net.IP(packet.Tuple.Source[:]),
	}
	if packet.Tuple.Protocol == ProtocolUDP {
		return unreachable(network, packet)
	}
	acknowledge := packet.Sequence + uint32(packet.PayloadLength)
	if packet.Flags&(FlagSYN|FlagFIN) != 0 {
		acknowledge++
	}
	segment := &layers.TCP{
		SrcPort: layers.TCPPort(packet.Tuple.DestinationPort),
		DstPort: layers.TCPPort(packet.Tuple.SourcePort),
		Ack:     acknowledge,
		RST:     true,
		ACK:     true,
	}
	if err := segment.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Wrap(err, "checksum of the reset")
	}
	return serialize(network, segment)
}

func unreachable(network *layers.IPv4, packet *Packet) ([]byte, error) {
	network.Protocol = layers.IPProtocolICMPv4
	message := &layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort),
	}
	// RFC 792: the internet header plus the first 64 bits of the datagram.
	quoted := packet.Inner[:min(len(packet.Inner), ipv4MinimumLength+udpHeaderLength)]
	return serialize(network, message, gopacket.Payload(quoted))
}

func serialize(parts ...gopacket.SerializableLayer) ([]byte, error) {
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, parts...); err != nil {
		return nil, errors.Wrap(err, "serialize packet")
	}
	return buffer.Bytes(), nil
}
