package decider

import (
	"slices"
	"time"
)

// An epoch goes through four steps on every instance:
//
//	staged     the instance has received the epoch
//	scanned    it has reported to the homes the flows that they may not know and on which the epoch differs
//	prepared   all reachable instances have scanned, and this one, as home, has pinned the flows on which the epoch differs
//	active     all reachable instances are prepared; homes open new flows by the epoch
//
// An epoch differs on a flow if it picks another backend server than the one that
// the flow is on. Once the epoch is active on all instances, older ones are
// retired. A flow without a pin is then on the backend server that the active
// epoch picks.
//
// When more flows need pins than the pin budget allows, an urgent epoch is activated
// after ActivationTimeout, and any other after nonUrgentActivationTimeout, without
// all pins. Until all instances are prepared, allPinned is then false for the
// service: packets of flows for which the epochs in use pick different backend
// servers are relayed to the home of the flow.

// stageEpoch adds a received or proposed epoch if it is newer than the active one.
func (decider *Decider) stageEpoch(wire Epoch) {
	service := decider.serviceNamed(wire.Service)
	if service.active != nil && wire.ID.Compare(service.active.ID) <= 0 {
		return
	}
	if !decider.addEpoch(service, wire) {
		return
	}
	newest := service.newestEpoch()
	if service.staged == nil || service.staged.ID.Compare(newest.ID) < 0 {
		service.staged = newest
		service.stagedAt = decider.now
	}
	decider.recordEvent(EventEpochStaged, "service", service.name, "epoch", wire.ID)
}

// addEpoch adds an epoch to those in use and reports whether it was new.
func (decider *Decider) addEpoch(service *service, wire Epoch) bool {
	known := slices.ContainsFunc(service.epochs, func(epoch *epoch) bool { return epoch.ID == wire.ID })
	if known {
		return false
	}
	service.epochs = append(service.epochs, service.newEpoch(decider, wire))
	slices.SortFunc(service.epochs, func(a, b *epoch) int { return a.ID.Compare(b.ID) })
	service.generation++
	service.restartScan()
	decider.announceState(service)
	return true
}

// restartScan makes the instance go through the steps of the target epoch again.
func (service *service) restartScan() {
	service.scanCursor = 0
	service.scanned, service.prepared = EpochID{}, EpochID{}
}

// announceState sends the state of a service in a heartbeat at once: the longer an
// epoch is staged, the more openings need pins.
func (decider *Decider) announceState(service *service) {
	service.changedAt = decider.now
	decider.heartbeatDue = true
}

// targetEpoch returns the epoch with which the flow table is compared.
func (service *service) targetEpoch() *epoch {
	if service.staged != nil {
		return service.staged
	}
	return service.active
}

// advanceEpochs activates and retires epochs as far as the other instances' progress allows.
func (decider *Decider) advanceEpochs() {
	for _, service := range decider.sortedServices {
		service.behind = decider.isOvertaken(service)
		decider.activateWhenPrepared(service)
		decider.retireEpochs(service)
	}
	decider.updateInForce()
}

