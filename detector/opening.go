package detector

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// minHoldFlows is the number of unanswered openings for which a leader holds back others, if
	// nobody has seen life since.
	minHoldFlows = 2
	// baseHoldTime is the duration of the first hold of a server; it doubles up to maxHoldTime.
	baseHoldTime = 500 * time.Millisecond
	maxHoldTime  = 4 * time.Second
	// reaskTime is the time between two questions for life while a hold lasts: an instance that was
	// paused or has started since doesn't know of it, and doesn't say so by itself.
	reaskTime = time.Second
	// maxNamed is how many instances the evidence for a hold names.
	maxNamed = 4
	// ownName stands for the leader itself among them.
	ownName = "itself"
)

// Hold tells the instances of a failure domain to open no flows at a server.
type Hold struct {
	ServerAge               // since when it has left openings unanswered
	For       time.Duration `cbor:"4,keyasint"`
}

// holding is what a leader knows of the holds of one server.
type holding struct {
	askedAt  time.Time     // of the question; zero if there is none; of the last one during a hold
	since    time.Time     // that life is asked for after, or was before the last hold
	duration time.Duration // of the last hold; 0 if there was none since the last sign of life
	until    time.Time     // its end
	hintedAt time.Time     // when another failure domain told of its hold
}

// suspicion is the evidence for a hold.
type suspicion struct {
	Evidence
	since     time.Time
	isEjected bool // by an instance alone
}

// RecordUnansweredOpening notes that a caller has shown this instance that it had no answer to an
// opening which was sent to a server a time ago; isEjected is whether this instance has ejected
// the server for it.
func (detector *Detector) RecordUnansweredOpening(backendServer *viewer.BackendServer, flow uint32, waitedFor time.Duration, isEjected bool, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.recordSign(flowSign{server: NewServer(backendServer), flow: flow}, waiting{since: now.Add(-waitedFor), copiedAt: now, isOpening: true, isEjected: isEjected})
	detector.isUrgent = detector.isUrgent || isEjected
}

// AnsweredSince reports whether a server is known to have answered anybody after it got an opening
// at a time, and how long ago.
func (detector *Detector) AnsweredSince(backendServer *viewer.BackendServer, sentAt, now time.Time) (time.Duration, bool) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	server := NewServer(backendServer)
	if detector.counts(server, sentAt) {
		return 0, false
	}
	return now.Sub(detector.lives[server]), true
}

// Holds returns the servers to which openings are held back, as a pointer that differs after each
// change. Some may have ended by time.
func (detector *Detector) Holds() *Silences { return detector.held.Load() }

// IsHeld reports whether openings to a server are held back; those to its next incarnation are not.
func (detector *Detector) IsHeld(server Server, now time.Time) bool {
	hold, ok := (*detector.held.Load())[server]
	return ok && now.Before(hold.Until)
}

// suspect returns the evidence for a hold: the openings that a server has left unanswered since the
// last sign of life and since the last hold. The mutex must be held.
func (detector *Detector) suspect(server Server, candidate *candidate, now time.Time) suspicion {
	var suspicion suspicion
	instances, flows := map[string]bool{}, map[uint32]bool{}
	for flow, waiting := range candidate.signs {
		isNew := detector.counts(server, waiting.since) && waiting.since.After(candidate.hold.until) && now.Sub(waiting.copiedAt) <= signMemory
		if !waiting.isOpening || !isNew {
			continue
		}
		instances[flow.instance], flows[flow.flow] = true, true
		suspicion.isEjected = suspicion.isEjected || waiting.isEjected
		suspicion.Longest = max(suspicion.Longest, waiting.copiedAt.Sub(waiting.since))
		suspicion.Since = max(suspicion.Since, now.Sub(waiting.since))
	}
	if instances[""] {
		delete(instances, "")
		instances[ownName] = true
	}
	names := slices.Sorted(maps.Keys(instances))
	suspicion.Flows, suspicion.Openings, suspicion.Instances = len(flows), len(flows), len(names)
	suspicion.From = strings.Join(names[:min(len(names), maxNamed)], " ")
	suspicion.Hinted = !candidate.hold.hintedAt.IsZero() && now.Sub(candidate.hold.hintedAt) <= signMemory
	suspicion.since = now.Add(-suspicion.Since)
	return suspicion
}

// suffices reports whether the evidence is enough for a hold if nobody has seen life since.
func (suspicion *suspicion) suffices(holding *holding) bool {
	if suspicion.Hinted || holding.duration > 0 {
		return suspicion.Flows > 0
	}
	return suspicion.Flows >= minHoldFlows
}

