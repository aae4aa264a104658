package framer

import (
	"encoding/binary"
	"net/netip"
)

// Options are the Geneve options that an encoded datagram carries.
type Options struct {
	TunnelSource netip.AddrPort
	Relayed      bool
	RelayRank    uint8
	Notice       bool
	ServerHint   uint32
	Refusal      Refusal
}

// Encode appends a Geneve datagram that carries inner to buffer.
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
		notice := uint8(0)
		if options.Notice {
			notice = 1
		}
		buffer = appendOption(buffer, optionRelay, 8)
		buffer = append(buffer, options.RelayRank, notice, 0, 0)
		buffer = binary.BigEndian.AppendUint32(buffer, options.ServerHint)
	}
	if options.Refusal.Reason != NotRefused {
		buffer = appendOption(buffer, optionRefusal, 8)
		buffer = appendRefusal(buffer, options.Refusal)
	}
	buffer[start] = uint8((len(buffer) - start - geneveHeaderLength) / 4)
	return append(buffer, inner...)
}

func appendOption(buffer []byte, kind uint8, length int) []byte {
	return append(buffer, OptionClass>>8, OptionClass&0xff, kind, uint8(length/4))
}
