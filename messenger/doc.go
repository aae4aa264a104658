// Package messenger carries messages between instances over QUIC with mutual
// TLS. Each instance keeps one connection to every other on which it only
// sends, as one stream of CBOR items, so messages to one instance stay in order.
package messenger
