package ticker

import "time"

const (
	// pauseLimit is the longest time between two looks at the clock that does not
	// count as a pause of the process.
	pauseLimit = time.Second
	// resumeTime is how long a process counts as just resumed: what waited in its
	// sockets is worked off, and news have come.
	resumeTime = time.Second
)

// pauses finds out that the process stood still: by the steady clock, which runs
// on while a process is stopped, or by the time of day, which also counts while
// the whole instance is suspended. A jump of the time of day counts as a pause.
type pauses struct {
	lastAt    time.Time
	resumedAt time.Time
}

// look notes that the process runs.
func (pauses *pauses) look(now time.Time) {
	if pauses.gap(now) {
		pauses.resumedAt = now
	}
	pauses.lastAt = now
}

// gap reports whether the process stood still since it last looked.
func (pauses *pauses) gap(now time.Time) bool {
	if pauses.lastAt.IsZero() {
		return false
	}
	steady := now.Sub(pauses.lastAt)
	ofDay := now.Round(0).Sub(pauses.lastAt.Round(0))
	return steady > pauseLimit || ofDay > steady+pauseLimit || ofDay < steady-pauseLimit
}

// resumed reports whether the process has just come out of a pause.
func (pauses *pauses) resumed(now time.Time) bool {
	return pauses.gap(now) || !pauses.resumedAt.IsZero() && now.Sub(pauses.resumedAt) < resumeTime
}
