package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/picker"
)

// sendHeartbeats sends a heartbeat to all other instances, with the unpins and flows queued for
// them; one that is unlisted and unreachable gets it less often.
func (decider *Decider) sendHeartbeats() {
	decider.heartbeatCount++
	heartbeat := decider.newHeartbeat()
	for _, member := range decider.sortedMembers {
		if !member.reachable && !member.listed && decider.now.Sub(member.lastHeartbeatSent) < unreachableHeartbeatInterval {
			continue
		}
		copied := heartbeat
		if !member.hasOurAddresses || decider.heartbeatCount%heartbeatsPerAddresses == 0 {
			copied.Self = &decider.config.Self
		}
		member.lastHeartbeatSent = decider.now
		message := Message{Heartbeat: &copied}
		if member.reachable {
			message.Pins, message.Flows = member.queuedUnpins, member.queuedFlows // not urgent, so they wait for a heartbeat
			member.queuedUnpins, member.queuedFlows = nil, nil
		}
		decider.send(member, message)
	}
}

func (decider *Decider) newHeartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Incarnation:  decider.config.Incarnation,
		Leaving:      decider.leaving,
		Stopped:      decider.stopped,
		Integrated:   decider.integrated,
		SheetVersion: decider.sheetVersion,
		InForce:      decider.InForce(),
	}
	if decider.heartbeatCount%heartbeatsPerDigest == 0 {
		heartbeat.ActiveDigest = decider.activeDigest()
	}
	for _, service := range decider.sortedServices {
		if len(service.epochs) > 1 || decider.now.Sub(service.changedAt) < stateRepeatPeriod {
			heartbeat.Services = append(heartbeat.Services, decider.serviceState(service))
		}
	}
	return heartbeat
}

func (decider *Decider) serviceState(service *service) ServiceState {
	state := ServiceState{Service: service.hash, AllPinned: service.allPinned && !service.behind, ViewDigest: decider.viewDigest, Scanned: service.scanned, Prepared: service.prepared}
	if service.active != nil {
		state.Active = service.active.ID
	}
	if newest := service.newestEpoch(); newest != nil {
		state.Newest = newest.ID
	}
	return state
}

// activeDigest combines the IDs of all services' active epochs into one word. It is compared
// with other instances' to find lost updates.
func (decider *Decider) activeDigest() uint64 {
	var digest uint64
	for _, service := range decider.sortedServices {
		if service.active == nil {
			continue
		}
		id := service.active.ID
		digest ^= picker.Hash(service.hash, picker.Hash(id.SheetVersion, uint64(id.Revision)<<32|uint64(id.Owner)))
	}
	return digest
}

// receiveHeartbeat updates a member from its heartbeat.
func (decider *Decider) receiveHeartbeat(member *member, heartbeat *Heartbeat) {
	if heartbeat.Incarnation < member.incarnation {
		decider.counters.add(CountStaleIncarnation, 1)
		return
	}
	joined := !member.reachable || heartbeat.Incarnation != member.incarnation
	viewInputs := [...]bool{member.reachable, member.leaving, member.integrated}
	member.incarnation = heartbeat.Incarnation
	member.reachable = true
	member.leaving = heartbeat.Leaving
	if heartbeat.Stopped {
		decider.markUnreachable(member)
		decider.rebuildView()
		return
	}
	member.integrated = heartbeat.Integrated
	member.sheetVersion = heartbeat.SheetVersion
	member.inForce = heartbeat.InForce
	if heartbeat.ActiveDigest != 0 {
		member.activeDigest = heartbeat.ActiveDigest
	}
	for _, state := range heartbeat.Services {
		member.services[state.Service] = state
		decider.adoptActive(state)
	}
	if joined {
		decider.startHandover(member)
	}
	decider.updateHandovers()
	if joined || viewInputs != [...]bool{member.reachable, member.leaving, member.integrated} {
		decider.rebuildView()
	}
	decider.shareSheet(member)
	decider.repair(member)
	decider.advanceEpochs()
}

// startHandover sends to an instance that is new, restarted or reachable again everything that it
// needs.
func (decider *Decider) startHandover(member *member) {
	member.handoverComplete = false
	member.hasOurAddresses = false
	member.pinsPending = member.integrated
	member.joinedAt = decider.now
	member.services = map[uint64]ServiceState{}
	member.sentSheetVersion = 0
	decider.counters.add(CountMembersJoined, 1)
	decider.recordEvent(EventMemberJoined, "instance", member.Name)
	heartbeat := decider.newHeartbeat()
	heartbeat.Self = &decider.config.Self
	decider.send(member, Message{Heartbeat: &heartbeat})
	decider.sendSnapshot(member)
	decider.sendHomePins(member)
	decider.send(member, Message{Handover: &Handover{CompleteFor: member.incarnation}})
}

