package framer

import (
	"encoding/binary"
	"net/netip"
)

// Options holds the values of the Geneve options that Encode adds to a datagram.
// The fields mean the same as those of Packet. RelayRank, Notice and ServerHint are
// encoded only if Relayed is set; a zero TunnelSource or Refusal adds no option.
type Options struct {
	TunnelSource netip.AddrPort
	Relayed      bool
	RelayRank    uint8
	Notice       bool
	ServerHint   uint32
	Refusal      Refusal
}

// Encode appends a Geneve datagram that carries the inner packet to buffer and
// returns the extended buffer.
func Encode(buffer []byte, options Options, inner []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, 0, 0, geneveProtocolIPv4>>8, geneveProtocolIPv4&0xff, 0, 0, 0, 0)
	if options.TunnelSource.IsValid() {
		address := options.TunnelSource.Addr().As4()
		buffer = appendOption(buffer, optionTunnelSource, 8)
		buffer = append(buffer, address[:]...)
		buffer = binary.BigEndian.AppendUint16(buffer, options.TunnelSource.Port())
		buffer = append(buffer, 0, 0)
	}
	if options.Relayed {
		noticeFlag := uint8(0)
		if options.Notice {
			noticeFlag = 1
		}
		buffer = appendOption(buffer, optionRelay, 8)
		buffer = append(buffer, options.RelayRank, noticeFlag, 0, 0)
		buffer = binary.BigEndian.AppendUint32(buffer, options.ServerHint)
	}
	if options.Refusal.Reason != NotRefused {
		buffer = appendOption(buffer, optionRefusal, 8)
		buffer = appendRefusal(buffer, options.Refusal)
	}
	buffer[start] = uint8((len(buffer) - start - geneveHeaderLength) / 4)
	return append(buffer, inner...)
}

// appendOption appends an option header; length is the length of the option data in bytes.
func appendOption(buffer []byte, optionType uint8, length int) []byte {
	return append(buffer, OptionClass>>8, OptionClass&0xff, optionType, uint8(length/4))
}
