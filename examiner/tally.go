package examiner

import "time"

const (
	// holdLimit is how many suspicions within window hold a server off. A server
	// that works is suspected once in minutes.
	holdLimit = 2
	window    = 1500 * time.Millisecond
	// firstHold is the first time that a server is held off; it doubles up to
	// maxHold while suspicions come back within probation after it.
	firstHold = 2 * time.Second
	maxHold   = 8 * time.Second
	probation = 5 * time.Second
)

// Tally adds up the suspicions of the instances of a failure domain; it is not
// safe for concurrent use.
type Tally struct {
	servers map[uint32]*suspicion
}

// suspicion is what is held against one server.
type suspicion struct {
	times []time.Time // of late, oldest first
	hold  time.Duration
	until time.Time
}

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{servers: map[uint32]*suspicion{}} }

// AddSuspicion adds a suspicion against the server with a token, and returns for how
// long it is to be held off from now on, 0 if it is not or is already.
func (tally *Tally) AddSuspicion(token uint32, now time.Time) time.Duration {
	tally.forget(now)
	known := tally.servers[token]
	if known == nil {
		known = &suspicion{}
		tally.servers[token] = known
	}
	if now.Before(known.until) {
		return 0 // of a flow that was open before
	}
	known.times = append(known.times, now)
	for now.Sub(known.times[0]) > window {
		known.times = known.times[1:]
	}
	if len(known.times) < holdLimit {
		return 0
	}
	known.times = nil
	known.hold = min(max(2*known.hold, firstHold), maxHold)
	known.until = now.Add(known.hold)
	return known.hold
}

// forget drops servers that were not suspected again after their hold.
func (tally *Tally) forget(now time.Time) {
	for token, known := range tally.servers {
		last := known.until.Add(probation)
		if count := len(known.times); count > 0 && known.times[count-1].Add(probation).After(last) {
			last = known.times[count-1].Add(probation)
		}
		if now.After(last) {
			delete(tally.servers, token)
		}
	}
}