// scanFlows compares the next shards of the flow table with the target epoch. The first
// pass reports flows that their homes may not know, the second pins flows.
func (decider *Decider) scanFlows(service *service) {
	target := service.targetEpoch()
	if len(service.epochs) < 2 || target == nil || service.prepared == target.ID || decider.orphanCursor < flowShards {
		return
	}
	pinning := service.scanned == target.ID
	if pinning && decider.laggingMember(service, func(state ServiceState) EpochID { return state.Scanned }) != nil {
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
	for _, member := range decider.sortedMembers {
		decider.flushMemberFlows(member)
	}
	service.scanCursor = 0
	if pinning {
		service.prepared = target.ID
	} else {
		service.scanned = target.ID
	}
	decider.announceState(service)
}

// scanShard pins or reports the flows of a shard for which the target epoch picks
// another backend server. It returns false if the pin budget ran out before the end.
func (decider *Decider) scanShard(service *service, target *epoch, shard *flowShard, pinning bool) bool {
	finished := true
	shard.forEach(func(key uint64, flow *flow) bool {
		if flow.differsFrom(decider, service, target, key) {
			finished = decider.pinOrReportFlow(service, key, flow, pinning)
		}
		return finished
	})
	return finished
}

// differsFrom reports whether the target epoch picks another backend server for a
// flow that is not pinned. An opening is left out: it is pinned when it is accepted.
func (flow *flow) differsFrom(decider *Decider, service *service, target *epoch, key uint64) bool {
	if flow.pinned || flow.state == closed || flow.state == opening || decider.servers[flow.serverID].service != service {
		return false
	}
	picked := target.pick(key)
	return picked == nil || picked.id != flow.serverID
}

// pinOrReportFlow pins a flow if this instance is its home, or reports it to a home
// that may not know it. It returns false if the pin budget does not allow that.
func (decider *Decider) pinOrReportFlow(service *service, key uint64, flow *flow, pinning bool) bool {
	home := decider.lastKnownHome(key)
	switch {
	case pinning && decider.isHome(key):
		if !decider.reservePinBudget(service, len(decider.reachable)-1) {
			return false
		}
		decider.pinFlow(key, flow)
		decider.counters.add(CountPinsSent, 1)
	case !pinning && flow.orphan && home != nil:
		if !decider.reservePinBudget(service, 1) {
			return false
		}
		flow.orphan = false
		home.queuedFlows = AppendPin(home.queuedFlows, Pin{Flow: key, Server: flow.serverID})
		decider.counters.add(CountOrphansSent, 1)
	}
	return true
}

// spansSheetVersions reports whether the epochs in use come from different versions of
// the service's rows in the sheet.
func (service *service) spansSheetVersions() bool {
	return service.epochs[0].SheetDigest != service.newestEpoch().SheetDigest
}

// reservePinBudget takes the bytes of a pin to the given number of instances from
// the budget, and reports whether it allows them. A new version of the sheet may
// overdraw it, which delays the pins of later changes of weights.
func (decider *Decider) reservePinBudget(service *service, instances int) bool {
	bytes := pinLength * max(1, instances)
	if service.spansSheetVersions() && decider.pinBudget.TokensAt(decider.now) > -maxPinDebt {
		decider.pinBudget.ReserveN(decider.now, bytes)
		return true
	}
	return decider.pinBudget.AllowN(decider.now, bytes)
}

// laggingMember returns a reachable instance whose progress is behind the target
// epoch or was made under another view, or nil. Under another view flows have other
// homes, which have not pinned them.
func (decider *Decider) laggingMember(service *service, progress func(ServiceState) EpochID) *member {
	target := service.targetEpoch().ID
	for _, member := range decider.sortedMembers {
		if !member.reachable {
			continue
		}
		state := member.services[service.hash]
		// An instance that has the target epoch or a newer one active with all pins is done.
		if state.Active.Compare(target) >= 0 && state.AllPinned {
			continue
		}
		if progress(state).Compare(target) < 0 || state.ViewDigest != decider.viewDigest {
			return member
		}
	}
	return nil
}

// isOvertaken reports whether another instance already opens flows by a newer epoch.
func (decider *Decider) isOvertaken(service *service) bool {
	if service.active == nil {
		return false
	}
	for _, member := range decider.sortedMembers {
		if member.reachable && member.services[service.hash].Active.Compare(service.active.ID) > 0 {
			return true
		}
	}
	return false
}

// activateWhenPrepared activates the staged epoch once all reachable instances are prepared, or
// without all pins after its timeout.
func (decider *Decider) activateWhenPrepared(service *service) {
	if service.staged == nil {
		return
	}
	onlyEpoch := len(service.epochs) == 1 // no flow can differ
	prepared := service.prepared == service.staged.ID &&
		decider.laggingMember(service, func(state ServiceState) EpochID { return state.Prepared }) == nil
	switch {
	case prepared || onlyEpoch:
		service.allPinned = true
		decider.activate(service, service.staged)
	case decider.now.Sub(service.stagedAt) >= service.staged.activationTimeout():
		service.allPinned = false
		decider.counters.add(CountActivationTimeouts, 1)
		decider.recordEvent(EventActivationTimeout, "service", service.name, "epoch", service.staged.ID)
		decider.activate(service, service.staged)
	}
}

// activationTimeout returns how long the epoch may be staged before it is activated without all pins.
func (epoch *epoch) activationTimeout() time.Duration {
	if epoch.Urgent {
		return ActivationTimeout
	}
	return nonUrgentActivationTimeout
}

func (decider *Decider) activate(service *service, epoch *epoch) {
	service.active = epoch
	if service.staged == epoch {
		service.staged = nil
	}
	if service.lastAgreed == nil {
		service.lastAgreed = epoch
	}
	service.activatedAt = decider.now
	service.generation++
	decider.announceState(service)
	decider.counters.add(CountEpochsActivated, 1)
	decider.recordEvent(EventEpochActivated, "service", service.name, "epoch", epoch.ID)
}

// retireEpochs removes the epochs before the active one once that is active on all
// reachable instances and all pins that it needs have been received.
func (decider *Decider) retireEpochs(service *service) {
	if len(service.epochs) < 2 || service.active == nil || service.staged != nil || decider.missingHandovers > 0 {
		return
	}
	if service.prepared != service.active.ID {
		return
	}
	active := service.active.ID
	for _, member := range decider.sortedMembers {
		state := member.services[service.hash]
		done := state.Active.Compare(active) >= 0 && (service.allPinned || state.Prepared.Compare(active) >= 0)
		if member.reachable && !done {
			return
		}
	}
	service.epochs = slices.DeleteFunc(slices.Clone(service.epochs), func(epoch *epoch) bool { return epoch.ID.Compare(active) < 0 })
	service.generation++
	service.allPinned = true
	decider.counters.add(CountEpochsRetired, 1)
}

// updateInForce records the current sheet version once all services follow it.
func (decider *Decider) updateInForce() {
	if decider.inForce == decider.sheetVersion {
		return
	}
	for _, service := range decider.sortedServices {
		if service.listed && (service.active == nil || service.active.SheetDigest != service.sheetDigest) {
			return
		}
	}
	decider.inForce = decider.sheetVersion
	decider.heartbeatDue = true
	decider.recordEvent(EventSheetInForce, "version", decider.inForce)
}

// InForce returns the sheet version that this instance follows in every service.
func (decider *Decider) InForce() uint64 { return decider.inForce }
