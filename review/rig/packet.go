package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags of a packet.
const (
	flagFIN = 1
	flagACK = 4
	flagSYN = 8
	flagRST = 32
)

const headLength = 34 // bytes

// packet is one packet of a flow.
type packet struct {
	source, destination netip.AddrPort
	sequence, ack       uint32
	echo                uint32
	flags               byte
	sum                 uint32
	data                []byte
	from                netip.Addr // who sent the datagram
}

// encode returns the packet with the sum of a caller or a backend server.
func (packet *packet) encode() []byte {
	head := make([]byte, headLength, headLength+len(packet.data))
	binary.BigEndian.PutUint16(head[0:], packet.source.Port())
	destination, source := packet.destination.Addr().As4(), packet.source.Addr().As4()
	copy(head[2:], destination[:])
	copy(head[6:], source[:])
	binary.BigEndian.PutUint16(head[10:], packet.destination.Port())
	binary.BigEndian.PutUint32(head[16:], packet.sequence)
	binary.BigEndian.PutUint32(head[20:], packet.ack)
	binary.BigEndian.PutUint32(head[24:], packet.echo)
	binary.BigEndian.PutUint16(head[28:], uint16(len(packet.data)))
	head[30] = packet.flags
	content := append(head, packet.data...)
	binary.BigEndian.PutUint32(content[12:], keyedSum(content))
	return content
}

// decodePacket returns the packet in a datagram, and whether it is one.
func decodePacket(content []byte) (packet, bool) {
	if len(content) < headLength || len(content) != headLength+int(binary.BigEndian.Uint16(content[28:])) {
		return packet{}, false
	}
	return packet{
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[6:10])), binary.BigEndian.Uint16(content[0:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[2:6])), binary.BigEndian.Uint16(content[10:])),
		sum:         binary.BigEndian.Uint32(content[12:]),
		sequence:    binary.BigEndian.Uint32(content[16:]),
		ack:         binary.BigEndian.Uint32(content[20:]),
		echo:        binary.BigEndian.Uint32(content[24:]),
		flags:       content[30],
		data:        append([]byte(nil), content[headLength:]...),
	}, true
}

// isGenuine reports whether a datagram has the sum of a caller or a backend server.
func isGenuine(content []byte) bool {
	return binary.BigEndian.Uint32(content[12:]) == keyedSum(content)
}

// keyedSum returns a sum over all fields but the sum itself, echo and pad.
func keyedSum(content []byte) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte("key of callers and backend servers"))
	hash.Write(content[:12])
	hash.Write(content[16:24])
	hash.Write(content[28:31])
	hash.Write(content[headLength:])
	return max(hash.Sum32(), 1)
}
