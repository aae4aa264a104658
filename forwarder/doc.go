// Package forwarder moves packets between the tunnel socket and the decider. It
// reads datagrams in batches, decodes them, drops those from untrusted senders, asks
// the PacketDecider for a verdict on each and sends what the verdict says.
package forwarder
