package relayer

import "time"

// A leader that does not answer is absent: it is left out of the ranking until it is heard of, so
// that the next instance of its failure domain leads. Instances that know the leaders only do not
// know which one that is, and leave nobody out.

// absenceTimeout is how long a leader may leave questions unanswered.
const absenceTimeout = 2 * ReadInterval

// recordQuestion notes that leaders were asked, and which of them are absent. If the next ones do
// not answer either, this instance is cut off, and they stay in the ranking. Answers that arrived after
// drained may wait in the socket. The mutex must be held.
func (relayer *Relayer) recordQuestion(leaders []Member, now, drained time.Time) {
	absent := 0
	for _, peer := range relayer.members {
		if peer.absent {
			absent++
		}
	}
	for _, leader := range leaders {
		peer := relayer.members[leader.Name]
		if !peer.askedAt.After(peer.receivedAt) {
			peer.askedAt = now
		}
		if relayer.hasReadMembers && absent < leadersPerDomain && drained.Sub(peer.askedAt) >= absenceTimeout {
			peer.absent = true
			absent++
		}
	}
	relayer.updateRank()
}

// askAbsent asks the absent leaders from time to time, so that those that are back are heard of.
func (relayer *Relayer) askAbsent(now time.Time) {
	relayer.mutex.Lock()
	if now.Sub(relayer.tree.askedAbsentAt) < membersReadInterval {
		relayer.mutex.Unlock()
		return
	}
	relayer.tree.askedAbsentAt = now
	var absent []Member
	for _, peer := range relayer.members {
		if peer.absent {
			absent = append(absent, peer.Member)
		}
	}
	questions := relayer.ask(absent, now)
	relayer.mutex.Unlock()
	relayer.send(questions)
}
