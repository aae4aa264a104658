// Package framer decodes and builds the packets of the data path: Geneve
// (RFC 8926) outside, IPv4 with TCP or UDP inside.
//
// Decoding is written against encoding/binary because it runs for every packet
// and must not allocate; packets that are built rarely, such as refusals, are
// serialized by gopacket.
package framer
