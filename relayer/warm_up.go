package relayer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/viewer"
)

// If a service states the rate that its cold servers bear, a reader of the store chooses the
// instances that share the rate of each, and the list of servers names them. All readers that
// know the same members choose the same; a choice stays while the server is cold.

// choiceDelay is how long after its start an instance chooses no sharers: the others of a new
// fleet may not have registered yet, and different lists lead to different choices.
const choiceDelay = 5 * time.Second

// continueWarmUps completes a list that was read from the store by what the current one says
// of the same warm-ups, and chooses the sharers of cold servers that have none.
func (relayer *Relayer) continueWarmUps(servers *viewer.Servers) *viewer.Servers {
	view, now := relayer.viewer.Current(), time.Now()
	var members []Member // read once it is needed
	return servers.ContinueWarmUps(view.Servers, func(server *viewer.BackendServer) viewer.Sharers {
		if view.Service(server.Service).WarmUpRate <= 0 || !now.Before(server.ColdUntil.Time) {
			return viewer.Sharers{}
		}
		if members == nil {
			members = relayer.membersToChoose(now)
		}
		return chooseSharers(members, server)
	})
}

// membersToChoose returns the instances among which the sharers are chosen, none if this
// instance may not know all.
func (relayer *Relayer) membersToChoose(now time.Time) []Member {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if !relayer.hasReadMembers || now.Sub(relayer.startedAt) < choiceDelay {
		return nil
	}
	return relayer.activeMembers()
}

// chooseSharers returns the members with the highest hashes for a server, first of its own
// failure domain.
func chooseSharers(members []Member, server *viewer.BackendServer) viewer.Sharers {
	type ranked struct {
		name    string
		isLocal bool
		hash    uint64
	}
	ranking := make([]ranked, len(members))
	for i := range members {
		name := members[i].Name
		ranking[i] = ranked{name: name, isLocal: members[i].FailureDomain == server.FailureDomain, hash: xxhash.Sum64String(name + "\n" + server.Name)}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		if a.isLocal != b.isLocal {
			if a.isLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	var sharers viewer.Sharers
	for i := range min(len(sharers), len(ranking)) {
		sharers[i] = viewer.InstanceHash(ranking[i].name)
	}
	return sharers
}
