package relayer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeats to the instances of a large failure domain go through relays. The sender shuffles
// the instances for each heartbeat, sends it to about the square root of them, and names to
// each of these relays the addresses to which it has to pass the heartbeat on. A relay keeps no
// state but the announcements that wait for its own view to follow; no role outlives one
// heartbeat, so a relay that is dead costs its group one of them. A relay whose group misses
// one is not used until it is heard of.

const (
	// minTreeSize is the number of recipients in the failure domain from which relays are used.
	minTreeSize = 16
	// maxPassOnCount limits the addresses that an instance accepts to pass a heartbeat on to.
	maxPassOnCount = 64
	// passOnSize is the room that announcements leave for the addresses.
	passOnSize = 150 // bytes
	// passOnOverhead is the largest size of the list without the addresses.
	passOnOverhead = 16 // bytes
	// addressOverhead is what an address in the list takes beside the IP address.
	addressOverhead = 4 // bytes
	// maxRelaySilence is how long a relay may leave announcements unanswered. It answers those of
	// a leader every keepaliveInterval.
	maxRelaySilence = keepaliveInterval + 5*time.Second
	// maxWaitingAnnouncements limits the announcements that wait for a fetch.
	maxWaitingAnnouncements = 4
)

// relayTree is the part of a relayer that sends and passes on heartbeats by relays.
type relayTree struct {
	random  *rand.Rand
	waiting []waitingAnnouncement // to be passed on after the fetch that is running
	used    bool                  // whether announcements reached this instance through relays
	heardAt time.Time             // when the last announcement of a leader of this failure domain was received
	askedAt time.Time             // when this instance last asked for a missed announcement

	askedAbsentAt time.Time // when it last asked the absent leaders
}

// waitingAnnouncement is an announcement to be passed on, and when it was received.
type waitingAnnouncement struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// datagram is an encoded heartbeat and its recipient.
type datagram struct {
	to      netip.AddrPort
	content []byte
}

func newRelayTree(name string) relayTree {
	return relayTree{random: rand.New(rand.NewPCG(xxhash.Sum64String(name), uint64(time.Now().UnixNano())))}
}

// distribute returns the datagrams that bring a heartbeat to the recipients. The leaders of
// this failure domain and the instances of others get it directly. The mutex must be held.
func (relayer *Relayer) distribute(heartbeat Heartbeat, recipients []Member, positions map[string]int, now time.Time) []datagram {
	plain := encode(heartbeat)
	var datagrams []datagram
	var relays, others []Member
	for _, member := range recipients {
		switch {
		case member.FailureDomain != relayer.self.FailureDomain || positions[member.Name] < leadersPerDomain:
			datagrams = append(datagrams, datagram{to: member.PeerAddress, content: plain})
		case relayer.members[member.Name].canRelay(now):
			relays = append(relays, member)
		default:
			others = append(others, member)
		}
	}
	relays, groupSize := relayer.chooseRelays(relays, &others, maxHeartbeatSize-len(plain))
	for _, relay := range relays {
		group := others[:min(groupSize, len(others))]
		others = others[len(group):]
		content := plain
		if !heartbeat.IsAnswer {
			relayer.recordRelay(relay, group, now)
		}
		if len(group) > 0 {
			heartbeat.PassOn = addresses(group)
			content = encode(heartbeat)
		}
		datagrams = append(datagrams, datagram{to: relay.PeerAddress, content: content})
	}
	for _, member := range others {
		datagrams = append(datagrams, datagram{to: member.PeerAddress, content: plain})
	}
	return datagrams
}

// chooseRelays returns the candidates that become relays, and to how many instances each passes
// the heartbeat on; it appends the other candidates to others and shuffles these. There are no
// groups in a small failure domain, and none without room for their addresses in the heartbeat.
func (relayer *Relayer) chooseRelays(candidates []Member, others *[]Member, room int) ([]Member, int) {
	total := len(candidates) + len(*others)
	if total < minTreeSize || len(candidates) == 0 {
		return candidates, 0
	}
	relayer.tree.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := min(int(math.Ceil(math.Sqrt(float64(total)))), len(candidates))
	groupSize := (total - 1) / count // rounded up, and without the relay
	groupSize = max(min(groupSize, maxPassOnCount, (room-passOnOverhead)/addressSize(candidates, *others)), 0)
	count = min((total+groupSize)/(groupSize+1), len(candidates))
	*others = append(*others, candidates[count:]...)
	relayer.tree.random.Shuffle(len(*others), func(i, j int) { (*others)[i], (*others)[j] = (*others)[j], (*others)[i] })
	return candidates[:count], groupSize
}

