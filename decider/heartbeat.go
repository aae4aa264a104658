package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/picker"
)

func (decider *Decider) sendHeartbeats() {
	decider.beats++
	heartbeat := decider.heartbeat()
	for _, member := range decider.roster {
		if !member.alive && !member.listed && decider.now.Sub(member.lastSent) < deadPeerInterval {
			continue
		}
		copied := heartbeat
		if !member.introduced || decider.beats%regularInterval == 0 {
			copied.Self = &decider.config.Self
		}
		member.lastSent = decider.now
		message := Message{Heartbeat: &copied}
		if member.alive {
			message.Pins, message.Flows = member.unpins, member.flows // which can wait
			member.unpins, member.flows = nil, nil
		}
		decider.send(member, message)
	}
}

func (decider *Decider) heartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Incarnation:  decider.config.Incarnation,
		Leaving:      decider.leaving,
		Gone:         decider.gone,
		Integrated:   decider.integrated,
		SheetVersion: decider.sheetVersion,
		InForce:      decider.InForce(),
	}
	if decider.beats%digestInterval == 0 {
		heartbeat.Digest = decider.digest()
	}
	for _, service := range decider.catalogue {
		if len(service.epochs) > 1 || decider.now.Sub(service.changedAt) < recentChange {
			heartbeat.Services = append(heartbeat.Services, decider.state(service))
		}
	}
	return heartbeat
}

func (decider *Decider) state(service *service) ServiceState {
	state := ServiceState{Service: service.hash, Clean: service.clean && !service.behind, View: decider.viewDigest, Scanned: service.scanned, Prepared: service.prepared}
	if service.active != nil {
		state.Active = service.active.ID
	}
	if newest := service.newest(); newest != nil {
		state.Held = newest.ID
	}
	return state
}

// digest folds the active epochs of all services into one word.
func (decider *Decider) digest() uint64 {
	var folded uint64
	for _, service := range decider.catalogue {
		if service.active == nil {
			continue
		}
		id := service.active.ID
		folded ^= picker.Hash(service.hash, picker.Hash(id.SheetVersion, uint64(id.Revision)<<32|uint64(id.Owner)))
	}
	return folded
}

// receiveHeartbeat takes in what another instance says of itself.
func (decider *Decider) receiveHeartbeat(member *member, heartbeat *Heartbeat) {
	if heartbeat.Incarnation < member.incarnation {
		decider.counters.add(CountStaleIncarnation, 1)
		return
	}
	fresh := !member.alive || heartbeat.Incarnation != member.incarnation
	viewFields := [...]bool{member.alive, member.leaving, member.integrated}
	member.incarnation = heartbeat.Incarnation
	member.alive = true
	member.leaving = heartbeat.Leaving
	if heartbeat.Gone {
		decider.lose(member)
		decider.rebuildView()
		return
	}
	member.integrated = heartbeat.Integrated
	member.sheetVersion = heartbeat.SheetVersion
	member.inForce = heartbeat.InForce
	if heartbeat.Digest != 0 {
		member.digest = heartbeat.Digest
	}
	for _, state := range heartbeat.Services {
		member.services[state.Service] = state
		decider.adoptActive(state)
	}
	if fresh {
		decider.greet(member)
	}
	decider.countUnmerged()
	if fresh || viewFields != [...]bool{member.alive, member.leaving, member.integrated} {
		decider.rebuildView()
	}
	decider.shareSheet(member)
	decider.repair(member)
	decider.advance()
}

// greet hands over to an instance that is new, restarted or heard again.
func (decider *Decider) greet(member *member) {
	member.handedOver = false
	member.introduced = false
	member.merging = member.integrated
	member.joined = decider.now
	member.services = map[uint64]ServiceState{}
	member.lastSheetSent = 0
	decider.counters.add(CountMembersJoined, 1)
	decider.event(EventMemberJoined, "instance", member.Name)
	heartbeat := decider.heartbeat()
	heartbeat.Self = &decider.config.Self
	decider.send(member, Message{Heartbeat: &heartbeat})
	decider.sendState(member)
	decider.sendPins(member)
	decider.send(member, Message{Handover: &Handover{Done: member.incarnation}})
}

// sendState sends the known instances, the epochs and the sheet's state of every service.
func (decider *Decider) sendState(to *member) {
	handover := &Handover{}
	for _, member := range decider.roster {
		if member.alive && member != to {
			handover.Members = append(handover.Members, member.Instance)
		}
	}
	for _, service := range decider.catalogue {
		handover.Services = append(handover.Services, decider.state(service))
		for _, epoch := range service.epochs {
			handover.Epochs = append(handover.Epochs, epoch.Epoch)
		}
	}
	decider.send(to, Message{Handover: handover})
}

// sendPins sends the pins that this instance is, or was of late, home of: the
// instances that it greets one after another change its view.
func (decider *Decider) sendPins(to *member) {
	for i := range decider.flows.shards {
		decider.flows.shards[i].each(func(key uint64, flow *flow) bool {
			if flow.pinned && flow.state != closed && decider.wasHome(key) {
				decider.counters.add(CountPinsToJoiners, 1)
				decider.queuePin(to, Pin{Flow: key, Server: flow.server})
			}
			return true
		})
	}
	decider.flushMember(to)
}

// receiveHandover takes in what an instance sends to one that joined.
func (decider *Decider) receiveHandover(member *member, handover *Handover) {
	for _, instance := range handover.Members {
		decider.addMember(instance)
	}
	for _, wire := range handover.Epochs {
		decider.stage(wire)
	}
	for _, state := range handover.Services {
		member.services[state.Service] = state
		decider.adoptActive(state)
	}
	if handover.Done == decider.config.Incarnation {
		member.handedOver = true
		member.introduced = true
		decider.rebuildView()
	}
	decider.advance()
}

// adoptActive lets an instance that decides nothing yet take the epoch that another uses.
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

// shareSheet sends the sheet to an instance that has an older one.
func (decider *Decider) shareSheet(member *member) {
	if member.sheetVersion >= decider.sheetVersion || member.lastSheetSent >= decider.sheetVersion {
		return
	}
	// One instance would do; the next in rank helps when the first is cut off.
	if !decider.mayShare(member) {
		return
	}
	member.lastSheetSent = decider.sheetVersion
	decider.counters.add(CountSheetsShared, 1)
	decider.send(member, Message{Sheet: &SheetUpdate{Version: decider.sheetVersion, Content: decider.sheetContent}})
}

// mayShare reports whether this instance is among the first two that hold the sheet, in the order of the receiver's ranks.
func (decider *Decider) mayShare(to *member) bool {
	better := 0
	own := picker.Hash(to.hash, decider.selfHash)
	for _, member := range decider.roster {
		holds := member.alive && member.sheetVersion >= decider.sheetVersion
		if holds && member != to && picker.Hash(to.hash, member.hash) > own {
			better++
		}
	}
	return better < sheetSenders
}

const sheetSenders = 2

// repairAfter is how long epochs may differ before the whole state is sent.
const repairAfter = 6 * time.Second

// repair sends the whole state to an instance whose epochs stay different.
func (decider *Decider) repair(member *member) {
	if member.digest == decider.digest() {
		member.differsSince = decider.now
		return
	}
	if decider.now.Sub(member.differsSince) < repairAfter {
		return
	}
	member.differsSince = decider.now
	decider.counters.add(CountRepairs, 1)
	decider.sendState(member)
}
