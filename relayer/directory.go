package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/ticker"
)

// register writes this instance into the list of members, where the reader finds it.
func (relayer *Relayer) register(ctx context.Context) {
	for ctx.Err() == nil {
		known := relayer.newestEra()
		era, err := relayer.source.Register(ctx, relayer.self)
		relayer.reportSourceCall(ctx, "register", err)
		if err == nil {
			relayer.recordRegistration(max(era, known))
			return
		}
		ticker.Sleep(ctx, 2*retryInterval)
	}
}

// fetchFromSeeds fetches a first view from the seeds until the view is complete, which the
// store usually achieves first. It does not ask the seeds of a new fleet, which start at the
// same time, before they have had time to save a first snapshot.
func (relayer *Relayer) fetchFromSeeds(ctx context.Context) {
	for {
		ticker.Sleep(ctx, retryInterval)
		if ctx.Err() != nil || relayer.viewer.Current().Complete() {
			return
		}
		if relayer.awaitsFirstSnapshot(time.Now()) {
			continue
		}
		relayer.mutex.Lock()
		seeds := relayer.seeds
		relayer.mutex.Unlock()
		for _, seed := range seeds {
			if seed != relayer.self.ControlAddress {
				relayer.fetch(ctx, Member{Name: seed.String(), ControlAddress: seed})
			}
		}
	}
}

// readMembers reads the list of members from the store, brings this instance's list up to
// date, and removes unresponsive members from both.
func (relayer *Relayer) readMembers(ctx context.Context) {
	members, err := relayer.source.Members(ctx)
	relayer.reportSourceCall(ctx, "members", err)
	if err != nil {
		return
	}
	now := time.Now()
	relayer.mutex.Lock()
	first := !relayer.hasReadMembers
	relayer.membersReadAt, relayer.hasReadMembers = now, true
	relayer.mutex.Unlock()
	relayer.addMembers(members, now)
	relayer.removeUnlisted(members, now)
	if first {
		relayer.announceToLeaders()
	}
	relayer.removeUnresponsive(ctx, relayer.network.Drained())
}

// addMembers adds the members that are not in the list yet.
func (relayer *Relayer) addMembers(members []Member, now time.Time) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, member := range members {
		if member.Name == relayer.self.Name {
			continue
		}
		if relayer.members[member.Name] == nil {
			relayer.members[member.Name] = &peer{Member: member, receivedAt: now}
		}
	}
	relayer.updateRank()
}

// removeUnlisted removes the members that are no longer listed in the store because another
// instance removed them there. A member that sent a heartbeat recently stays, as it may
// not have registered yet.
func (relayer *Relayer) removeUnlisted(listed []Member, now time.Time) {
	names := map[string]bool{}
	for _, member := range listed {
		names[member.Name] = true
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.mayHaveLostMembers(now) {
		return
	}
	for name, peer := range relayer.members {
		if !names[name] && now.Sub(peer.receivedAt) > membersReadInterval {
			delete(relayer.members, name)
		}
	}
	relayer.updateRank()
}

// unresponsiveFor returns for how long announcements to the peer have gone unanswered; any
// heartbeat from it counts as an answer.
func (peer *peer) unresponsiveFor(now time.Time) time.Duration {
	if !peer.unansweredSince.After(peer.receivedAt) {
		return 0
	}
	return now.Sub(peer.unansweredSince)
}

// removeUnresponsive removes the members of this failure domain that have been
// unresponsive for longer than memberTimeout, here and in the store. All answers that arrived before
// now have been received.
func (relayer *Relayer) removeUnresponsive(ctx context.Context, now time.Time) {
	var unresponsive []*peer
	relayer.mutex.Lock()
	for name, peer := range relayer.members {
		if peer.FailureDomain == relayer.self.FailureDomain && peer.unresponsiveFor(now) > memberTimeout && peer.unansweredCount >= minUnanswered {
			unresponsive = append(unresponsive, peer)
			delete(relayer.members, name)
		}
	}
	relayer.updateRank()
	relayer.mutex.Unlock()
	for _, peer := range unresponsive {
		relayer.observer.MemberLost(peer.Member, peer.unresponsiveFor(now))
		err := relayer.source.Remove(ctx, peer.Name)
		relayer.reportSourceCall(ctx, "remove", err)
	}
}
