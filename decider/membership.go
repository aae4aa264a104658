package decider

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/picker"
)

// member is another instance as this one sees it.
type member struct {
	Instance
	hash          uint64
	incarnation   uint64
	lastHeard     time.Time
	lastSent      time.Time
	knownSince    time.Time
	listed        bool // in the platform's list
	alive         bool // heard within the failure timeout
	leaving       bool
	integrated    bool // it says that it is up to date
	handedOver    bool // its pins have arrived since it was last unheard
	introduced    bool // it has heard this instance
	merging       bool // it was cut off, and has opened flows that are not pinned yet
	joined        time.Time
	sheetVersion  uint64
	inForce       uint64
	digest        uint64
	services      map[uint64]ServiceState
	pins          []byte // queued for it
	unpins        []byte // queued for it
	flows         []byte // queued for it as their home
	lastSheetSent uint64
	differsSince  time.Time
}

// place is a member, or this instance when member is nil, in a view.
type place struct {
	hash   uint64
	member *member
}

// MemberStatus is what this instance knows of another.
type MemberStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Alive         bool   `json:"alive"`
	Leaving       bool   `json:"leaving"`
	InForce       uint64 `json:"in_force"`
}

// Members takes the platform's list, which may lag, and the addresses in the settings.
func (decider *Decider) Members(now time.Time, listed []Instance) {
	decider.now = now
	for _, member := range decider.roster {
		member.listed = false
	}
	for _, instance := range listed {
		if member := decider.addMember(instance); member != nil {
			member.listed = true
		}
	}
}

