package steerer

import (
	"net/netip"
	"time"
)

const (
	// maxFollowedFlows bounds the followed flows, about 120 bytes each.
	maxFollowedFlows = 20_000
	// followTime is how long an idle flow stays followed.
	followTime = time.Minute
	// windowLength is how far a caller's data may be ahead of the first that its server has
	// not acknowledged, in bytes.
	windowLength = 16 * 1200
	// copyTime is the least time after which data that arrives again was retransmitted; a
	// copy that the network made follows at once.
	copyTime = 150 * time.Millisecond
)

// follower remembers the established flows whose packets pass this instance, whichever
// instance opened them, and what their packets say about their servers.
type follower struct {
	flows map[followKey]*followedFlow // at most maxFollowedFlows
}

// followKey is a FlowKey without pointers, so that the garbage collector need not look at it.
type followKey struct {
	callerAddress, serviceAddress [16]byte
	callerPort, servicePort       uint16
}

// followedFlow is what an instance remembers of one established flow.
type followedFlow struct {
	lastPacketAt   time.Time
	waitingSince   time.Time // when the first data that may be unanswered arrived; zero if there is none
	token          uint32    // of the server
	acknowledgment uint32    // of the newest packet
	sequence       uint32    // of the data that arrived at waitingSince
	isCopied       bool      // that data has been retransmitted
}

// sign is what a caller's packet says about the server of its flow.
type sign struct {
	answered  bool          // the server has sent or acknowledged something since the caller's last packet here
	waitedFor time.Duration // by a retransmission: how long the server has left data unanswered; 0 by others
}

func newFollower() follower { return follower{flows: map[followKey]*followedFlow{}} }

func newFollowKey(key FlowKey) followKey {
	return followKey{
		callerAddress: key.CallerAddress.Addr().As16(), callerPort: key.CallerAddress.Port(),
		serviceAddress: key.ServiceAddress.Addr().As16(), servicePort: key.ServiceAddress.Port(),
	}
}

// flowKey returns the key that newFollowKey was called with.
func (followKey *followKey) flowKey() FlowKey {
	return FlowKey{
		CallerAddress:  netip.AddrPortFrom(netip.AddrFrom16(followKey.callerAddress).Unmap(), followKey.callerPort),
		ServiceAddress: netip.AddrPortFrom(netip.AddrFrom16(followKey.serviceAddress).Unmap(), followKey.servicePort),
	}
}

// observe updates the flow of a packet that follows the opening, and returns what the packet
// says about the server.
func (follower *follower) observe(packet *Packet, now time.Time) sign {
	key := newFollowKey(packet.Flow)
	if packet.Flags.RST || packet.Flags.FIN {
		delete(follower.flows, key)
		return sign{}
	}
	flow := follower.flows[key]
	if flow == nil || flow.token != packet.Token {
		if flow == nil && len(follower.flows) >= maxFollowedFlows {
			return sign{}
		}
		flow = &followedFlow{token: packet.Token, acknowledgment: packet.Acknowledgment}
		follower.flows[key] = flow
	}
	flow.lastPacketAt = now
	answered := flow.advance(packet)
	if packet.PayloadLength == 0 {
		return sign{answered: answered}
	}
	switch waited := now.Sub(flow.waitingSince); {
	case flow.waitingSince.IsZero():
		flow.waitingSince, flow.sequence, flow.isCopied = now, packet.Sequence, false
	case packet.Sequence == flow.sequence && waited >= copyTime:
		flow.isCopied = true
		return sign{waitedFor: waited}
	}
	return sign{answered: answered}
}

// advance notes what a packet acknowledges, and reports whether it shows that the server has
// sent or acknowledged more than was known.
func (flow *followedFlow) advance(packet *Packet) bool {
	if int32(packet.Acknowledgment-flow.acknowledgment) > 0 {
		flow.acknowledgment, flow.waitingSince = packet.Acknowledgment, time.Time{}
		return true
	}
	isBeyondWindow := packet.PayloadLength > 0 && int32(packet.Sequence-flow.sequence) >= windowLength
	if isBeyondWindow && !flow.waitingSince.IsZero() {
		flow.waitingSince = time.Time{}
		return true
	}
	return false
}

// expire forgets the flows that have been idle for followTime.
func (follower *follower) expire(now time.Time) {
	for key, flow := range follower.flows {
		if now.Sub(flow.lastPacketAt) > followTime {
			delete(follower.flows, key)
		}
	}
}
