package soaker

import "time"

// Regression is a seed that once ended with violations.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	FaultKinds    int // of faults at the time; 0 for all
	Cause    string
}

// Regressions lists the seeds that once failed, with the cause that was mended.
var Regressions = []Regression{
	{109, 25 * time.Second, 14, "an instance that woke from a pause refused late copies of openings by its old view"},
}
