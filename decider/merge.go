package decider

// resume puts an instance that was paused back to where a new one starts, with
// its flows kept as hints: its lease on deciding has lapsed unnoticed.
func (decider *Decider) resume() {
	decider.counters.add(CountPauses, 1)
	decider.event(EventPaused, "for", decider.now.Sub(decider.lastTick).String())
	decider.config.Incarnation++
	decider.integrated = false
	decider.integrateFrom = decider.now
	for _, member := range decider.roster {
		member.alive, member.handedOver, member.introduced = false, false, false
	}
	for _, service := range decider.catalogue {
		service.clean = false
		service.generation++
	}
	decider.rebuildView()
	decider.heartbeatDue = true
}

// integrate makes this instance act as a home once every live instance has handed over.
func (decider *Decider) integrate() {
	decider.countUnmerged()
	if decider.integrated || decider.unmerged > 0 || decider.behind() {
		return
	}
	alive := len(decider.walk) - 1
	if alive == 0 && decider.now.Sub(decider.integrateFrom) < startGrace {
		return
	}
	decider.integrated = true
	for _, service := range decider.catalogue {
		service.clean = service.clean || len(service.epochs) == 1
	}
	decider.heartbeatDue = true
	decider.event(EventIntegrated, "instances", alive+1)
	decider.rebuildView()
}

// countUnmerged finds the live instances whose pins have not arrived. One that
// was cut off has opened flows; one that just started has not.
func (decider *Decider) countUnmerged() {
	decider.unmerged, decider.merging = 0, false
	for _, member := range decider.roster {
		if !member.alive {
			continue
		}
		if !member.handedOver {
			decider.unmerged++
		}
		if member.merging && member.handedOver && decider.pinned(member) {
			member.merging = false
		}
		decider.merging = decider.merging || member.merging
	}
}

// behind reports whether another instance uses a newer epoch.
func (decider *Decider) behind() bool {
	for _, member := range decider.roster {
		for hash, state := range member.services {
			service := decider.services[hash]
			newer := service == nil || service.active == nil || state.Active.Compare(service.active.ID) > 0
			if member.alive && newer && state.Active != (EpochID{}) {
				return true
			}
		}
	}
	return false
}

// pinned reports whether a member has sent the pins that the active epochs need.
func (decider *Decider) pinned(member *member) bool {
	for _, service := range decider.catalogue {
		state := member.services[service.hash]
		if service.active != nil && (!state.AllPinned || state.Active.Compare(service.active.ID) < 0) {
			return false
		}
	}
	return true
}

// dark reports whether every listed instance of some failure domain is unheard:
// they may be cut off and open flows that nobody here can know.
func (decider *Decider) dark() bool {
	heard := map[string]bool{decider.config.Self.FailureDomain: true}
	for _, member := range decider.roster {
		heard[member.FailureDomain] = heard[member.FailureDomain] || member.alive
	}
	for _, member := range decider.roster {
		if member.listed && !heard[member.FailureDomain] {
			return true
		}
	}
	return false
}

// settle records, while nothing is in motion, the epochs on which all instances agree.
func (decider *Decider) settle() {
	if decider.missing() > 0 || decider.now.Sub(decider.viewChangedAt) < RetransmissionWindow {
		return
	}
	for _, service := range decider.catalogue {
		if decider.now.Sub(service.activatedAt) >= RetransmissionWindow {
			service.settled = service.active
		}
	}
}
