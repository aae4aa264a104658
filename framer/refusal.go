package framer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// RefusalReason is the reason why an opening, the first packet of a flow, was refused.
type RefusalReason uint8

// Reasons of a refusal; the Geneve refusal option carries them as numbers.
const (
	NotRefused               RefusalReason = iota
	ReasonNoBackendServer                  // no backend server can be selected for the service
	ReasonBackendServersFull               // the selected backend server has its maximum of open flows
	ReasonBackendServerShed                // the backend server itself refused the opening
	ReasonOutcomeUnknown                   // another instance may have forwarded the opening, so it may have been executed
)

// String returns the snake_case name used in counters and reports, or "unknown".
func (reason RefusalReason) String() string {
	names := [...]string{"not_refused", "no_backend_server", "backend_servers_full", "backend_server_shed", "outcome_unknown"}
	if int(reason) < len(names) {
		return names[reason]
	}
	return "unknown"
}

// Refusal tells a caller why its opening was refused and when it may retry.
type Refusal struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

// appendRefusal appends the data of the refusal option, with RetryAfter in milliseconds.
func appendRefusal(buffer []byte, refusal Refusal) []byte {
	buffer = append(buffer, uint8(refusal.Reason), 0, 0, 0)
	return binary.BigEndian.AppendUint32(buffer, uint32(refusal.RetryAfter.Milliseconds()))
}

func decodeRefusal(data []byte) Refusal {
	milliseconds := binary.BigEndian.Uint32(data[4:])
	return Refusal{Reason: RefusalReason(data[0]), RetryAfter: time.Duration(milliseconds) * time.Millisecond}
}

// BuildRefusal returns the inner packet that refuses an opening: a TCP reset
// (RFC 9293 section 3.10.7.1) or, for UDP, an ICMP port unreachable message (RFC 1122).
func BuildRefusal(packet *Packet) ([]byte, error) {
	network := &layers.IPv4{
		Version:  4,
		TTL:      64,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    net.IP(packet.Tuple.Destination[:]),
		DstIP:    net.IP(packet.Tuple.Source[:]),
	}
	if packet.Tuple.Protocol == ProtocolUDP {
		return buildPortUnreachable(network, packet)
	}
	acknowledgment := packet.Sequence + uint32(packet.PayloadLength)
	if packet.Flags&(FlagSYN|FlagFIN) != 0 {
		acknowledgment++
	}
	segment := &layers.TCP{
		SrcPort: layers.TCPPort(packet.Tuple.DestinationPort),
		DstPort: layers.TCPPort(packet.Tuple.SourcePort),
		Ack:     acknowledgment,
		RST:     true,
		ACK:     true,
	}
	if err := segment.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Wrap(err, "set network layer for checksum of TCP reset")
	}
	return serialize(network, segment)
}

func buildPortUnreachable(network *layers.IPv4, packet *Packet) ([]byte, error) {
	network.Protocol = layers.IPProtocolICMPv4
	message := &layers.ICMPv4{
		TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort),
	}
	// RFC 792 requires the IPv4 header and the first 64 bits of the datagram.
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
