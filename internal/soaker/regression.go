package soaker

import "time"

// Regression is a seed that found a defect.
type Regression struct {
	Seed       uint64
	Duration   time.Duration
	FaultKinds int // number of kinds when the seed failed; 0 for all
	Cause      string
}

// Regressions lists the seeds that found defects which are fixed since.
var Regressions = []Regression{
	{109, 25 * time.Second, 14, "an instance resumed after a pause and refused late retransmissions of openings because of its outdated view"},
	{5, 30 * time.Second, 19, "the view kept an earlier removal of a server that had come back, and its idle flows were reset when its entry lapsed again"},
}
