package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits and sizes of PROTOCOL.md, "Packets".
const (
	flagFIN = 1
	flagACK = 4
	flagSYN = 8
	flagRST = 32

	headerLength   = 34
	identityLength = 8
	resetWindow    = 76_800 // bytes around the client's last ack in which a reset's seq lies
)

// packet is one packet as clients and hosts write it.
type packet struct {
	source, destination netip.AddrPort
	sum                 uint32
	seq, ack, echo      uint32
	flags               byte
	data                []byte
}

// encode returns the bytes of the packet; sum is computed unless keepSum is true.
func (packet *packet) encode(keepSum bool) []byte {
	content := make([]byte, headerLength, headerLength+len(packet.data))
	source, destination := packet.source.Addr().As4(), packet.destination.Addr().As4()
	binary.BigEndian.PutUint16(content[0:], packet.source.Port())
	copy(content[2:], destination[:])
	copy(content[6:], source[:])
	binary.BigEndian.PutUint16(content[10:], packet.destination.Port())
	binary.BigEndian.PutUint32(content[16:], packet.seq)
	binary.BigEndian.PutUint32(content[20:], packet.ack)
	binary.BigEndian.PutUint32(content[24:], packet.echo)
	binary.BigEndian.PutUint16(content[28:], uint16(len(packet.data)))
	content[30] = packet.flags
	content = append(content, packet.data...)
	sum := packet.sum
	if !keepSum {
		sum = keyedSum(content)
	}
	binary.BigEndian.PutUint32(content[12:], sum)
	return content
}

// keyedSum covers all fields but sum, echo and pad, and is never 0.
func keyedSum(content []byte) uint32 {
	covered := append([]byte("key"), content...)
	clear(covered[3+12 : 3+16])
	clear(covered[3+24 : 3+28])
	clear(covered[3+31 : 3+34])
	return crc32.ChecksumIEEE(covered) | 1
}

// decode returns the packet in content, or false if its length is wrong.
func decode(content []byte) (packet, bool) {
	if len(content) < headerLength || len(content) != headerLength+int(binary.BigEndian.Uint16(content[28:])) {
		return packet{}, false
	}
	endpoint := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[address:address+4])), binary.BigEndian.Uint16(content[port:]))
	}
	return packet{
		source: endpoint(6, 0), destination: endpoint(2, 10), flags: content[30],
		sum: binary.BigEndian.Uint32(content[12:]), seq: binary.BigEndian.Uint32(content[16:]),
		ack: binary.BigEndian.Uint32(content[20:]), echo: binary.BigEndian.Uint32(content[24:]),
		data: append([]byte(nil), content[headerLength:]...),
	}, true
}
