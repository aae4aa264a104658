package decider

import "slices"

// shardsPerTick bounds how much of the flow table one tick scans.
const shardsPerTick = 16

// stage takes in an epoch that is newer than the active one.
func (decider *Decider) stage(wire Epoch) {
	service := decider.serviceNamed(wire.Service)
	if service.active != nil && wire.ID.Compare(service.active.ID) <= 0 {
		return
	}
	known := slices.ContainsFunc(service.epochs, func(epoch *epoch) bool { return epoch.ID == wire.ID })
	if known {
		return
	}
	added := service.newEpoch(decider, wire)
	service.epochs = append(service.epochs, added)
	slices.SortFunc(service.epochs, func(a, b *epoch) int { return a.ID.Compare(b.ID) })
	service.generation++
	if service.staged == nil || service.staged.ID.Compare(wire.ID) < 0 {
		service.staged = added
		service.stagedAt = decider.now
		service.scanCursor = 0
	}
	decider.touch(service)
	decider.event(EventEpochStaged, "service", service.name, "epoch", wire.ID)
}

// touch puts a service into the next heartbeats.
func (decider *Decider) touch(service *service) {
	service.changedAt = decider.now
	decider.heartbeatDue = true
}

// scan compares the next shards of the flow table with the staged epoch.
func (decider *Decider) scan(service *service) {
	if service.staged == nil || service.scanned == service.staged.ID || decider.orphanCursor < flowShards {
		return
	}
	for range shardsPerTick {
		if service.scanCursor >= flowShards {
			break
		}
		decider.scanShard(service, decider.flows.shards[service.scanCursor])
		service.scanCursor++
	}
	if service.scanCursor >= flowShards {
		decider.flushPins()
		service.scanned = service.staged.ID
		decider.touch(service)
	}
}

// scanShard pins the flows that the staged epoch would give to another backend
// server: to everybody those it is home of, to their home those the home may not know.
func (decider *Decider) scanShard(service *service, shard map[uint64]flow) {
	for key, flow := range shard {
		if flow.pinned || flow.state == closed || decider.servers[flow.server].service != service {
			continue
		}
		if picked := service.staged.pick(key); picked != nil && picked.id == flow.server {
			continue
		}
		home := decider.home(key)
		switch {
		case home == nil && decider.integrated:
			flow.pinned = true
			shard[key] = flow
			decider.broadcastPin(Pin{Flow: key, Server: flow.server})
			decider.counters.add(CountPinsSent, 1)
		case home != nil && flow.orphan:
			home.orphans = AppendPin(home.orphans, Pin{Flow: key, Server: flow.server})
			decider.pinsQueued = true
			decider.counters.add(CountOrphansSent, 1)
		}
	}
}

// advance moves every service as far along its staged epoch as the other instances allow.
func (decider *Decider) advance() {
	for _, service := range decider.catalogue {
		decider.prepare(service)
		decider.activateWhenReady(service)
		decider.retire(service)
	}
	decider.settleInForce()
}

func (decider *Decider) prepare(service *service) {
	if service.staged == nil || service.scanned != service.staged.ID || service.prepared == service.staged.ID {
		return
	}
	if !decider.allReached(service, func(state ServiceState) EpochID { return state.Scanned }) {
		return
	}
	decider.flushPins()
	service.prepared = service.staged.ID
	decider.touch(service)
}

func (decider *Decider) activateWhenReady(service *service) {
	if service.staged == nil || service.prepared != service.staged.ID {
		return
	}
	if decider.allReached(service, func(state ServiceState) EpochID { return state.Prepared }) {
		decider.activate(service, service.staged)
	}
}

// allReached reports whether every live instance has come as far as the staged
// epoch, or the time allowed for that is over.
func (decider *Decider) allReached(service *service, reached func(ServiceState) EpochID) bool {
	for _, member := range decider.roster {
		if !member.alive || reached(member.services[service.hash]).Compare(service.staged.ID) >= 0 {
			continue
		}
		if decider.now.Sub(service.stagedAt) < ActivationTimeout {
			return false
		}
		decider.counters.add(CountActivationTimeouts, 1)
		decider.event(EventActivationTimeout, "service", service.name, "instance", member.Name)
	}
	return true
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

// retire drops the epochs that no live instance uses any more.
func (decider *Decider) retire(service *service) {
	if service.active == nil || len(service.epochs) < 2 {
		return
	}
	lowest := service.active.ID
	for _, member := range decider.roster {
		if !member.alive {
			continue
		}
		if active := member.services[service.hash].Active; active.Compare(lowest) < 0 {
			lowest = active
		}
	}
	kept := slices.DeleteFunc(slices.Clone(service.epochs), func(epoch *epoch) bool { return epoch.ID.Compare(lowest) < 0 })
	if len(kept) < len(service.epochs) {
		service.epochs = kept
		service.generation++
	}
}

// settleInForce records the sheet version that all services follow.
func (decider *Decider) settleInForce() {
	if decider.inForce == decider.sheetVersion {
		return
	}
	for _, service := range decider.catalogue {
		if service.listed && (service.active == nil || service.active.Basis != service.basis) {
			return
		}
	}
	decider.inForce = decider.sheetVersion
	decider.heartbeatDue = true
	decider.event(EventSheetInForce, "version", decider.inForce)
}

// InForce returns the sheet version that this instance follows in every service.
func (decider *Decider) InForce() uint64 { return decider.inForce }
