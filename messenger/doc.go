// Package messenger sends messages to other instances and receives theirs, over QUIC
// with mutual TLS.
//
// Each instance keeps one connection to every other instance, on which it only sends.
// The connection carries one stream of CBOR items, so messages to an instance stay in
// order. Messages may be lost: those queued for an unreachable instance are discarded.
package messenger