// addMember makes an instance known and returns it, or nil for this instance itself.
func (decider *Decider) addMember(instance Instance) *member {
	if instance.Name == decider.config.Self.Name || instance.Name == "" {
		return nil
	}
	if known, ok := decider.members[instance.Name]; ok {
		if instance.Peer.IsValid() {
			known.Instance = instance
		}
		return known
	}
	added := &member{
		Instance:   instance,
		hash:       hashName(instance.Name),
		knownSince: decider.now,
		services:   map[uint64]ServiceState{},
	}
	decider.members[instance.Name] = added
	decider.roster = append(decider.roster, added)
	slices.SortFunc(decider.roster, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	return added
}

func (decider *Decider) forget(gone *member) {
	delete(decider.members, gone.Name)
	decider.roster = slices.DeleteFunc(decider.roster, func(member *member) bool { return member == gone })
}

// rebuildView recomputes which instances can be home of a flow.
func (decider *Decider) rebuildView() {
	old := decider.view
	view := make([]place, 0, len(decider.members)+1)
	if decider.integrated && !decider.leaving {
		view = append(view, place{hash: decider.selfHash})
	}
	walk := []place{{hash: decider.selfHash}}
	for _, member := range decider.roster {
		if !member.alive {
			continue
		}
		walk = append(walk, place{hash: member.hash, member: member})
		if member.integrated && member.handedOver && !member.leaving {
			view = append(view, place{hash: member.hash, member: member})
		}
	}
	byHash := func(a, b place) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(view, byHash)
	slices.SortFunc(walk, byHash)
	decider.view, decider.walk = view, walk
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
	for _, place := range view {
		decider.viewDigest ^= uint32(place.hash)
	}
	for _, service := range decider.catalogue {
		if len(service.epochs) > 1 {
			service.restartScan()
			decider.touch(service)
		}
	}
	decider.rememberView(old)
	decider.orphanCursor = 0
	decider.event(EventViewChanged, "instances", len(view))
}

// home returns the instance that decides for a flow: nil for this one.
// It must not be called with an empty view.
func (decider *Decider) home(key uint64) *member { return topOf(decider.view, key) }

func topOf(view []place, key uint64) *member {
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

// homeOrNil returns the home of a flow as far as this instance has ever known,
// or nil when it is the instance itself or nobody was ever heard.
func (decider *Decider) homeOrNil(key uint64) *member {
	if len(decider.view) > 0 {
		return decider.home(key)
	}
	return topOf(decider.lastView, key)
}

// isHome reports whether this instance decides for a flow.
func (decider *Decider) isHome(key uint64) bool {
	return decider.integrated && !decider.leaving && decider.home(key) == nil
}

// ranked returns all known instances in the flow's rank order, this one as nil.
// The dead are among them, so that instances that hear different ones count alike.
func (decider *Decider) ranked(key uint64) []*member {
	places := make([]place, 0, len(decider.roster)+1)
	places = append(places, place{hash: decider.selfHash})
	for _, member := range decider.roster {
		places = append(places, place{hash: member.hash, member: member})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Compare(picker.Hash(key, b.hash), picker.Hash(key, a.hash))
	})
	members := make([]*member, len(places))
	for i, place := range places {
		members[i] = place.member
	}
	return members
}

// expireMembers declares the instances dead that have not been heard, and forgets old ones.
func (decider *Decider) expireMembers() {
	changed := false
	for _, member := range slices.Clone(decider.roster) {
		if member.alive && decider.now.Sub(member.lastHeard) > FailureTimeout {
			decider.lose(member)
			decider.lostAt = decider.now
			changed = true
		}
		forgotten := decider.now.Sub(member.lastHeard) > ForgetTimeout && decider.now.Sub(member.knownSince) > ForgetTimeout
		if !member.alive && !member.listed && forgotten {
			decider.forget(member)
		}
	}
	if changed {
		decider.rebuildView()
	}
}

// lose notes that an instance is not heard any more.
func (decider *Decider) lose(member *member) {
	member.alive, member.handedOver, member.introduced = false, false, false
	member.pins, member.unpins, member.flows = nil, nil, nil
	decider.counters.add(CountMembersLost, 1)
	decider.event(EventMemberLost, "instance", member.Name)
}

// missing counts the listed instances that are not heard.
func (decider *Decider) missing() int {
	count := 0
	for _, member := range decider.roster {
		if member.listed && !member.alive {
			count++
		}
	}
	return count
}

// rememberView keeps the last few views, whose homes may have opened flows that today's homes do not know.
func (decider *Decider) rememberView(view []place) {
	if len(view) == 0 {
		return
	}
	decider.oldViews = append(decider.oldViews, view)
	decider.oldViews = decider.oldViews[max(0, len(decider.oldViews)-maxOldViews):]
}

// movedHome reports whether a flow had another home under a view of late.
func (decider *Decider) movedHome(key uint64) bool {
	if len(decider.view) == 0 {
		return false
	}
	home := decider.home(key)
	for _, view := range decider.oldViews {
		if topOf(view, key) != home {
			return true
		}
	}
	return false
}

// wasHome reports whether this instance decides for a flow, or did under a view of late.
func (decider *Decider) wasHome(key uint64) bool {
	if decider.isHome(key) {
		return true
	}
	for _, view := range decider.oldViews {
		if topOf(view, key) == nil {
			return true
		}
	}
	return false
}

// forgetOldViews lets go of the old views once flows of their time are known.
func (decider *Decider) forgetOldViews() {
	if decider.now.Sub(decider.viewChangedAt) > oldViewsLifetime {
		decider.oldViews = nil
	}
}

// markOrphans marks, a few shards a call, the flows whose home the last change of view has moved.
func (decider *Decider) markOrphans() {
	if decider.orphanCursor >= flowShards {
		return
	}
	for range shardsPerTick {
		decider.markOrphansIn(&decider.flows.shards[decider.orphanCursor])
		decider.orphanCursor++
	}
}

func (decider *Decider) markOrphansIn(shard *flowShard) {
	if len(decider.view) == 0 {
		return
	}
	shard.each(func(key uint64, flow *flow) bool {
		if flow.state == closed || !decider.movedHome(key) {
			return true
		}
		if flow.pinned && decider.now.Sub(decider.lostAt) < joinWindow && decider.isHome(key) {
			decider.pinToJoiners(Pin{Flow: key, Server: flow.server})
		}
		flow.orphan = !flow.pinned
		return true
	})
}

// pinToJoiners repeats a pin of a lost home to the instances that may have
// joined too late to hear it from that home.
func (decider *Decider) pinToJoiners(pin Pin) {
	for _, member := range decider.roster {
		if member.alive && decider.now.Sub(member.joined) < joinWindow {
			decider.counters.add(CountPinsToJoiners, 1)
			decider.queuePin(member, pin)
		}
	}
}

// joinWindow is how long a joiner may miss what a lost home had to tell it.
const joinWindow = 4 * FailureTimeout

// TunnelAddresses returns the tunnel addresses of all known instances.
func (decider *Decider) TunnelAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(decider.roster))
	for _, member := range decider.roster {
		addresses = append(addresses, member.Tunnel)
	}
	return addresses
}
