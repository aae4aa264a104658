package relayer

import (
	"math"
	"time"
)

const (
	// ReadInterval is the time between two reads of the store by the reader.
	ReadInterval = 800 * time.Millisecond
	// baseTakeoverDelay is how long an announcement may be overdue before another leader
	// reads the store.
	baseTakeoverDelay = 200 * time.Millisecond
	// takeoverDelayPerRank spreads the reads of leaders that take over, up to
	// maxLeaderTakeoverDelay.
	takeoverDelayPerRank   = 60 * time.Millisecond
	maxLeaderTakeoverDelay = time.Second
	// defaultChangeDeadline is the change deadline unless the settings name one.
	defaultChangeDeadline = 3 * time.Second
	// takeoverShare is the part of the change deadline after which the last instance reads the
	// store; the rest is left for a slow read and a slow instance.
	takeoverShare = 0.6
	// maxBackoffDoublings limits the exponential back-off of an instance that is not a
	// leader to 3.2 s while the store does not answer.
	maxBackoffDoublings = 2
)

// ReadSchedule decides when an instance reads the store, by its rank, the age of its view and
// the outcome of earlier reads.
type ReadSchedule struct {
	rank           int           // position in the order in which instances read; 0 is the reader
	isLeader       bool          // of its failure domain
	spread         float64       // from 0 to 1, evenly distributed over the instances
	changeDeadline time.Duration // within which a change in the store must be applied; 0 for the default
	failures       int           // consecutive failed reads
	freshAt        time.Time     // when the store last confirmed the view, to this instance or another
	freshRead      uint64        // id of the read that did; 0 if unknown
	attemptedAt    time.Time     // when this instance last started a read
}

// MarkFresh records that the view matched the store at that time, by the read with an id.
func (schedule *ReadSchedule) MarkFresh(id uint64, at time.Time) {
	if at.After(schedule.freshAt) {
		schedule.freshAt, schedule.freshRead = at, id
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

// Due reports whether the instance should read now. All announcements that arrived before drained have
// been received; one that waits in the socket may make the read needless.
func (schedule *ReadSchedule) Due(now, drained time.Time) bool {
	if now.Sub(schedule.attemptedAt) < schedule.attemptInterval() {
		return false
	}
	if schedule.rank > 0 && !schedule.freshAt.IsZero() {
		now = drained
	}
	return now.Sub(schedule.freshAt) >= ReadInterval+schedule.takeoverDelay()
}

// unknownAge is the age of a view that the store has not confirmed yet.
const unknownAge = time.Duration(math.MaxInt64)

// Age returns the time since the store last confirmed the view, unknownAge before the first
// time.
func (schedule *ReadSchedule) Age(now time.Time) time.Duration {
	if schedule.freshAt.IsZero() {
		return unknownAge
	}
	return now.Sub(schedule.freshAt)
}

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
// instance reads the store. Instances that are no leaders are spread over the time up to
// maxTakeoverDelay, the fewer the earlier, so that those that read first can announce their
// view before the whole fleet reads a slow store.
func (schedule *ReadSchedule) takeoverDelay() time.Duration {
	if schedule.rank == 0 {
		return 0
	}
	if schedule.isLeader {
		return min(baseTakeoverDelay+time.Duration(schedule.rank)*takeoverDelayPerRank, maxLeaderTakeoverDelay)
	}
	longest := schedule.maxTakeoverDelay() - maxLeaderTakeoverDelay
	return maxLeaderTakeoverDelay + time.Duration(math.Cbrt(schedule.spread)*float64(longest))
}

// maxTakeoverDelay returns the longest delay that lets an instance apply a change by the
// deadline with a read of its own, as it may be cut off from all others.
func (schedule *ReadSchedule) maxTakeoverDelay() time.Duration {
	deadline := schedule.changeDeadline
	if deadline <= 0 {
		deadline = defaultChangeDeadline
	}
	return max(time.Duration(takeoverShare*float64(deadline))-ReadInterval, maxLeaderTakeoverDelay)
}
