package soaker

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Flag bits of a packet.
const (
	flagFIN = 1
	flagACK = 4
	flagSYN = 8
	flagRST = 32
)

const (
	headerLength = 34 // bytes
	flagsOffset  = 30
)

// packet is a packet as callers and backend servers see it, without the identity that
// the load balancer puts in front.
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	token               uint32
	sequence            uint32
	acknowledgment      uint32
	data                []byte
	checksum            uint32
}

// computeChecksum returns a checksum, never zero, over everything that the load
// balancer must not change: all but the token and the checksum itself.
func (packet *packet) computeChecksum() uint32 {
	covered := *packet
	covered.token, covered.checksum = 0, 0
	return uint32(xxhash.Sum64(covered.encode())) | 1
}

// encode returns the encoded packet, with the checksum field as it is.
func (packet *packet) encode() []byte {
	content := make([]byte, headerLength, headerLength+len(packet.data))
	binary.BigEndian.PutUint16(content[0:], packet.source.Port())
	destination, source := packet.destination.Addr().As4(), packet.source.Addr().As4()
	copy(content[2:], destination[:])
	copy(content[6:], source[:])
	binary.BigEndian.PutUint16(content[10:], packet.destination.Port())
	binary.BigEndian.PutUint32(content[12:], packet.checksum)
	binary.BigEndian.PutUint32(content[16:], packet.sequence)
	binary.BigEndian.PutUint32(content[20:], packet.acknowledgment)
	binary.BigEndian.PutUint32(content[24:], packet.token)
	binary.BigEndian.PutUint16(content[28:], uint16(len(packet.data)))
	content[flagsOffset] = packet.flags
	return append(content, packet.data...)
}

// encodeWithChecksum sets the checksum and returns the encoded packet.
func (packet packet) encodeWithChecksum() []byte {
	packet.checksum = packet.computeChecksum()
	return packet.encode()
}

var errMalformed = errors.New("malformed packet")

// decodePacket decodes a packet; it does not verify the checksum.
func decodePacket(content []byte) (packet, error) {
	if len(content) < headerLength || len(content) != headerLength+int(binary.BigEndian.Uint16(content[28:])) {
		return packet{}, errMalformed
	}
	address := func(ipOffset, portOffset int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[ipOffset:ipOffset+4])), binary.BigEndian.Uint16(content[portOffset:]))
	}
	return packet{
		source: address(6, 0), destination: address(2, 10), flags: content[flagsOffset],
		checksum:       binary.BigEndian.Uint32(content[12:]),
		sequence:       binary.BigEndian.Uint32(content[16:]),
		acknowledgment: binary.BigEndian.Uint32(content[20:]),
		token:          binary.BigEndian.Uint32(content[24:]),
		data:           append([]byte(nil), content[headerLength:]...),
	}, nil
}
