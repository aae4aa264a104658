package relayer

import "time"

// An instance that gets its announcements through relays and hears none for missedAfter asks the
// leaders of its failure domain, which answer. So a dead relay does not make its group read the
// store.

const (
	// missedAfter is the silence after which an announcement counts as missed: longer than it
	// takes until another leader reads the store, and short enough for an answer before this
	// instance does.
	missedAfter = ReadInterval + 400*time.Millisecond
	// missedSpread is the additional silence of the last instance.
	missedSpread = 200 * time.Millisecond
)

// askAfterMiss asks the leaders if an announcement was missed, once per ReadInterval. All announcements
// that arrived before drained have been received.
func (relayer *Relayer) askAfterMiss(now, drained time.Time) {
	relayer.mutex.Lock()
	silence := drained.Sub(relayer.tree.heardAt)
	patience := missedAfter + time.Duration(relayer.schedule.spread*float64(missedSpread))
	mayAsk := relayer.tree.used && !relayer.schedule.isLeader && !relayer.leaving
	if !mayAsk || silence < patience || now.Sub(relayer.tree.askedAt) < ReadInterval {
		relayer.mutex.Unlock()
		return
	}
	relayer.tree.askedAt = now
	leaders := relayer.domainLeaders()
	questions := relayer.ask(leaders, now)
	relayer.recordQuestion(leaders, now, drained)
	relayer.mutex.Unlock()
	relayer.observer.AnnouncementMissed(silence)
	relayer.send(questions)
}

// ask returns the datagrams that ask members for an answer. The mutex must be held.
func (relayer *Relayer) ask(members []Member, now time.Time) []datagram {
	if len(members) == 0 {
		return nil
	}
	heartbeat := relayer.newHeartbeat(now, false)
	heartbeat.Asks = true
	content := encode(heartbeat)
	datagrams := make([]datagram, 0, len(members))
	for _, member := range members {
		datagrams = append(datagrams, datagram{to: member.PeerAddress, content: content})
	}
	return datagrams
}

// domainLeaders returns the other leaders of this failure domain. The mutex must be held.
func (relayer *Relayer) domainLeaders() []Member {
	var leaders []Member
	sorted, positions := rankMembers(relayer.activeMembers())
	for _, member := range sorted {
		if member.Name != relayer.self.Name && member.FailureDomain == relayer.self.FailureDomain && positions[member.Name] < leadersPerDomain {
			leaders = append(leaders, member)
		}
	}
	return leaders
}

// answerIfNeeded answers an instance that missed an announcement, or whose view is not confirmed
// yet if this instance's view is.
func (relayer *Relayer) answerIfNeeded(heartbeat Heartbeat, now time.Time) {
	if heartbeat.Asks {
		relayer.doubtRelay(heartbeat.Sender.Name, now)
	}
	isStarting := heartbeat.Age == unknownAge && !heartbeat.IsAnswer
	if heartbeat.Asks || isStarting && relayer.Age(now) < heartbeat.Age {
		relayer.answer(heartbeat.Sender, minAnswerInterval, now)
	}
}

// doubtRelay excludes the relay that had to pass the last announcement on to a member, unless it
// was heard of since.
func (relayer *Relayer) doubtRelay(name string, now time.Time) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	member := relayer.members[name]
	if member == nil {
		return
	}
	if relay := relayer.members[member.relay]; relay != nil && relay.receivedAt.Before(member.relayedAt) {
		relay.doubtedAt = now
	}
}
