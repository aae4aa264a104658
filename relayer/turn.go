package relayer

import "time"

const (
	// ReadInterval is how often one instance of the fleet reads the list of
	// backend servers. Together with the longest delay it stays under the users'
	// bound of 3 s on new flows to a server that leaves.
	ReadInterval = 800 * time.Millisecond
	// patience is how long news may be overdue before the next instance reads.
	patience = 200 * time.Millisecond
	// rankDelay keeps the instances from reading at once, up to maxDelay.
	rankDelay = 60 * time.Millisecond
	maxDelay  = time.Second
	// maxDoublings bounds the interval at which an instance that leads no failure
	// domain tries a store that does not answer, to 3.2 s.
	maxDoublings = 2
)

// Turn decides when an instance reads the store.
type Turn struct {
	rank      int       // position in the order in which instances read
	lead      bool      // one of the first of its failure domain
	failures  int       // reads in a row that failed
	freshAt   time.Time // when the store last answered this instance or the one that told it
	attemptAt time.Time // when this instance last tried to read
}

// Fresh says that what is known was true in the store at that time.
func (turn *Turn) Fresh(at time.Time) {
	if at.After(turn.freshAt) {
		turn.freshAt = at
	}
}

// Attempted says that the instance tries to read.
func (turn *Turn) Attempted(now time.Time) { turn.attemptAt = now }

// Succeeded says that the store answered.
func (turn *Turn) Succeeded() { turn.failures = 0 }

// Failed says that the store did not answer.
func (turn *Turn) Failed() { turn.failures++ }

// SetRank sets the position of the instance, 0 reads before all others, and
// whether it leads its failure domain.
func (turn *Turn) SetRank(rank int, lead bool) { turn.rank, turn.lead = rank, lead }

// Due reports whether the instance should read now.
func (turn *Turn) Due(now time.Time) bool {
	if now.Sub(turn.attemptAt) < turn.pause() {
		return false
	}
	return now.Sub(turn.freshAt) >= ReadInterval+turn.delay()
}

// Age returns how old the newest knowledge is.
func (turn *Turn) Age(now time.Time) time.Duration { return now.Sub(turn.freshAt) }

// pause is the shortest time between two reads. Those that lead keep trying, so
// that the return of the store is noticed; the others are told by them.
func (turn *Turn) pause() time.Duration {
	if turn.lead {
		return ReadInterval
	}
	return ReadInterval << min(turn.failures, maxDoublings)
}

func (turn *Turn) delay() time.Duration {
	if turn.rank == 0 {
		return 0
	}
	return min(patience+time.Duration(turn.rank)*rankDelay, maxDelay)
}
