package relayer

import "time"

const (
	// ReadInterval is the time between two reads of the store by the reader. Together with
	// the longest takeover delay it stays under the 3 s within which a leaving server
	// must stop receiving new flows.
	ReadInterval = 800 * time.Millisecond
	// baseTakeoverDelay is how long an announcement may be overdue before another instance
	// reads the store.
	baseTakeoverDelay = 200 * time.Millisecond
	// takeoverDelayPerRank spreads the reads of instances that take over, up to
	// maxTakeoverDelay.
	takeoverDelayPerRank = 60 * time.Millisecond
	maxTakeoverDelay     = time.Second
	// maxBackoffDoublings limits the exponential back-off of an instance that is not a
	// leader to 3.2 s while the store does not answer.
	maxBackoffDoublings = 2
)

// ReadSchedule decides when an instance reads the store, by its rank, the age of its view and
// the outcome of earlier reads.
type ReadSchedule struct {
	rank        int       // position in the order in which instances read; 0 is the reader
	isLeader    bool      // of its failure domain
	failures    int       // consecutive failed reads
	freshAt     time.Time // when the store last confirmed the view, to this instance or another
	attemptedAt time.Time // when this instance last started a read
}

// MarkFresh records that the view matched the store at that time.
func (schedule *ReadSchedule) MarkFresh(at time.Time) {
	if at.After(schedule.freshAt) {
		schedule.freshAt = at
	}
}

// RecordAttempt records that the instance starts a read.
func (schedule *ReadSchedule) RecordAttempt(now time.Time) { schedule.attemptedAt = now }

// RecordSuccess records that the store answered, and resets the back-off.
func (schedule *ReadSchedule) RecordSuccess() { schedule.failures = 0 }

// RecordFailure records that the store did not answer.
func (schedule *ReadSchedule) RecordFailure() { schedule.failures++ }

// SetRank sets the rank of the instance, 0 for the reader, and whether it is a leader
// of its failure domain.
func (schedule *ReadSchedule) SetRank(rank int, isLeader bool) {
	schedule.rank, schedule.isLeader = rank, isLeader
}

// Due reports whether the instance should read now.
func (schedule *ReadSchedule) Due(now time.Time) bool {
	if now.Sub(schedule.attemptedAt) < schedule.attemptInterval() {
		return false
	}
	return now.Sub(schedule.freshAt) >= ReadInterval+schedule.takeoverDelay()
}

// Age returns the time since the store last confirmed the view.
func (schedule *ReadSchedule) Age(now time.Time) time.Duration { return now.Sub(schedule.freshAt) }

// attemptInterval returns the shortest time between two reads. Leaders do not back off, so
// that the end of an outage is detected; the other instances receive their
// announcements.
func (schedule *ReadSchedule) attemptInterval() time.Duration {
	if schedule.isLeader {
		return ReadInterval
	}
	return ReadInterval << min(schedule.failures, maxBackoffDoublings)
}

// takeoverDelay returns how much older than ReadInterval the view must be before this
// instance reads the store.
func (schedule *ReadSchedule) takeoverDelay() time.Duration {
	if schedule.rank == 0 {
		return 0
	}
	return min(baseTakeoverDelay+time.Duration(schedule.rank)*takeoverDelayPerRank, maxTakeoverDelay)
}
