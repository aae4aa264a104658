package picker

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawCandidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{ID: rapid.Uint64().Draw(t, "id"), Weight: rapid.Float64Range(0, 8).Draw(t, "weight")}
	}), 1, 12).Draw(t, "candidates")
}

func TestWeightChangeMovesOnlyKeysOfTheChangedCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawCandidates(t)
		key := rapid.Uint64().Draw(t, "key")
		changed := rapid.IntRange(0, len(before)-1).Draw(t, "changed")
		after := append([]Candidate(nil), before...)
		after[changed].Weight = rapid.Float64Range(0, 8).Draw(t, "new weight")
		pickedBefore, pickedAfter := Pick(key, before), Pick(key, after)
		if pickedBefore != pickedAfter {
			assert.Assert(t, pickedBefore == changed || pickedAfter == changed)
		}
	})
}

func TestPickNeverReturnsCandidateWithoutWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		picked := Pick(rapid.Uint64().Draw(t, "key"), all)
		if picked == None {
			for _, candidate := range all {
				assert.Assert(t, candidate.Weight <= 0)
			}
			return
		}
		assert.Assert(t, all[picked].Weight > 0)
	})
}

// Guards against a draw that rounds: the score of a very small weight overflows, and the only
// candidate with weight was not selected.
func TestPickSelectsTheOnlyCandidateWithWeight(t *testing.T) {
	for _, weight := range []float64{math.SmallestNonzeroFloat64, 1e-310, 1e-300, 1, math.MaxFloat64, math.Inf(1)} {
		for key := range uint64(1000) {
			picked := Pick(key, []Candidate{{ID: 1}, {ID: 2, Weight: weight}, {ID: 3, Weight: math.NaN()}})
			assert.Equal(t, picked, 1, "weight %g", weight)
		}
	}
}

func TestPickIsProportionalToWeight(t *testing.T) {
	all := []Candidate{{ID: 11, Weight: 1}, {ID: 22, Weight: 2}, {ID: 33, Weight: 5}}
	const keys = 80_000
	counts := make([]float64, len(all))
	for key := range uint64(keys) {
		counts[Pick(Hash(key, 7), all)]++
	}
	for i, candidate := range all {
		want := candidate.Weight / 8 * keys
		assert.Assert(t, math.Abs(counts[i]-want) < 5*math.Sqrt(want), "candidate %d was selected for %v keys, want %v", i, counts[i], want)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{4, 15, 60, 240} {
		all := make([]Candidate, count)
		for i := range all {
			all[i] = Candidate{ID: Hash(uint64(i), 1), Weight: float64(1 + i%8)}
		}
		b.Run(fmt.Sprintf("backend_servers=%d", count), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				Pick(uint64(i), all)
			}
		})
	}
}
