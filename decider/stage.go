package decider

import (
	"slices"
	"time"
)

// An epoch goes through four steps on every instance:
//
//	staged     it is known
//	scanned    flows that their home may not know, and on which it differs, are told to their home
//	prepared   every live instance has scanned, and the pins of the flows on which it differs are sent
//	active     every live instance is prepared; homes open new flows by it
//
// Once it is active everywhere, older epochs are retired. A flow without a pin
// is then with the backend server that the active epoch gives.
//
// When more flows move than the budget for pins allows, the epoch becomes active
// after ActivationTimeout all the same. The service is then unclean: flows on
// which the epochs in use differ are asked of their home until all are prepared.

// stage takes in an epoch that is newer than the active one.
func (decider *Decider) stage(wire Epoch) {
	service := decider.serviceNamed(wire.Service)
	if service.active != nil && wire.ID.Compare(service.active.ID) <= 0 {
		return
	}
	if !decider.hold(service, wire) {
		return
	}
	newest := service.newest()
	if service.staged == nil || service.staged.ID.Compare(newest.ID) < 0 {
		service.staged = newest
		service.stagedAt = decider.now
	}
	decider.event(EventEpochStaged, "service", service.name, "epoch", wire.ID)
}

// hold adds an epoch to those in use and reports whether it was new.
func (decider *Decider) hold(service *service, wire Epoch) bool {
	known := slices.ContainsFunc(service.epochs, func(epoch *epoch) bool { return epoch.ID == wire.ID })
	if known {
		return false
	}
	service.epochs = append(service.epochs, service.newEpoch(decider, wire))
	slices.SortFunc(service.epochs, func(a, b *epoch) int { return a.ID.Compare(b.ID) })
	service.generation++
	service.restartScan()
	decider.touch(service)
	return true
}

func (service *service) restartScan() {
	service.scanCursor = 0
	service.scanned, service.prepared = EpochID{}, EpochID{}
}

// touch puts a service into the heartbeats, at once: the longer an epoch is
// staged, the more openings need pins.
func (decider *Decider) touch(service *service) {
	service.changedAt = decider.now
	decider.heartbeatDue = true
}

// target is the epoch that the own table is to be compared with.
func (service *service) target() *epoch {
	if service.staged != nil {
		return service.staged
	}
	return service.active
}

// advance moves every service as far along as the other instances allow.
func (decider *Decider) advance() {
	for _, service := range decider.catalogue {
		service.behind = decider.overtaken(service)
		decider.activateWhenPrepared(service)
		decider.retire(service)
	}
	decider.settleInForce()
}

// scan compares the next shards of the flow table with the target epoch: in the
// first pass for flows that homes may not know, in the second for those to pin.
func (decider *Decider) scan(service *service) {
	target := service.target()
	if len(service.epochs) < 2 || target == nil || service.prepared == target.ID || decider.orphanCursor < flowShards {
		return
	}
	pinning := service.scanned == target.ID
	if pinning && decider.lagging(service, func(state ServiceState) EpochID { return state.Scanned }) != nil {
		return
	}
	for range shardsPerTick {
		if service.scanCursor >= flowShards {
			break
		}
		shard := &decider.flows.shards[service.scanCursor]
		if !decider.scanShard(service, target, shard, pinning) {
			return
		}
		service.scanCursor++
	}
	if service.scanCursor < flowShards {
		return
	}
	decider.flushPins()
	for _, member := range decider.roster {
		decider.flushFlows(member)
	}
	service.scanCursor = 0
	if pinning {
		service.prepared = target.ID
	} else {
		service.scanned = target.ID
	}
	decider.touch(service)
}

// scanShard looks for the flows that the target epoch would give to another
// backend server. It reports false when the budget ran out before the end.
func (decider *Decider) scanShard(service *service, target *epoch, shard *flowShard, pinning bool) bool {
	finished := true
	shard.each(func(key uint64, flow *flow) bool {
		if flow.differs(decider, service, target, key) {
			finished = decider.tellFlow(service, key, flow, pinning)
		}
		return finished
	})
	return finished
}

// differs reports whether an unpinned flow is elsewhere than the target epoch
// would send it. An opening that is not accepted yet is pinned when it is.
func (flow *flow) differs(decider *Decider, service *service, target *epoch, key uint64) bool {
	if flow.pinned || flow.state == closed || flow.state == opening || decider.servers[flow.server].service != service {
		return false
	}
	picked := target.pick(key)
	return picked == nil || picked.id != flow.server
}

