package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// A caller whose server is down, or cut off from this instance, retransmits its data until
// its deadline. A reset lets it open a new flow at once, at another server, or tells it at
// once that a request that cannot be repeated failed. A flow is reset only if its server
// does not answer openings either, or was removed from the list of servers.

const (
	// removedServerTimeout is how long data for a server that was removed from the list may
	// stay unacknowledged before its flow is reset.
	removedServerTimeout = 1400 * time.Millisecond
	// removedServerDelay is how long ago the server must have been removed; entries that
	// expired by mistake are back by then.
	removedServerDelay = 2 * time.Second
	// transmissionLifetime is how long the last data of a flow is remembered.
	transmissionLifetime = 10 * time.Second
)

// transmission is the last data that a caller sent on a flow.
type transmission struct {
	sequence    uint32
	firstSentAt time.Time
}

// isStalled reports whether a packet of an established flow is data that its server does
// not receive, and records what the packet shows of the server.
func (steerer *Steerer) isStalled(packet *Packet, server *viewer.BackendServer, view *viewer.View, now time.Time) bool {
	if packet.Flags.FIN || packet.Flags.RST {
		delete(steerer.transmissions, packet.Flow)
		return false
	}
	if packet.PayloadLength == 0 {
		steerer.placer.Heard(server, now)
		delete(steerer.transmissions, packet.Flow)
		return false
	}
	waiting := steerer.recordTransmission(packet, now)
	if steerer.placer.Unresponsive(server, now) {
		return true
	}
	return waiting >= removedServerTimeout && view.RemovedBefore(server.Token, now.Add(-removedServerDelay))
}

// recordTransmission returns for how long the packet's data has been sent without an
// acknowledgment.
func (steerer *Steerer) recordTransmission(packet *Packet, now time.Time) time.Duration {
	last := steerer.transmissions[packet.Flow]
	if last != nil && last.sequence == packet.Sequence {
		return now.Sub(last.firstSentAt)
	}
	if last == nil && len(steerer.transmissions) >= maxFlows {
		return 0
	}
	steerer.transmissions[packet.Flow] = &transmission{sequence: packet.Sequence, firstSentAt: now}
	return 0
}

// expireTransmissions forgets data that was first sent transmissionLifetime ago.
func (steerer *Steerer) expireTransmissions(now time.Time) {
	for key, transmission := range steerer.transmissions {
		if now.Sub(transmission.firstSentAt) > transmissionLifetime {
			delete(steerer.transmissions, key)
		}
	}
}
