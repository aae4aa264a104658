package relayer

import "time"

const (
	// ReadInterval is how often one instance of the fleet reads the list of
	// backend servers. Together with the longest delay it stays under the users'
	// bound of 3 s on new flows to a server that leaves.
	ReadInterval = 800 * time.Millisecond
	// baseTakeoverDelay is how long news may be overdue before the next instance reads.
	baseTakeoverDelay = 200 * time.Millisecond
	// takeoverDelayPerRank keeps the instances from reading at once, up to maxDelay.
	takeoverDelayPerRank = 60 * time.Millisecond
	maxTakeoverDelay     = time.Second
	// maxBackoffDoublings bounds the interval at which an instance that leads no failure
	// domain tries a store that does not answer, to 3.2 s.
	maxBackoffDoublings = 2
)

// ReadSchedule decides when an instance reads the store.
type ReadSchedule struct {
	rank        int       // position in the order in which instances read
	isLeader    bool      // one of the first of its failure domain
	failures    int       // reads in a row that failed
	freshAt     time.Time // when the store last answered this instance or the one that told it
	attemptedAt time.Time // when this instance last tried to read
}

// MarkFresh says that what is known was true in the store at that time.
func (schedule *ReadSchedule) MarkFresh(at time.Time) {
	if at.After(schedule.freshAt) {
		schedule.freshAt = at
	}
}

// RecordAttempt says that the instance tries to read.
func (schedule *ReadSchedule) RecordAttempt(now time.Time) { schedule.attemptedAt = now }

// RecordSuccess says that the store answered.
func (schedule *ReadSchedule) RecordSuccess() { schedule.failures = 0 }

// RecordFailure says that the store did not answer.
func (schedule *ReadSchedule) RecordFailure() { schedule.failures++ }

// SetRank sets the position of the instance, 0 reads before all others, and
// whether it leads its failure domain.
func (schedule *ReadSchedule) SetRank(rank int, lead bool) {
	schedule.rank, schedule.isLeader = rank, lead
}

// Due reports whether the instance should read now.
func (schedule *ReadSchedule) Due(now time.Time) bool {
	if now.Sub(schedule.attemptedAt) < schedule.attemptInterval() {
		return false
	}
	return now.Sub(schedule.freshAt) >= ReadInterval+schedule.takeoverDelay()
}

// Age returns how old the newest knowledge is.
func (schedule *ReadSchedule) Age(now time.Time) time.Duration { return now.Sub(schedule.freshAt) }

// attemptInterval is the shortest time between two reads. Those that lead keep trying, so
// that the return of the store is noticed; the others are told by them.
func (schedule *ReadSchedule) attemptInterval() time.Duration {
	if schedule.isLeader {
		return ReadInterval
	}
	return ReadInterval << min(schedule.failures, maxBackoffDoublings)
}

func (schedule *ReadSchedule) takeoverDelay() time.Duration {
	if schedule.rank == 0 {
		return 0
	}
	return min(baseTakeoverDelay+time.Duration(schedule.rank)*takeoverDelayPerRank, maxTakeoverDelay)
}
