package detector

import (
	"maps"
	"time"
)

// silenceTime is how long a declaration holds; afterwards openings show whether the
// server answers again.
const silenceTime = 3 * time.Second

// Silence is a declaration in force.
type Silence struct {
	Server
	Since time.Time // of the oldest unanswered data
	Until time.Time
}

// RefutedAfter returns the time after which a sign of life refutes the declaration.
func (silence *Silence) RefutedAfter() time.Time { return silence.Since.Add(lifeMargin) }

// Silences are the declarations in force.
type Silences map[Server]Silence

// Silences returns the declarations in force, as a pointer that differs after each change.
// Some may have ended by time.
func (detector *Detector) Silences() *Silences { return detector.silent.Load() }

// IsSilent reports whether a server is declared silent.
func (detector *Detector) IsSilent(server Server, now time.Time) bool {
	silence, ok := (*detector.silent.Load())[server]
	return ok && now.Before(silence.Until)
}

// apply puts declarations in force, except of servers that have shown life here since, which it
// returns. The mutex must be held.
func (detector *Detector) apply(silent []ServerAge, sentBy, now time.Time) []ServerAge {
	var alive []ServerAge
	changed := maps.Clone(*detector.silent.Load())
	applied := false
	for _, entry := range silent {
		since := sentBy.Add(-entry.Age)
		if !detector.counts(entry.Server, since) {
			alive = append(alive, detector.life(entry.Server, now))
			continue
		}
		if known, ok := changed[entry.Server]; ok && now.Before(known.Until) {
			continue // the other leader has declared the same
		}
		changed[entry.Server] = Silence{Server: entry.Server, Since: since, Until: now.Add(silenceTime)}
		applied = true
	}
	if applied {
		detector.store(changed)
	}
	return alive
}

// store replaces the declarations. The mutex must be held.
func (detector *Detector) store(silences Silences) {
	detector.silent.Store(&silences)
	detector.onChange()
}
