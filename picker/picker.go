package picker

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// None is the result of Pick if no candidate has a positive weight.
const None = -1

// Candidate is one of the values to select from. Its keys move if its ID changes; a
// candidate with a weight of 0 or less is never selected.
type Candidate struct {
	ID     uint64
	Weight float64
}

// Pick returns the index of the candidate selected for key, or None.
func Pick(key uint64, candidates []Candidate) int {
	selected, lowestScore := None, 0.0
	for i := range candidates {
		if !(candidates[i].Weight > 0) { // also if it is no number
			continue
		}
		score := Score(key, candidates[i].ID) / candidates[i].Weight
		if selected == None || score < lowestScore { // the score of a very small weight is infinite
			selected, lowestScore = i, score
		}
	}
	return selected
}

// Score returns the unweighted score of a candidate for key: an exponentially
// distributed number with mean 1 that depends only on key and id.
func Score(key, id uint64) float64 {
	// The top 53 bits give a float in (0, 1]; 0 is excluded because its logarithm is infinite.
	uniform := (float64(Hash(key, id)>>11) + 1) / (1 << 53)
	return -math.Log(uniform)
}

// Hash returns the hash of two 64-bit words.
func Hash(first, second uint64) uint64 {
	var words [16]byte
	binary.LittleEndian.PutUint64(words[:8], first)
	binary.LittleEndian.PutUint64(words[8:], second)
	return xxhash.Sum64(words[:])
}