// addressSize returns the largest size of a member's address in the list.
func addressSize(groups ...[]Member) int {
	size := addressOverhead + netip.IPv4Unspecified().BitLen()/8
	for _, members := range groups {
		for _, member := range members {
			size = max(size, addressOverhead+member.PeerAddress.Addr().BitLen()/8)
		}
	}
	return size
}

func addresses(members []Member) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		list = append(list, member.PeerAddress)
	}
	return list
}

// canRelay reports whether the peer may have to pass a heartbeat on.
func (peer *peer) canRelay(now time.Time) bool {
	return !peer.leaving && !peer.doubtedAt.After(peer.receivedAt) && peer.unresponsiveFor(now) <= maxRelaySilence
}

// recordRelay notes by which relay an announcement was sent to a group. The mutex must be held.
func (relayer *Relayer) recordRelay(relay Member, group []Member, now time.Time) {
	for _, member := range group {
		relayer.members[member.Name].relay, relayer.members[member.Name].relayedAt = relay.Name, now
	}
}

// send sends datagrams to other instances.
func (relayer *Relayer) send(datagrams []datagram) {
	for _, datagram := range datagrams {
		relayer.network.Send(datagram.to, datagram.content)
	}
}

// relay passes a heartbeat on if the sender requests it. An announcement that this instance can
// follow only with the running fetch waits for it, so that the others can fetch from here.
func (relayer *Relayer) relay(heartbeat Heartbeat, now time.Time) {
	relayer.recordTree(heartbeat, now)
	isForeign := heartbeat.Sender.FailureDomain != relayer.self.FailureDomain
	if len(heartbeat.PassOn) == 0 || isForeign || relayer.justResumed(now) { // after a pause it may have waited in the socket
		return
	}
	if !heartbeat.IsAnswer && !relayer.isCurrent(heartbeat) && relayer.wait(heartbeat, now) {
		return
	}
	relayer.passOn(heartbeat, 0)
}

// recordTree notes that an announcement of a leader of this failure domain has arrived, and
// whether it came through relays.
func (relayer *Relayer) recordTree(heartbeat Heartbeat, now time.Time) {
	if heartbeat.IsAnswer || heartbeat.InstanceCount == 0 || heartbeat.Sender.FailureDomain != relayer.self.FailureDomain {
		return
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.tree.heardAt = now
	if len(heartbeat.PassOn) > 0 || heartbeat.Relay != nil {
		relayer.tree.used = true
	}
}

// isCurrent reports whether the view is as new as the sender's.
func (relayer *Relayer) isCurrent(heartbeat Heartbeat) bool {
	view := relayer.viewer.Current()
	return view.Complete() && view.Configuration.Version >= heartbeat.ConfigurationVersion && !heartbeat.serversAt().IsNewerThan(view.Servers.At())
}

// wait keeps an announcement until the running fetch has ended, and returns false if there is
// none or too many wait.
func (relayer *Relayer) wait(heartbeat Heartbeat, now time.Time) bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if !relayer.running["fetch"] || len(relayer.tree.waiting) == maxWaitingAnnouncements {
		return false
	}
	relayer.tree.waiting = append(relayer.tree.waiting, waitingAnnouncement{heartbeat: heartbeat, receivedAt: now})
	return true
}

// passOnWaiting passes on the announcements that waited for a fetch. Tick calls it for one that
// began to wait as the fetch ended.
func (relayer *Relayer) passOnWaiting(now time.Time) {
	relayer.mutex.Lock()
	waiting := relayer.tree.waiting
	relayer.tree.waiting = nil
	relayer.mutex.Unlock()
	if relayer.justResumed(now) {
		return
	}
	for _, announcement := range waiting {
		relayer.passOn(announcement.heartbeat, now.Sub(announcement.receivedAt))
	}
}

// passOn sends a heartbeat to the instances that its sender named, after it waited here for a
// time.
func (relayer *Relayer) passOn(heartbeat Heartbeat, waited time.Duration) {
	recipients := heartbeat.PassOn
	heartbeat.PassOn, heartbeat.Relay = nil, &netip.AddrPort{}
	if relayer.isCurrent(heartbeat) {
		heartbeat.Relay = &relayer.self.ControlAddress
	}
	heartbeat.Age += min(waited, math.MaxInt64-heartbeat.Age)
	content := encode(heartbeat)
	for _, recipient := range recipients {
		relayer.network.Send(recipient, content)
	}
	relayer.observer.HeartbeatPassedOn(len(recipients))
}
