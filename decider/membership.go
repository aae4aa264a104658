package decider

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/picker"
)

// member is another instance and its state as this one sees it.
type member struct {
	Instance
	hash              uint64
	incarnation       uint64
	lastReceived      time.Time
	lastHeartbeatSent time.Time
	addedAt           time.Time
	listed            bool // in the list last passed to SetInstances
	reachable         bool // set by its heartbeats, cleared after FailureTimeout without a message
	leaving           bool
	integrated        bool      // it reports that it is up to date
	handoverComplete  bool      // its Handover has been received since it last became reachable
	hasOurAddresses   bool      // it has received the addresses of this instance
	pinsPending       bool      // it was integrated when it became reachable, and may have opened flows whose pins are still to come
	joinedAt          time.Time // when it last became reachable or was restarted
	sheetVersion      uint64
	inForce           uint64
	activeDigest      uint64
	services          map[uint64]ServiceState // by hash of the service's name
	queuedPins        []byte                  // encoded by AppendPin, as the next two
	queuedUnpins      []byte
	queuedFlows       []byte    // for it as their new home
	sentSheetVersion  uint64    // newest version sent to it
	differsSince      time.Time // when its active epochs began to differ from those of this instance
}

// viewEntry is an instance in a view; member is nil for this instance.
type viewEntry struct {
	hash   uint64
	member *member
}

// MemberStatus describes another instance as this one sees it.
type MemberStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Reachable     bool   `json:"alive"`
	Leaving       bool   `json:"leaving"`
	InForce       uint64 `json:"in_force"`
}

// SetInstances sets the listed instances: first the peers in the settings, then the platform's list, which
// may be out of date.
func (decider *Decider) SetInstances(now time.Time, listed []Instance) {
	decider.now = now
	for _, member := range decider.sortedMembers {
		member.listed = false
	}
	for _, instance := range listed {
		if member := decider.addMember(instance); member != nil {
			member.listed = true
		}
	}
}

