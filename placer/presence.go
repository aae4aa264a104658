package placer

import "time"

const (
	// minSilentTime is the shortest time without a sign of a server after which it can count
	// as silent.
	minSilentTime = time.Second
	// silentIntervals is how many average intervals between signs of a server must have
	// passed without one.
	silentIntervals = 10
	// minSigns is how many signs of a server are needed to know the interval.
	minSigns = 10
	// signSmoothing is the weight of a new interval in the moving average.
	signSmoothing = 0.1
)

// presence tracks how often callers acknowledge data of a server at this instance. An
// instance of a large fleet rarely sees one server, so that a pause shows nothing.
type presence struct {
	signs    int
	interval time.Duration // moving average between two signs
	lastAt   time.Time
}

// heard records a sign of the server.
func (presence *presence) heard(now time.Time) {
	if presence.signs > 0 {
		presence.interval += time.Duration(signSmoothing * float64(now.Sub(presence.lastAt)-presence.interval))
	}
	presence.signs++
	presence.lastAt = now
}

// silent reports whether there has been no sign for so long that the server, if it worked,
// would have given one.
func (presence *presence) silent(now time.Time) bool {
	return presence.signs >= minSigns && now.Sub(presence.lastAt) >= max(minSilentTime, silentIntervals*presence.interval)
}