// tellFlow pins a flow of this home, or tells a flow to the home that may not
// know it. It reports false when the budget does not allow that.
func (decider *Decider) tellFlow(service *service, key uint64, flow *flow, pinning bool) bool {
	home := decider.homeOrNil(key)
	switch {
	case pinning && decider.isHome(key):
		if !decider.mayPin(service, len(decider.walk)-1) {
			return false
		}
		decider.pin(key, flow)
		decider.counters.add(CountPinsSent, 1)
	case !pinning && flow.orphan && home != nil:
		if !decider.mayPin(service, 1) {
			return false
		}
		flow.orphan = false
		home.flows = AppendPin(home.flows, Pin{Flow: key, Server: flow.server})
		decider.counters.add(CountOrphansSent, 1)
	}
	return true
}

// sheetChanges reports whether epochs of two versions of the sheet are in use.
func (service *service) sheetChanges() bool {
	return service.epochs[0].SheetDigest != service.newest().SheetDigest
}

// mayPin takes the bytes of a pin for so many instances from the budget. A new
// version of the sheet may run it into debt, which later weights then pay.
func (decider *Decider) mayPin(service *service, instances int) bool {
	bytes := pinLength * max(1, instances)
	if service.sheetChanges() && decider.pinBudget.TokensAt(decider.now) > -maxPinDebt {
		decider.pinBudget.ReserveN(decider.now, bytes)
		return true
	}
	return decider.pinBudget.AllowN(decider.now, bytes)
}

// lagging returns a live instance that has not come as far as the target epoch
// with the same instances in view, or nil. Another view would name other homes,
// which have not pinned their flows.
func (decider *Decider) lagging(service *service, reached func(ServiceState) EpochID) *member {
	target := service.target().ID
	for _, member := range decider.roster {
		if !member.alive {
			continue
		}
		state := member.services[service.hash]
		// One that is ahead has done all this for the target epoch already.
		if state.Active.Compare(target) >= 0 && state.AllPinned {
			continue
		}
		if reached(state).Compare(target) < 0 || state.ViewDigest != decider.viewDigest {
			return member
		}
	}
	return nil
}

// overtaken reports whether another instance opens flows by a newer epoch already.
func (decider *Decider) overtaken(service *service) bool {
	if service.active == nil {
		return false
	}
	for _, member := range decider.roster {
		if member.alive && member.services[service.hash].Active.Compare(service.active.ID) > 0 {
			return true
		}
	}
	return false
}

func (decider *Decider) activateWhenPrepared(service *service) {
	if service.staged == nil {
		return
	}
	first := len(service.epochs) == 1 // no flow can differ
	prepared := service.prepared == service.staged.ID &&
		decider.lagging(service, func(state ServiceState) EpochID { return state.Prepared }) == nil
	switch {
	case prepared || first:
		service.clean = true
		decider.activate(service, service.staged)
	case decider.now.Sub(service.stagedAt) >= service.staged.timeout():
		service.clean = false
		decider.counters.add(CountActivationTimeouts, 1)
		decider.event(EventActivationTimeout, "service", service.name, "epoch", service.staged.ID)
		decider.activate(service, service.staged)
	}
}

// timeout is how long the epoch may be staged.
func (epoch *epoch) timeout() time.Duration {
	if epoch.Urgent {
		return ActivationTimeout
	}
	return patientTimeout
}

func (decider *Decider) activate(service *service, epoch *epoch) {
	service.active = epoch
	if service.staged == epoch {
		service.staged = nil
	}
	if service.settled == nil {
		service.settled = epoch
	}
	service.activatedAt = decider.now
	service.generation++
	decider.touch(service)
	decider.counters.add(CountEpochsActivated, 1)
	decider.event(EventEpochActivated, "service", service.name, "epoch", epoch.ID)
}

// retire drops the epochs before the active one once it is active everywhere
// and every pin that it needs is known.
func (decider *Decider) retire(service *service) {
	if len(service.epochs) < 2 || service.active == nil || service.staged != nil || decider.unmerged > 0 {
		return
	}
	if service.prepared != service.active.ID {
		return
	}
	active := service.active.ID
	for _, member := range decider.roster {
		state := member.services[service.hash]
		done := state.Active.Compare(active) >= 0 && (service.clean || state.Prepared.Compare(active) >= 0)
		if member.alive && !done {
			return
		}
	}
	service.epochs = slices.DeleteFunc(slices.Clone(service.epochs), func(epoch *epoch) bool { return epoch.ID.Compare(active) < 0 })
	service.generation++
	service.clean = true
	decider.counters.add(CountEpochsRetired, 1)
}

// settleInForce records the sheet version that all services follow.
func (decider *Decider) settleInForce() {
	if decider.inForce == decider.sheetVersion {
		return
	}
	for _, service := range decider.catalogue {
		if service.listed && (service.active == nil || service.active.SheetDigest != service.basis) {
			return
		}
	}
	decider.inForce = decider.sheetVersion
	decider.heartbeatDue = true
	decider.event(EventSheetInForce, "version", decider.inForce)
}

// InForce returns the sheet version that this instance follows in every service.
func (decider *Decider) InForce() uint64 { return decider.inForce }
