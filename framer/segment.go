package framer

import (
	"net"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Segment describes an inner TCP or UDP packet for BuildInner; Flags, Sequence and
// Acknowledgment are used for TCP only.
type Segment struct {
	Tuple          Tuple
	Flags          uint8 // TCP control bits
	Sequence       uint32
	Acknowledgment uint32
	Payload        []byte
}

// BuildInner returns an inner IPv4 packet with its checksums, for programs that act
// as callers or backend servers.
func BuildInner(segment Segment) ([]byte, error) {
	tuple := segment.Tuple
	network := &layers.IPv4{
		Version:  4,
		TTL:      64,
		Protocol: layers.IPProtocol(tuple.Protocol),
		SrcIP:    net.IP(tuple.Source[:]),
		DstIP:    net.IP(tuple.Destination[:]),
	}
	if tuple.Protocol == ProtocolUDP {
		datagram := &layers.UDP{SrcPort: layers.UDPPort(tuple.SourcePort), DstPort: layers.UDPPort(tuple.DestinationPort)}
		if err := datagram.SetNetworkLayerForChecksum(network); err != nil {
			return nil, errors.Wrap(err, "set network layer for checksum of UDP datagram")
		}
		return serialize(network, datagram, gopacket.Payload(segment.Payload))
	}
	header := &layers.TCP{
		SrcPort: layers.TCPPort(tuple.SourcePort),
		DstPort: layers.TCPPort(tuple.DestinationPort),
		Seq:     segment.Sequence,
		Ack:     segment.Acknowledgment,
		FIN:     segment.Flags&FlagFIN != 0,
		SYN:     segment.Flags&FlagSYN != 0,
		RST:     segment.Flags&FlagRST != 0,
		ACK:     segment.Flags&FlagACK != 0,
		Window:  65535,
	}
	if err := header.SetNetworkLayerForChecksum(network); err != nil {
		return nil, errors.Wrap(err, "set network layer for checksum of TCP segment")
	}
	return serialize(network, header, gopacket.Payload(segment.Payload))
}

// Payload returns the bytes after the transport header of a decoded packet.
func (packet *Packet) Payload() []byte {
	return packet.Inner[len(packet.Inner)-packet.PayloadLength:]
}
