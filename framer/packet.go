package framer

import (
	"encoding/binary"
	"net/netip"
)

// Protocol numbers of the inner IPv4 header, as assigned by IANA.
const (
	ProtocolICMP = 1
	ProtocolTCP  = 6
	ProtocolUDP  = 17
)

// TCP control bits, RFC 9293 section 3.1.
const (
	FlagFIN = 0x01
	FlagSYN = 0x02
	FlagRST = 0x04
	FlagACK = 0x10
)

const (
	geneveHeaderLength = 8      // bytes
	geneveProtocolIPv4 = 0x0800 // EtherType carried in the Geneve header
	ipv4MinimumLength  = 20     // bytes
	tcpMinimumLength   = 20     // bytes
	udpHeaderLength    = 8      // bytes
)

const (
	// OptionClass is the Geneve option class of this project's options; RFC 8926
	// section 7 reserves the classes from 0xff00 for experimental use.
	OptionClass = 0xff50

	// Geneve option types of OptionClass.
	optionTunnelSource = 1
	optionRelay        = 2
	optionRefusal      = 3
)

const optionHeaderLength = 4 // bytes

// Tuple identifies one direction of a flow by its IPv4 addresses, ports and protocol number.
type Tuple struct {
	Source          [4]byte
	Destination     [4]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        uint8
}

// Reverse returns the tuple of the opposite direction.
func (tuple Tuple) Reverse() Tuple {
	return Tuple{
		Source:          tuple.Destination,
		Destination:     tuple.Source,
		SourcePort:      tuple.DestinationPort,
		DestinationPort: tuple.SourcePort,
		Protocol:        tuple.Protocol,
	}
}

// Packet is a decoded datagram: the fields of the inner packet and the values of the Geneve options.
type Packet struct {
	Tuple          Tuple
	Flags          uint8  // TCP control bits
	Sequence       uint32 // TCP sequence number
	Acknowledgment uint32 // TCP acknowledgment number
	PayloadLength  int    // bytes after the transport header
	Inner          []byte // inner IPv4 packet; aliases the decoded buffer

	TunnelSource netip.AddrPort // tunnel endpoint that sent the packet to the fabric
	Relayed      bool           // sent by another instance, not by the fabric
	RelayRank    uint8          // position of the receiving instance in the order in which a flow's instances are tried
	Notice       bool           // copy to update the flow state of the receiving instance; must not be forwarded
	ServerHint   uint32         // ID of the flow's backend server, if the sending instance knows it; otherwise 0
	Refusal      Refusal        // NotRefused unless the packet refuses an opening
}

// Decode parses a Geneve datagram into packet without allocating, or returns a *DropError.
func Decode(datagram []byte, packet *Packet) error {
	*packet = Packet{}
	if len(datagram) < geneveHeaderLength {
		return errTruncatedTunnel
	}
	if datagram[0]>>6 != 0 {
		return errTunnelVersion
	}
	if binary.BigEndian.Uint16(datagram[2:]) != geneveProtocolIPv4 {
		return errTunnelProtocol
	}
	end := geneveHeaderLength + int(datagram[0]&0x3f)*4
	if len(datagram) < end {
		return errTruncatedTunnel
	}
	if err := decodeOptions(datagram[geneveHeaderLength:end], packet); err != nil {
		return err
	}
	return decodeInner(datagram[end:], packet)
}

func decodeOptions(options []byte, packet *Packet) error {
	for len(options) > 0 {
		if len(options) < optionHeaderLength {
			return errTunnelOption
		}
		end := optionHeaderLength + int(options[3]&0x1f)*4
		if len(options) < end {
			return errTunnelOption
		}
		if binary.BigEndian.Uint16(options) == OptionClass {
			if err := decodeOption(options[2], options[optionHeaderLength:end], packet); err != nil {
				return err
			}
		}
		options = options[end:]
	}
	return nil
}

func decodeOption(optionType uint8, data []byte, packet *Packet) error {
	switch optionType {
	case optionTunnelSource:
		if len(data) != 8 {
			return errTunnelOption
		}
		address := netip.AddrFrom4([4]byte(data[:4]))
		packet.TunnelSource = netip.AddrPortFrom(address, binary.BigEndian.Uint16(data[4:]))
	case optionRelay:
		if len(data) != 8 {
			return errTunnelOption
		}
		packet.Relayed = true
		packet.RelayRank = data[0]
		packet.Notice = data[1] != 0
		packet.ServerHint = binary.BigEndian.Uint32(data[4:])
	case optionRefusal:
		if len(data) != 8 {
			return errTunnelOption
		}
		packet.Refusal = decodeRefusal(data)
	}
	return nil
}

func decodeInner(inner []byte, packet *Packet) error {
	if len(inner) < ipv4MinimumLength {
		return errTruncatedInner
	}
	if inner[0]>>4 != 4 {
		return errInnerVersion
	}
	headerLength := int(inner[0]&0x0f) * 4
	totalLength := int(binary.BigEndian.Uint16(inner[2:]))
	if headerLength < ipv4MinimumLength || totalLength < headerLength || totalLength > len(inner) {
		return errTruncatedInner
	}
	// Either the more-fragments flag or a fragment offset is set. Fragments are
	// dropped because only the first one contains the ports.
	if binary.BigEndian.Uint16(inner[6:])&0x3fff != 0 {
		return errFragment
	}
	packet.Inner = inner[:totalLength]
	packet.Tuple.Protocol = inner[9]
	packet.Tuple.Source = [4]byte(inner[12:16])
	packet.Tuple.Destination = [4]byte(inner[16:20])
	return decodeTransport(inner[headerLength:totalLength], packet)
}

func decodeTransport(segment []byte, packet *Packet) error {
	switch packet.Tuple.Protocol {
	case ProtocolTCP:
		return decodeTCP(segment, packet)
	case ProtocolUDP:
		if len(segment) < udpHeaderLength {
			return errTruncatedInner
		}
		decodePorts(segment, packet)
		packet.PayloadLength = len(segment) - udpHeaderLength
		return nil
	default:
		return errInnerProtocol
	}
}

func decodeTCP(segment []byte, packet *Packet) error {
	if len(segment) < tcpMinimumLength {
		return errTruncatedInner
	}
	headerLength := int(segment[12]>>4) * 4
	if headerLength < tcpMinimumLength || headerLength > len(segment) {
		return errTruncatedInner
	}
	decodePorts(segment, packet)
	packet.Sequence = binary.BigEndian.Uint32(segment[4:])
	packet.Acknowledgment = binary.BigEndian.Uint32(segment[8:])
	packet.Flags = segment[13]
	packet.PayloadLength = len(segment) - headerLength
	return nil
}

func decodePorts(segment []byte, packet *Packet) {
	packet.Tuple.SourcePort = binary.BigEndian.Uint16(segment)
	packet.Tuple.DestinationPort = binary.BigEndian.Uint16(segment[2:])
}
