package relayer

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
)

// signExchanger decides which servers are silent from signs that it exchanges with the other
// instances; detector.Detector implements it.
type signExchanger interface {
	// Sweep forgets what is too old, and reports whether Next may return messages.
	Sweep(now time.Time) bool
	// Next returns the messages that are due; every message that arrived before drained has been received.
	Next(place detector.Place, now, drained time.Time) []detector.Outgoing
	// Receive processes a message of another instance, which did not arrive before sentBy, and returns
	// the answer to it.
	Receive(from string, message *detector.Message, sameDomain bool, place detector.Place, sentBy, now time.Time) detector.Message
	// Forget drops what a paused process can no longer rely on.
	Forget()
}

// SetDetector sets the detector whose messages the relayer carries; it has to be set before Run.
func (relayer *Relayer) SetDetector(exchanger signExchanger) { relayer.signs = exchanger }

// place returns the instance's place in the fleet. The mutex must be held.
func (relayer *Relayer) place() detector.Place {
	place := detector.Place{IsLeader: relayer.schedule.isLeader, DomainInstances: 1}
	for _, peer := range relayer.members {
		if !peer.leaving && peer.FailureDomain == relayer.self.FailureDomain {
			place.DomainInstances++
		}
	}
	if servers := relayer.viewer.Current().Servers; servers != nil {
		place.Servers = len(servers.List)
	}
	return place
}

// sendSigns sends the signs of servers that are due.
func (relayer *Relayer) sendSigns(now, drained time.Time) {
	if relayer.signs == nil {
		return
	}
	if relayer.justResumed(now) {
		relayer.signs.Forget()
		return
	}
	if !relayer.signs.Sweep(now) {
		return
	}
	relayer.mutex.Lock()
	place := relayer.place()
	relayer.mutex.Unlock()
	for _, outgoing := range relayer.signs.Next(place, now, drained) {
		relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.ServerSigns = &outgoing.Message }, now, func(member Member, position int) bool {
			sameDomain, isLeader := member.FailureDomain == relayer.self.FailureDomain, position < leadersPerDomain
			switch outgoing.Audience {
			case detector.Leaders:
				return sameDomain && isLeader
			case detector.Domain:
				return sameDomain
			default:
				return sameDomain || isLeader
			}
		})
	}
}

// receiveSigns processes the signs of servers in a heartbeat, and answers its sender. Just after
// a pause they may have waited in the socket.
func (relayer *Relayer) receiveSigns(heartbeat Heartbeat, now time.Time) {
	if relayer.signs == nil || heartbeat.ServerSigns == nil || relayer.justResumed(now) {
		return
	}
	relayer.mutex.Lock()
	place := relayer.place()
	relayer.mutex.Unlock()
	sender := heartbeat.Sender
	answer := relayer.signs.Receive(sender.Name, heartbeat.ServerSigns, sender.FailureDomain == relayer.self.FailureDomain, place, relayer.network.Drained(), now)
	if len(answer.Alive)+len(answer.Answered) == 0 {
		return
	}
	relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.ServerSigns = &answer }, now, func(member Member, _ int) bool {
		return member.Name == sender.Name
	})
}
