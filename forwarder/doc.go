// Package forwarder moves packets between the tunnel socket and the decisions:
// it reads datagrams in batches, decodes them, asks for a verdict on each and
// writes what the verdicts say.
package forwarder
