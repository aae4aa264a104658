package steerer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// maxFollowedFlows bounds the followed flows, about 150 bytes each.
	maxFollowedFlows = 20_000
	// followTime is how long an idle flow stays followed.
	followTime = time.Minute
	// windowLength is how far a caller's data may be ahead of the first that its server has
	// not acknowledged, in bytes.
	windowLength = 16 * 1200
	// maxAcknowledgmentStep is the largest difference between the acknowledgments of two packets
	// of one flow, in bytes; a larger one shows that the caller has used its port again.
	maxAcknowledgmentStep = 1 << 22
	// copyTime is the least time after which data that arrives again was retransmitted; a
	// copy that the network made follows at once.
	copyTime = 150 * time.Millisecond
	// minBackOff and maxBackOff are how much longer the time to a caller's next copy is than to the one
	// before, which doubles each time, give or take the jitter of a process; where it is not, packets
	// are late or out of order.
	minBackOff = 1.75
	maxBackOff = 2.35
)

// follower remembers the established flows whose packets pass this instance, whichever
// instance opened them, and what their packets say about their servers.
type follower struct {
	flows      map[followKey]*followedFlow // at most maxFollowedFlows
	roundTrips roundTrips
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
	server         detector.Server
	token          uint32        // that its packets carry
	acknowledgment uint32        // of the newest packet
	sequence       uint32        // of the data that arrived at waitingSince
	sentAt         time.Time     // when that data, or the last copy of it, was sent to the server
	interval       time.Duration // from the copy before to that; 0 if there is no copy
}

// sign is what a caller's packet says about the server of its flow.
type sign struct {
	aliveAt time.Time // the server has answered at this time or later; zero if the packet does not show it
	isCopy  bool      // the caller retransmits data
	dueAt   time.Time // when it does so again unless it has an answer; zero by all but the first copy
	// askedAt is when a copy was sent to the server, which has left it unanswered although it had as
	// long as another server needed to answer; zero if the packet does not show it.
	askedAt   time.Time
	waitedFor time.Duration // since the data itself was sent to the server; 0 if askedAt is zero
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

// hash returns a number that tells the flow from others, the same at all instances. It is part of the
// format of tokens (see viewer.FlowToken) and must not change.
func (followKey *followKey) hash() uint32 {
	var content [36]byte
	copy(content[:], followKey.callerAddress[:])
	copy(content[16:], followKey.serviceAddress[:])
	binary.BigEndian.PutUint16(content[32:], followKey.callerPort)
	binary.BigEndian.PutUint16(content[34:], followKey.servicePort)
	return uint32(xxhash.Sum64(content[:]))
}

// follows reports whether a flow is followed.
func (follower *follower) follows(key FlowKey) bool {
	_, isFollowed := follower.flows[newFollowKey(key)]
	return isFollowed
}

// observe updates the flow of a packet that follows the opening, and returns what the packet
// says about its server.
func (follower *follower) observe(packet *Packet, server *viewer.BackendServer, now time.Time) sign {
	key := newFollowKey(packet.Flow)
	flow := follower.flows[key]
	if flow == nil || !flow.includes(packet) {
		if flow == nil && len(follower.flows) >= maxFollowedFlows || packet.Flags.RST || packet.Flags.FIN {
			return sign{}
		}
		flow = &followedFlow{token: packet.Token, acknowledgment: packet.Acknowledgment, lastPacketAt: now}
		follower.flows[key] = flow
	}
	flow.server = detector.NewServer(server)
	sign := flow.observe(packet, &follower.roundTrips, now)
	if packet.Flags.RST || packet.Flags.FIN {
		delete(follower.flows, key)
	}
	return sign
}

// includes reports whether a packet with the flow's addresses can belong to it.
func (flow *followedFlow) includes(packet *Packet) bool {
	step := int64(int32(packet.Acknowledgment - flow.acknowledgment))
	return flow.token == packet.Token && max(step, -step) <= maxAcknowledgmentStep
}

// observe is the same for the packet's flow.
func (flow *followedFlow) observe(packet *Packet, roundTrips *roundTrips, now time.Time) sign {
	before := flow.lastPacketAt
	flow.lastPacketAt = now
	isAnswered, isPastWindow := int32(packet.Acknowledgment-flow.acknowledgment) > 0, false
	if isAnswered {
		if !flow.waitingSince.IsZero() {
			roundTrips.record(flow.server, flow.waitingSince)
		}
		flow.acknowledgment, flow.waitingSince = packet.Acknowledgment, time.Time{}
	}
	if packet.PayloadLength == 0 && !packet.Flags.FIN {
		if isAnswered {
			return sign{aliveAt: now}
		}
		return sign{}
	}
	if !flow.waitingSince.IsZero() {
		isPastWindow = int32(packet.Sequence-flow.sequence) >= windowLength
	}
	switch {
	case packet.PayloadLength > 0 && (flow.waitingSince.IsZero() || isPastWindow):
		flow.waitingSince, flow.sequence, flow.sentAt, flow.interval = now, packet.Sequence, now, 0
	case packet.PayloadLength > 0 && packet.Sequence == flow.sequence && now.Sub(flow.sentAt) >= copyTime:
		return flow.observeCopy(roundTrips, now)
	}
	switch {
	case isPastWindow:
		return sign{aliveAt: now}
	case isAnswered: // at any time since the caller's last packet
		return sign{aliveAt: before}
	}
	return sign{}
}

// observeCopy is the same for a retransmission.
func (flow *followedFlow) observeCopy(roundTrips *roundTrips, now time.Time) sign {
	sign := sign{isCopy: true}
	interval := now.Sub(flow.sentAt)
	if flow.interval == 0 {
		sign.dueAt = now.Add(2 * interval)
	}
	backOff := float64(interval) / float64(max(flow.interval, 1))
	isInOrder := backOff >= minBackOff && backOff <= maxBackOff
	if isInOrder && roundTrips.othersSince(flow.server, flow.sentAt.Add(questionRepeats*repeatInterval)) {
		sign.askedAt, sign.waitedFor = flow.sentAt, now.Sub(flow.waitingSince)
	}
	flow.sentAt, flow.interval = now, interval
	return sign
}

// waitsSince reports whether data of a packet has been unanswered since its copy was sent at a time.
func (follower *follower) waitsSince(packet *Packet, sentAt time.Time) bool {
	flow := follower.flows[newFollowKey(packet.Flow)]
	return flow != nil && !flow.waitingSince.IsZero() && flow.sequence == packet.Sequence && flow.sentAt.Equal(sentAt)
}

// expire forgets the flows that have been idle for followTime.
func (follower *follower) expire(now time.Time) {
	for key, flow := range follower.flows {
		if now.Sub(flow.lastPacketAt) > followTime {
			delete(follower.flows, key)
		}
	}
}
