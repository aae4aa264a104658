package picker

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// None is returned when no candidate has a positive weight.
const None = -1

// Candidate is one choice; ID must stay the same for as long as its keys should stay with it.
type Candidate struct {
	ID     uint64
	Weight float64
}

// Pick returns the index of the winner for key, or None.
func Pick(key uint64, candidates []Candidate) int {
	winner, best := None, math.Inf(1)
	for i := range candidates {
		if candidates[i].Weight <= 0 {
			continue
		}
		draw := Score(key, candidates[i].ID) / candidates[i].Weight
		if draw < best {
			winner, best = i, draw
		}
	}
	return winner
}

// Score returns an exponentially distributed number with mean 1 that depends only on key and id.
func Score(key, id uint64) float64 {
	// The top 53 bits give a float in (0, 1]; zero is left out because of the logarithm.
	uniform := (float64(Hash(key, id)>>11) + 1) / (1 << 53)
	return -math.Log(uniform)
}

// Hash hashes two words into one.
func Hash(key, id uint64) uint64 {
	var words [16]byte
	binary.LittleEndian.PutUint64(words[:8], key)
	binary.LittleEndian.PutUint64(words[8:], id)
	return xxhash.Sum64(words[:])
}
