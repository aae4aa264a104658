// Package framer decodes and builds the packets of the data path: an inner IPv4
// packet with TCP or UDP, carried in a Geneve datagram (RFC 8926).
//
// Decode parses a datagram into a Packet, and Encode adds the Geneve header and
// options to an inner packet; both use encoding/binary because they run for every
// packet, and Decode must not allocate. Inner packets that are built rarely, such
// as refusals, are serialized by gopacket.
package framer
