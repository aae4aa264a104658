package relayer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentowind/pimentowind/examiner"
)

// Where many responses look like failures, the datagrams that report them are what a leader
// receives most of. An instance therefore sends the first suspicion at once, collects those that
// follow within collectInterval, and sends them in one datagram. The datagram is a
// suspicionReport, which takes a few bytes. Leaders say in their heartbeats whether all leaders of
// their failure domain accept it, since an instance may hear only one of them.

const (
	// suspicionRate limits the suspicions of each kind that one instance sends per second,
	// and the burst, so that a service that fails as a whole does not overload the leaders.
	suspicionRate = 5
	// collectInterval is the shortest time between two reports of one instance, and how long a
	// suspicion waits at most, since each Tick sends those that wait.
	collectInterval = 100 * time.Millisecond
	// maxSuspicionAge is the age from which a collected suspicion is not sent any more, as after a
	// pause of the process: the leaders count it from its arrival.
	maxSuspicionAge = 300 * time.Millisecond
	// maxCollected limits the suspicions in one report.
	maxCollected = 64
)

// reportSupport says in a heartbeat who accepts a suspicionReport; older programs say nothing.
type reportSupport int

const (
	senderAccepts reportSupport = 1 // the sender does
	leadersAccept reportSupport = 2 // all leaders of the sender's failure domain do, of which it is one
)

// suspicionReport tells a leader of suspicions. Unlike a heartbeat it is encoded as a list, by
// which isSuspicionReport recognizes it, and does not name its sender.
type suspicionReport struct {
	_       struct{} `cbor:",toarray"`
	Failing []uint32 // tokens of backend servers, one for each response that looked like a failure
	Slow    []uint32 // the same for responses that took long
}

// isSuspicionReport reports whether a datagram holds a suspicionReport, by the first byte of its
// encoding: a CBOR array.
func isSuspicionReport(content []byte) bool { return len(content) > 0 && content[0]>>5 == 4 }

// with returns the report with another suspicion.
func (report suspicionReport) with(token uint32, suspicion examiner.Suspicion) suspicionReport {
	if suspicion == examiner.Slow {
		report.Slow = append(report.Slow, token)
	} else {
		report.Failing = append(report.Failing, token)
	}
	return report
}

// count returns the number of suspicions in the report.
func (report suspicionReport) count() int { return len(report.Failing) + len(report.Slow) }

// suspicionCollector holds the suspicions of an instance until they are sent. Relayer calls it
// with its mutex held.
type suspicionCollector struct {
	failing, slow *rate.Limiter
	interval      time.Duration // collectInterval
	waiting       []waitingSuspicion
	takenAt       time.Time // when the last report was taken
	leadersAccept bool      // whether the leaders of this failure domain accept a suspicionReport
}

// waitingSuspicion is a suspicion and when it arose.
type waitingSuspicion struct {
	token     uint32
	suspicion examiner.Suspicion
	at        time.Time
}

func newSuspicionCollector() suspicionCollector {
	return suspicionCollector{
		interval: collectInterval,
		failing:  rate.NewLimiter(suspicionRate, suspicionRate),
		slow:     rate.NewLimiter(suspicionRate, suspicionRate),
	}
}

// add collects a suspicion unless there are too many of its kind.
func (collector *suspicionCollector) add(token uint32, suspicion examiner.Suspicion, now time.Time) {
	limiter := collector.failing
	if suspicion == examiner.Slow {
		limiter = collector.slow
	}
	if len(collector.waiting) < maxCollected && limiter.AllowN(now, 1) {
		collector.waiting = append(collector.waiting, waitingSuspicion{token: token, suspicion: suspicion, at: now})
	}
}

// isDue reports whether a report may be sent before the next Tick.
func (collector *suspicionCollector) isDue(now time.Time) bool {
	return len(collector.waiting) > 0 && now.Sub(collector.takenAt) >= collector.interval
}

// take returns the suspicions that wait and are not too old, and forgets all.
func (collector *suspicionCollector) take(now time.Time) suspicionReport {
	var report suspicionReport
	for _, waiting := range collector.waiting {
		if now.Sub(waiting.at) <= maxSuspicionAge {
			report = report.with(waiting.token, waiting.suspicion)
		}
	}
	if len(collector.waiting) > 0 {
		collector.takenAt, collector.waiting = now, nil
	}
	return report
}