// addMember adds or updates an instance and returns it, or nil for this instance itself.
func (decider *Decider) addMember(instance Instance) *member {
	if instance.Name == decider.config.Self.Name || instance.Name == "" {
		return nil
	}
	if existing, ok := decider.members[instance.Name]; ok {
		if instance.Peer.IsValid() {
			existing.Instance = instance
		}
		return existing
	}
	added := &member{
		Instance: instance,
		hash:     hashName(instance.Name),
		addedAt:  decider.now,
		services: map[uint64]ServiceState{},
	}
	decider.members[instance.Name] = added
	decider.sortedMembers = append(decider.sortedMembers, added)
	slices.SortFunc(decider.sortedMembers, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	return added
}

func (decider *Decider) removeMember(removed *member) {
	delete(decider.members, removed.Name)
	decider.sortedMembers = slices.DeleteFunc(decider.sortedMembers, func(member *member) bool { return member == removed })
}

// rebuildView recomputes which instances can be home of a flow, and restarts the scans that depend
// on it.
func (decider *Decider) rebuildView() {
	old := decider.view
	view := make([]viewEntry, 0, len(decider.members)+1)
	if decider.integrated && !decider.leaving {
		view = append(view, viewEntry{hash: decider.selfHash})
	}
	reachable := []viewEntry{{hash: decider.selfHash}}
	for _, member := range decider.sortedMembers {
		if !member.reachable {
			continue
		}
		reachable = append(reachable, viewEntry{hash: member.hash, member: member})
		if member.integrated && member.handoverComplete && !member.leaving {
			view = append(view, viewEntry{hash: member.hash, member: member})
		}
	}
	byHash := func(a, b viewEntry) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(view, byHash)
	slices.SortFunc(reachable, byHash)
	decider.view, decider.reachable = view, reachable
	if slices.Equal(old, view) {
		return
	}
	switch {
	case decider.leaving:
		decider.lastView = old
	case len(view) > 0:
		decider.lastView = view
	}
	decider.viewChangedAt = decider.now
	decider.viewDigest = 0
	for _, entry := range view {
		decider.viewDigest ^= uint32(entry.hash)
	}
	for _, service := range decider.sortedServices {
		if len(service.epochs) > 1 {
			service.restartScan()
			decider.announceState(service)
		}
	}
	decider.saveOldView(old)
	decider.orphanCursor = 0
	decider.recordEvent(EventViewChanged, "instances", len(view))
}

// home returns the instance that decides about a flow, nil for this one.
// The view must not be empty.
func (decider *Decider) home(key uint64) *member { return homeInView(decider.view, key) }

func homeInView(view []viewEntry, key uint64) *member {
	var winner *member
	best := uint64(0)
	for i := range view {
		score := picker.Hash(key, view[i].hash)
		if score >= best {
			winner, best = view[i].member, score
		}
	}
	return winner
}

// lastKnownHome returns the home of a flow in the view, or in the last one that was
// not empty. It returns nil for this instance and if there has been no such view.
func (decider *Decider) lastKnownHome(key uint64) *member {
	if len(decider.view) > 0 {
		return decider.home(key)
	}
	return homeInView(decider.lastView, key)
}

// isHome reports whether this instance is the home of a flow.
func (decider *Decider) isHome(key uint64) bool {
	return decider.integrated && !decider.leaving && decider.home(key) == nil
}

// rankedMembers returns all known instances by descending rendezvous score for a
// flow, this one as nil. Unreachable ones are included, so that instances which
// reach different ones number the ranks alike.
func (decider *Decider) rankedMembers(key uint64) []*member {
	entries := make([]viewEntry, 0, len(decider.sortedMembers)+1)
	entries = append(entries, viewEntry{hash: decider.selfHash})
	for _, member := range decider.sortedMembers {
		entries = append(entries, viewEntry{hash: member.hash, member: member})
	}
	slices.SortFunc(entries, func(a, b viewEntry) int {
		return cmp.Compare(picker.Hash(key, b.hash), picker.Hash(key, a.hash))
	})
	members := make([]*member, len(entries))
	for i, entry := range entries {
		members[i] = entry.member
	}
	return members
}

// expireMembers marks instances unreachable that have stopped sending, and removes those
// that have long been unreachable and unlisted.
func (decider *Decider) expireMembers() {
	changed := false
	for _, member := range slices.Clone(decider.sortedMembers) {
		if member.reachable && decider.now.Sub(member.lastReceived) > FailureTimeout {
			decider.markUnreachable(member)
			decider.lastLossAt = decider.now
			changed = true
		}
		expired := decider.now.Sub(member.lastReceived) > ForgetTimeout && decider.now.Sub(member.addedAt) > ForgetTimeout
		if !member.reachable && !member.listed && expired {
			decider.removeMember(member)
		}
	}
	if changed {
		decider.rebuildView()
	}
}

// markUnreachable records that an instance is unreachable, and drops what is queued for it.
func (decider *Decider) markUnreachable(member *member) {
	member.reachable, member.handoverComplete, member.hasOurAddresses = false, false, false
	member.queuedPins, member.queuedUnpins, member.queuedFlows = nil, nil, nil
	decider.counters.add(CountMembersLost, 1)
	decider.recordEvent(EventMemberLost, "instance", member.Name)
}

// unreachableListed counts the listed instances that are unreachable.
func (decider *Decider) unreachableListed() int {
	count := 0
	for _, member := range decider.sortedMembers {
		if member.listed && !member.reachable {
			count++
		}
	}
	return count
}

// saveOldView keeps the last few views: their homes may have opened flows that the
// current homes do not know.
func (decider *Decider) saveOldView(view []viewEntry) {
	if len(view) == 0 {
		return
	}
	decider.oldViews = append(decider.oldViews, view)
	decider.oldViews = decider.oldViews[max(0, len(decider.oldViews)-maxOldViews):]
}

// homeMoved reports whether a flow had another home under a recent view.
func (decider *Decider) homeMoved(key uint64) bool {
	if len(decider.view) == 0 {
		return false
	}
	home := decider.home(key)
	for _, view := range decider.oldViews {
		if homeInView(view, key) != home {
			return true
		}
	}
	return false
}

// isOrWasHome reports whether this instance is home of a flow, or was under a recent view.
func (decider *Decider) isOrWasHome(key uint64) bool {
	if decider.isHome(key) {
		return true
	}
	for _, view := range decider.oldViews {
		if homeInView(view, key) == nil {
			return true
		}
	}
	return false
}

// expireOldViews drops the recent views some time after the last change, when the current
// homes know the flows that were opened under them.
func (decider *Decider) expireOldViews() {
	if decider.now.Sub(decider.viewChangedAt) > oldViewsLifetime {
		decider.oldViews = nil
	}
}

// markOrphans marks, after a change of view, the flows that had another home under a recent
// view, a few shards per call.
func (decider *Decider) markOrphans() {
	if decider.orphanCursor >= flowShards {
		return
	}
	for range shardsPerTick {
		decider.markOrphansIn(&decider.flows.shards[decider.orphanCursor])
		decider.orphanCursor++
	}
}

// markOrphansIn marks the orphans of a shard, and sends the pins that this instance took over from
// an unreachable home to the instances that joined recently.
func (decider *Decider) markOrphansIn(shard *flowShard) {
	if len(decider.view) == 0 {
		return
	}
	shard.forEach(func(key uint64, flow *flow) bool {
		if flow.state == closed || !decider.homeMoved(key) {
			return true
		}
		if flow.pinned && decider.now.Sub(decider.lastLossAt) < joinWindow && decider.isHome(key) {
			decider.pinToJoiners(Pin{Flow: key, Server: flow.serverID})
		}
		flow.orphan = !flow.pinned
		return true
	})
}

// pinToJoiners sends a pin of a home that became unreachable to the instances that
// may have joined too late to receive it from that home.
func (decider *Decider) pinToJoiners(pin Pin) {
	for _, member := range decider.sortedMembers {
		if member.reachable && decider.now.Sub(member.joinedAt) < joinWindow {
			decider.counters.add(CountPinsToJoiners, 1)
			decider.queuePin(member, pin)
		}
	}
}

// joinWindow is how long after joining an instance may lack pins that a home broadcast
// before it became unreachable.
const joinWindow = 4 * FailureTimeout

// TunnelAddresses returns the tunnel addresses of all other known instances.
func (decider *Decider) TunnelAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(decider.sortedMembers))
	for _, member := range decider.sortedMembers {
		addresses = append(addresses, member.Tunnel)
	}
	return addresses
}
