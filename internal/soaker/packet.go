package soaker

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Bits of a packet's flags.
const (
	flagFIN = 1
	flagACK = 4
	flagSYN = 8
	flagRST = 32
)

const headLength = 34 // bytes

// packet is one packet between a caller and a backend server, as the ends see it.
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	token               uint32
	sequence            uint32
	acknowledge         uint32
	data                []byte
	sum                 uint32
}

// checksum covers all that the system may not change.
func (packet *packet) checksum() uint32 {
	plain := *packet
	plain.token, plain.sum = 0, 0
	return uint32(xxhash.Sum64(plain.encode())) | 1
}

// encode returns the packet with its sum as it stands.
func (packet *packet) encode() []byte {
	content := make([]byte, headLength, headLength+len(packet.data))
	binary.BigEndian.PutUint16(content[0:], packet.source.Port())
	destination, source := packet.destination.Addr().As4(), packet.source.Addr().As4()
	copy(content[2:], destination[:])
	copy(content[6:], source[:])
	binary.BigEndian.PutUint16(content[10:], packet.destination.Port())
	binary.BigEndian.PutUint32(content[12:], packet.sum)
	binary.BigEndian.PutUint32(content[16:], packet.sequence)
	binary.BigEndian.PutUint32(content[20:], packet.acknowledge)
	binary.BigEndian.PutUint32(content[24:], packet.token)
	binary.BigEndian.PutUint16(content[28:], uint16(len(packet.data)))
	content[30] = packet.flags
	return append(content, packet.data...)
}

// seal returns the packet with its sum computed.
func (packet packet) seal() []byte {
	packet.sum = packet.checksum()
	return packet.encode()
}

var errMalformed = errors.New("malformed packet")

func decodePacket(content []byte) (packet, error) {
	if len(content) < headLength || len(content) != headLength+int(binary.BigEndian.Uint16(content[28:])) {
		return packet{}, errMalformed
	}
	address := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(content[at:at+4])), binary.BigEndian.Uint16(content[port:]))
	}
	return packet{
		source: address(6, 0), destination: address(2, 10), flags: content[30],
		sum:         binary.BigEndian.Uint32(content[12:]),
		sequence:    binary.BigEndian.Uint32(content[16:]),
		acknowledge: binary.BigEndian.Uint32(content[20:]),
		token:       binary.BigEndian.Uint32(content[24:]),
		data:        append([]byte(nil), content[headLength:]...),
	}, nil
}