// judgeHolds adds the questions and the holds that are due to a message, and puts the latter in
// force here. The mutex must be held.
func (detector *Detector) judgeHolds(message *Message, place Place, now, drained time.Time) {
	suspicions := map[Server]suspicion{}
	looksSilent := len(*detector.silent.Load())
	for server, candidate := range detector.candidates {
		if candidate.hold.duration > 0 && !detector.counts(server, candidate.hold.since) {
			candidate.hold = holding{}
		}
		switch suspicion := detector.suspect(server, candidate, now); {
		case now.Before(candidate.hold.until):
			looksSilent++
			if now.Sub(candidate.hold.askedAt) >= reaskTime {
				candidate.hold.askedAt = now
				message.Questions = append(message.Questions, ServerAge{Server: server, Age: now.Sub(candidate.hold.since)})
			}
		case suspicion.suffices(&candidate.hold):
			looksSilent++
			suspicions[server] = suspicion
		case suspicion.isEjected:
			suspicions[server] = suspicion
		default:
			candidate.hold.askedAt = time.Time{}
		}
	}
	maySuffice := float64(looksSilent) <= max(minSilent, maxSilentShare*float64(place.Servers))
	for server, suspicion := range suspicions {
		detector.judgeHold(server, &suspicion, maySuffice, message, now, drained)
	}
	detector.hold(message.Holds, now, now)
}

// judgeHold does so for one server. A hold for which two instances, or an earlier hold, speak comes
// with the question, another one at the next look. The mutex must be held.
func (detector *Detector) judgeHold(server Server, suspicion *suspicion, maySuffice bool, message *Message, now, drained time.Time) {
	holding := &detector.candidates[server].hold
	asked := drained.Sub(holding.askedAt)
	isAsked := !holding.askedAt.IsZero() && now.Sub(holding.askedAt) <= questionLifetime && !suspicion.since.Before(holding.since)
	entry := ServerAge{Server: server, Age: suspicion.Since}
	isCertain := suspicion.Instances > 1 || suspicion.Hinted || holding.duration > 0
	switch {
	case maySuffice && suspicion.suffices(holding) && (isCertain || isAsked && asked >= repeatTime):
		duration := min(max(2*holding.duration, baseHoldTime), maxHoldTime)
		holding.since, holding.duration, holding.until, holding.askedAt = suspicion.since, duration, now.Add(duration), now
		message.Holds = append(message.Holds, Hold{ServerAge: entry, For: duration})
		detector.observer.ServerHeld(server, suspicion.Evidence, duration)
	case !isAsked:
		holding.askedAt, holding.since = now, suspicion.since
		message.Questions = append(message.Questions, entry)
	}
}

// hold puts holds in force, except of servers that have shown life here since, which it returns.
// The mutex must be held.
func (detector *Detector) hold(holds []Hold, sentBy, now time.Time) []ServerAge {
	var alive []ServerAge
	changed := maps.Clone(*detector.held.Load())
	for _, hold := range holds {
		since := sentBy.Add(-hold.Age)
		if !detector.counts(hold.Server, since) {
			alive = append(alive, detector.life(hold.Server, now))
			continue
		}
		until := now.Add(min(hold.For, maxHoldTime))
		if known, ok := changed[hold.Server]; ok && !known.Until.Before(until) {
			continue // the other leader holds back the same
		}
		changed[hold.Server] = Silence{Server: hold.Server, Since: since, Until: until}
	}
	detector.storeHolds(changed)
	return alive
}

// noteHoldHints notes the holds of another failure domain, and returns the servers that have shown
// life here since. The mutex must be held.
func (detector *Detector) noteHoldHints(holds []Hold, sentBy, now time.Time) []ServerAge {
	var alive []ServerAge
	for _, hold := range holds {
		if !detector.counts(hold.Server, sentBy.Add(-hold.Age)) {
			alive = append(alive, detector.life(hold.Server, now))
			continue
		}
		detector.candidate(hold.Server).hold.hintedAt = now
	}
	return alive
}

// release ends the hold of a server that has shown life at a time, and reports whether there was
// one. The mutex must be held.
func (detector *Detector) release(server Server, at time.Time) bool {
	hold, ok := (*detector.held.Load())[server]
	if !ok || !at.After(hold.RefutedAfter()) {
		return false
	}
	changed := maps.Clone(*detector.held.Load())
	delete(changed, server)
	detector.storeHolds(changed)
	return true
}

// storeHolds replaces the holds if they have changed. The mutex must be held.
func (detector *Detector) storeHolds(holds Silences) {
	if !maps.Equal(holds, *detector.held.Load()) {
		detector.held.Store(&holds)
		detector.onChange()
	}
}

// refutesOpening reports whether a sign of life at a time refutes an opening that was reported
// unanswered to this leader. The mutex must be held.
func (detector *Detector) refutesOpening(server Server, at time.Time) bool {
	candidate := detector.candidates[server]
	if candidate == nil {
		return false
	}
	for _, waiting := range candidate.signs {
		if waiting.isOpening && at.After(waiting.since.Add(lifeMargin)) {
			return true
		}
	}
	return false
}

// refuteOpenings returns the life of the servers whose reported openings it refutes. The mutex
// must be held.
func (detector *Detector) refuteOpenings(signs []Unanswered, sentBy, now time.Time) []ServerAge {
	var alive []ServerAge
	for _, sign := range signs {
		if sign.Opening && len(alive) < maxEntries && !detector.counts(sign.Server, sentBy.Add(-sign.For)) {
			alive = append(alive, detector.life(sign.Server, now))
		}
	}
	return alive
}
