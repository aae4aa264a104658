package relayer

import (
	"context"
	"time"

	"github.com/pimentowind/pimentowind/ticker"
)

// register writes this instance into the list of members, and then reads the
// list: of instances that start together, the last one finds all others.
func (relayer *Relayer) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := relayer.source.Register(ctx, relayer.self)
		relayer.reportSourceCall(ctx, "register", err)
		if err == nil {
			relayer.startUnlessRunning("members", func() { relayer.readMembers(ctx) })
			return
		}
		ticker.Sleep(ctx, 2*retryInterval)
	}
}

// fetchFromSeeds takes a first view from the instances in the settings while the store does not give one.
func (relayer *Relayer) fetchFromSeeds(ctx context.Context) {
	for {
		ticker.Sleep(ctx, retryInterval)
		if ctx.Err() != nil || relayer.viewer.Current().Complete() {
			return
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

// readMembers reads the list of instances and removes those that have been silent for long.
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
	relayer.removeUnresponsive(ctx, now)
}

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

// removeUnlisted drops the members that another instance has taken off the list;
// one that is heard may not have got onto it yet.
func (relayer *Relayer) removeUnlisted(listed []Member, now time.Time) {
	names := map[string]bool{}
	for _, member := range listed {
		names[member.Name] = true
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for name, peer := range relayer.members {
		if !names[name] && now.Sub(peer.receivedAt) > membersReadInterval {
			delete(relayer.members, name)
		}
	}
	relayer.updateRank()
}

// unresponsiveFor returns for how long the member has left heartbeats unanswered.
func (peer *peer) unresponsiveFor(now time.Time) time.Duration {
	if !peer.unansweredSince.After(peer.receivedAt) {
		return 0
	}
	return now.Sub(peer.unansweredSince)
}

// removeUnresponsive forgets the instances of the own failure domain that have gone for good.
func (relayer *Relayer) removeUnresponsive(ctx context.Context, now time.Time) {
	var silent []*peer
	relayer.mutex.Lock()
	for name, peer := range relayer.members {
		if peer.FailureDomain == relayer.self.FailureDomain && peer.unresponsiveFor(now) > memberTimeout {
			silent = append(silent, peer)
			delete(relayer.members, name)
		}
	}
	relayer.updateRank()
	relayer.mutex.Unlock()
	for _, peer := range silent {
		relayer.observer.MemberLost(peer.Member, peer.unresponsiveFor(now))
		err := relayer.source.Remove(ctx, peer.Name)
		relayer.reportSourceCall(ctx, "remove", err)
	}
}