// sendSnapshot sends the reachable instances, and the epochs and the state of every service.
func (decider *Decider) sendSnapshot(to *member) {
	handover := &Handover{}
	for _, member := range decider.sortedMembers {
		if member.reachable && member != to {
			handover.Members = append(handover.Members, member.Instance)
		}
	}
	for _, service := range decider.sortedServices {
		handover.Services = append(handover.Services, decider.serviceState(service))
		for _, epoch := range service.epochs {
			handover.Epochs = append(handover.Epochs, epoch.Epoch)
		}
	}
	decider.send(to, Message{Handover: handover})
}

// sendHomePins sends the pins of the flows that this instance is, or recently was, home of.
// Those that it recently was home of are included because the view changes with each
// instance that becomes reachable.
func (decider *Decider) sendHomePins(to *member) {
	for i := range decider.flows.shards {
		decider.flows.shards[i].forEach(func(key uint64, flow *flow) bool {
			if flow.pinned && flow.state != closed && decider.isOrWasHome(key) {
				decider.counters.add(CountPinsToJoiners, 1)
				decider.queuePin(to, Pin{Flow: key, Server: flow.serverID})
			}
			return true
		})
	}
	decider.flushMemberPins(to)
}

// receiveHandover applies the state that another instance hands over to this one.
func (decider *Decider) receiveHandover(member *member, handover *Handover) {
	for _, instance := range handover.Members {
		decider.addMember(instance)
	}
	for _, wire := range handover.Epochs {
		decider.stageEpoch(wire)
	}
	for _, state := range handover.Services {
		member.services[state.Service] = state
		decider.adoptActive(state)
	}
	if handover.CompleteFor == decider.config.Incarnation {
		member.handoverComplete = true
		member.hasOurAddresses = true
		decider.rebuildView()
	}
	decider.advanceEpochs()
}

// adoptActive activates the epoch that another instance uses, while this one is not
// integrated and opens no flows.
func (decider *Decider) adoptActive(state ServiceState) {
	service := decider.services[state.Service]
	if service == nil || decider.integrated {
		return
	}
	if service.active != nil && state.Active.Compare(service.active.ID) <= 0 {
		return
	}
	for _, epoch := range service.epochs {
		if epoch.ID == state.Active {
			decider.activate(service, epoch)
			return
		}
	}
}

// shareSheet sends the sheet to an instance that has an older version.
func (decider *Decider) shareSheet(member *member) {
	if member.sheetVersion >= decider.sheetVersion || member.sentSheetVersion >= decider.sheetVersion {
		return
	}
	// One sender is enough; the second covers a first that cannot reach the receiver.
	if !decider.isSheetSender(member) {
		return
	}
	member.sentSheetVersion = decider.sheetVersion
	decider.counters.add(CountSheetsShared, 1)
	decider.send(member, Message{Sheet: &SheetUpdate{Version: decider.sheetVersion, Content: decider.sheetContent}})
}

// isSheetSender reports whether this instance ranks first or second, by rendezvous score for the
// receiver, among those that have the sheet.
func (decider *Decider) isSheetSender(to *member) bool {
	better := 0
	own := picker.Hash(to.hash, decider.selfHash)
	for _, member := range decider.sortedMembers {
		hasSheet := member.reachable && member.sheetVersion >= decider.sheetVersion
		if hasSheet && member != to && picker.Hash(to.hash, member.hash) > own {
			better++
		}
	}
	return better < maxSheetSenders
}

const maxSheetSenders = 2

// repairDelay is how long active epochs may differ before the whole state is sent.
const repairDelay = 6 * time.Second

// repair sends the whole state to an instance whose active epochs remain different.
func (decider *Decider) repair(member *member) {
	if member.activeDigest == decider.activeDigest() {
		member.differsSince = decider.now
		return
	}
	if decider.now.Sub(member.differsSince) < repairDelay {
		return
	}
	member.differsSince = decider.now
	decider.counters.add(CountRepairs, 1)
	decider.sendSnapshot(member)
}
