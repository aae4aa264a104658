package viewer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
)

// randomRevision returns a newer list with random additions, removals and changes.
func randomRevision(random *rand.Rand, servers *Servers) *Servers {
	next := &Servers{Revision: servers.Revision + 1 + uint64(random.IntN(3)), List: slices.Clone(servers.List)}
	for i := range next.List {
		switch random.IntN(12) {
		case 0:
			next.List[i].State = parser.Leaving
		case 1:
			next.List[i].StartedAt++
		case 2:
			next.List[i].ColdSince = next.Revision
		case 3:
			next.List[i].Sharers = Sharers{uint32(next.Revision), 7}
		}
	}
	next.List = slices.DeleteFunc(next.List, func(BackendServer) bool { return random.IntN(12) == 0 })
	if random.IntN(2) == 0 {
		next.List = append(next.List, server(fmt.Sprintf("z%06d", next.Revision), uint32(next.Revision), 1))
	}
	return next
}

func TestDeltasAndTheirCompositionReproduceTheNewestList(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		lists := []*Servers{list(1, server("a", 1, 1), server("b", 2, 1), server("c", 3, 1))}
		var deltas []*ServerDelta
		for range 8 {
			last := lists[len(lists)-1]
			next := randomRevision(random, last)
			delta := DiffServers(last, next)
			assert.Equal(t, last.Apply(delta).Digest(), next.Digest(), "seed %d", seed)
			deltas = append(deltas, delta)
			lists = append(lists, next)
			composed := ComposeDeltas(deltas, len(next.List)+100)
			assert.Equal(t, lists[0].Apply(composed).Digest(), next.Digest(), "seed %d", seed)
			assert.Assert(t, composed.Len() == 0 || ComposeDeltas(deltas, composed.Len()-1) == nil, "seed %d", seed)
		}
	}
}

func TestDeltaFromAnotherRevisionIsNotApplied(t *testing.T) {
	assert.Assert(t, list(5).Apply(&ServerDelta{Base: 4, Revision: 6}) == nil)
}

func TestDeltaIgnoresColdUntil(t *testing.T) {
	before, after := list(1, server("a", 1, 1)), list(2, server("a", 1, 1))
	after.List[0].ColdUntil = Deadline{Time: start}
	assert.Equal(t, DiffServers(before, after).Len(), 0)
}
