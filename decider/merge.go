package decider

// restartAfterPause puts an instance whose process was paused into the state of a new
// one, but keeps its flows as hints: during the pause its lease as a home expired, and
// other instances may have replaced it.
func (decider *Decider) restartAfterPause() {
	decider.counters.add(CountPauses, 1)
	decider.recordEvent(EventPaused, "for", decider.now.Sub(decider.lastTick).String())
	decider.config.Incarnation++
	decider.integrated = false
	decider.integrationStartedAt = decider.now
	for _, member := range decider.sortedMembers {
		member.reachable, member.handoverComplete, member.hasOurAddresses = false, false, false
	}
	for _, service := range decider.sortedServices {
		service.allPinned = false
		service.generation++
	}
	decider.rebuildView()
	decider.heartbeatDue = true
}

// integrateWhenReady makes this instance a home once all reachable instances have handed over
// and none uses a newer epoch, or after startupGracePeriod if none is reachable.
func (decider *Decider) integrateWhenReady() {
	decider.updateHandovers()
	if decider.integrated || decider.missingHandovers > 0 || decider.usesOlderEpoch() {
		return
	}
	others := len(decider.reachable) - 1
	if others == 0 && decider.now.Sub(decider.integrationStartedAt) < startupGracePeriod {
		return
	}
	decider.integrated = true
	for _, service := range decider.sortedServices {
		service.allPinned = service.allPinned || len(service.epochs) == 1
	}
	decider.heartbeatDue = true
	decider.recordEvent(EventIntegrated, "instances", others+1)
	decider.rebuildView()
}

// updateHandovers counts the reachable instances whose handover is not complete, and
// finds those whose pins are pending. An instance that was unreachable may have opened
// flows; one that just started has not.
func (decider *Decider) updateHandovers() {
	decider.missingHandovers, decider.pinsPending = 0, false
	for _, member := range decider.sortedMembers {
		if !member.reachable {
			continue
		}
		if !member.handoverComplete {
			decider.missingHandovers++
		}
		if member.pinsPending && member.handoverComplete && decider.hasSentPins(member) {
			member.pinsPending = false
		}
		decider.pinsPending = decider.pinsPending || member.pinsPending
	}
}

// usesOlderEpoch reports whether a reachable instance uses a newer epoch than this one.
func (decider *Decider) usesOlderEpoch() bool {
	for _, member := range decider.sortedMembers {
		for hash, state := range member.services {
			service := decider.services[hash]
			newer := service == nil || service.active == nil || state.Active.Compare(service.active.ID) > 0
			if member.reachable && newer && state.Active != (EpochID{}) {
				return true
			}
		}
	}
	return false
}

// hasSentPins reports whether a member has sent all pins that the active epochs need.
func (decider *Decider) hasSentPins(member *member) bool {
	for _, service := range decider.sortedServices {
		state := member.services[service.hash]
		if service.active != nil && (!state.AllPinned || state.Active.Compare(service.active.ID) < 0) {
			return false
		}
	}
	return true
}

// anyDomainUnreachable reports whether all instances of a failure domain with listed
// instances are unreachable. They may be partitioned off and open flows that no
// instance on this side knows.
func (decider *Decider) anyDomainUnreachable() bool {
	reachable := map[string]bool{decider.config.Self.FailureDomain: true}
	for _, member := range decider.sortedMembers {
		reachable[member.FailureDomain] = reachable[member.FailureDomain] || member.reachable
	}
	for _, member := range decider.sortedMembers {
		if member.listed && !reachable[member.FailureDomain] {
			return true
		}
	}
	return false
}

// recordAgreedEpochs records the active epochs as agreed by all instances, when no listed
// instance is unreachable and neither the view nor the epoch has changed within
// RetransmissionWindow.
func (decider *Decider) recordAgreedEpochs() {
	if decider.unreachableListed() > 0 || decider.now.Sub(decider.viewChangedAt) < RetransmissionWindow {
		return
	}
	for _, service := range decider.sortedServices {
		if decider.now.Sub(service.activatedAt) >= RetransmissionWindow {
			service.lastAgreed = service.active
		}
	}
}
