package main

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Flag bits and sizes of the platform's packets.
const (
	flagFIN = 1
	flagACK = 4
	flagSYN = 8
	flagRST = 32

	headerLength   = 34
	identityLength = 8
	maxPayload     = 1200
)

// packet is a decoded packet of a caller or a backend server.
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	echo                uint32
	sequence            uint32
	acknowledgment      uint32
	sum                 uint32
	data                []byte
}

// encode returns the packet's bytes with the sum field as it is.
func (packet *packet) encode() []byte {
	content := make([]byte, headerLength, headerLength+len(packet.data))
	source, destination := packet.source.Addr().As4(), packet.destination.Addr().As4()
	binary.BigEndian.PutUint16(content[0:], packet.source.Port())
	copy(content[2:], destination[:])
	copy(content[6:], source[:])
	binary.BigEndian.PutUint16(content[10:], packet.destination.Port())
	binary.BigEndian.PutUint32(content[12:], packet.sum)
	binary.BigEndian.PutUint32(content[16:], packet.sequence)
	binary.BigEndian.PutUint32(content[20:], packet.acknowledgment)
	binary.BigEndian.PutUint32(content[24:], packet.echo)
	binary.BigEndian.PutUint16(content[28:], uint16(len(packet.data)))
	content[30] = packet.flags
	return append(content, packet.data...)
}

// computeSum returns the sum over all fields but echo and the sum itself; it is never 0.
func (packet *packet) computeSum() uint32 {
	covered := *packet
	covered.echo, covered.sum = 0, 0
	return uint32(xxhash.Sum64(covered.encode())) | 1
}

// seal sets the sum and returns the packet's bytes.
func (packet packet) seal() []byte {
	packet.sum = packet.computeSum()
	return packet.encode()
}

// decode decodes a packet, or returns false.
func decode(content []byte) (packet, bool) {
	if len(content) < headerLength || len(content) != headerLength+int(binary.BigEndian.Uint16(content[28:])) {
		return packet{}, false
	}
	return packet{
		source:         netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[6:10])), binary.BigEndian.Uint16(content[0:])),
		destination:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[2:6])), binary.BigEndian.Uint16(content[10:])),
		sum:            binary.BigEndian.Uint32(content[12:]),
		sequence:       binary.BigEndian.Uint32(content[16:]),
		acknowledgment: binary.BigEndian.Uint32(content[20:]),
		echo:           binary.BigEndian.Uint32(content[24:]),
		flags:          content[30],
		data:           append([]byte(nil), content[headerLength:]...),
	}, true
}
