package detector

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// lifeMargin is how much later than the last answer of a server a sign of it may arrive.
	lifeMargin = 100 * time.Millisecond
	// lifeMemory is how long signs of life are remembered.
	lifeMemory = 30 * time.Second
)

// Detector holds what one instance knows of the life of backend servers. Its methods may be
// called concurrently.
type Detector struct {
	onChange func()
	observer Observer
	silent   atomic.Pointer[Silences] // never modified once stored
	held     atomic.Pointer[Silences] // the same: servers to which openings are held back

	mutex      sync.Mutex
	lives      map[Server]time.Time // of the last sign of life here, or one that another instance told of
	answered   map[Server]time.Time // until when callers have stopped to retransmit, here or elsewhere
	own        map[flowSign]waiting // signs of silence of this instance
	unreported []flowSign
	reportedAt time.Time
	isUrgent   bool                  // a server was ejected here, which is reported without delay
	refuted    map[Server]time.Time  // last sign of life of servers that were declared silent, to be told
	candidates map[Server]*candidate // that this instance, a leader, may declare silent
	sweptAt    time.Time
}

// Observer is notified of decisions for logs and counters.
type Observer interface {
	// ServerSilent is called when this instance, a leader, declares a server silent.
	ServerSilent(server Server, evidence Evidence)
	// ServerAlive is called when a declaration is taken back because of a sign of life;
	// seenHere is whether it was seen at this instance.
	ServerAlive(server Server, seenHere bool)
	// ServerHeld is called when this instance, a leader, has openings to a server held back.
	ServerHeld(server Server, evidence Evidence, duration time.Duration)
}

// Evidence is why a server was declared silent.
type Evidence struct {
	Flows, Instances int           // flows with an unanswered copy of data or opening, and instances that saw it
	Longest          time.Duration // for which data or an opening was unanswered
	Since            time.Duration // how long ago the oldest of the copies and openings was sent
	Hinted           bool          // another failure domain has declared it silent, or holds back openings to it
	Openings         int           // flows whose opening was unanswered
	From             string        // the names of some of the instances; for a declaration those that saw the longest waits, with these
}

// NewDetector returns a Detector that knows of no server; onChange is called after each change
// of what Silences returns.
func NewDetector(observer Observer) *Detector {
	detector := &Detector{
		onChange: func() {}, observer: observer,
		lives: map[Server]time.Time{}, answered: map[Server]time.Time{}, own: map[flowSign]waiting{}, refuted: map[Server]time.Time{}, candidates: map[Server]*candidate{},
	}
	detector.silent.Store(&Silences{})
	detector.held.Store(&Silences{})
	return detector
}

// SetChangeHook sets a function that is called after each change of what Silences or Holds returns,
// and after signs of life that others have told of, with a lock held: it must not call the detector back. It has to be set before the first sign.
func (detector *Detector) SetChangeHook(onChange func()) { detector.onChange = onChange }

// RecordLife notes that a caller's packet at this instance shows an answer of a server at a
// time or later.
func (detector *Detector) RecordLife(backendServer *viewer.BackendServer, at time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	server := NewServer(backendServer)
	if len(detector.candidates) > 0 && detector.refutesOpening(server, at) {
		detector.refuted[server] = at
	}
	if detector.noteLife(server, at) {
		detector.refuted[server] = at
		detector.observer.ServerAlive(server, true)
	}
}

// RecordAnswered notes that a caller has stopped to retransmit data to a server, so that it may have had
// an answer until a time. Packets that the network repeats or delays, which look like copies without an
// answer, do not count against that; holds and declarations stay, as the server may have ended since.
func (detector *Detector) RecordAnswered(backendServer *viewer.BackendServer, until time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.noteAnswered(NewServer(backendServer), until)
}

func (detector *Detector) noteAnswered(server Server, until time.Time) {
	if until.After(detector.answered[server]) {
		detector.answered[server] = until
	}
}

// noteLife notes a sign of life, and reports whether it takes back a declaration or a hold. The mutex
// must be held.
func (detector *Detector) noteLife(server Server, at time.Time) bool {
	if !at.After(detector.lives[server]) {
		return false
	}
	detector.lives[server] = at
	isReleased := detector.release(server, at)
	silence, ok := (*detector.silent.Load())[server]
	if !ok || !at.After(silence.RefutedAfter()) {
		return isReleased
	}
	changed := maps.Clone(*detector.silent.Load())
	delete(changed, server)
	detector.store(changed)
	return true
}

// Sweep forgets what is too old, and reports whether Next may return messages.
func (detector *Detector) Sweep(now time.Time) bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.sweep(now)
	return len(detector.unreported)+len(detector.refuted)+len(detector.candidates) > 0
}

// Next returns the messages that are due. Every message that arrived before drained has been passed to
// Receive; later ones may wait to be read.
func (detector *Detector) Next(place Place, now, drained time.Time) []Outgoing {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var outgoing []Outgoing
	report := Message{Unanswered: detector.report(now)}
	for server, at := range detector.refuted {
		if len(report.Unanswered)+len(report.Alive) >= maxEntries {
			break // the others are told the next time
		}
		report.Alive = append(report.Alive, ServerAge{Server: server, Age: max(now.Sub(at), 0)})
		delete(detector.refuted, server)
	}
	if place.IsLeader {
		detector.count("", report.Unanswered, now)
		outgoing = detector.judge(place, now, drained)
	}
	if !report.isEmpty() {
		audience := Leaders
		if place.IsLeader && len(report.Alive) > 0 {
			audience = Domain
		}
		outgoing = append(outgoing, Outgoing{Audience: audience, Message: report})
	}
	return outgoing
}

// counts reports whether a sign of silence since a time is newer than the last known life of
// its server. The mutex must be held.
func (detector *Detector) counts(server Server, since time.Time) bool {
	return !detector.lives[server].After(since.Add(lifeMargin))
}

// countsData reports the same for a copy of data: no caller may have had an answer since, either. The
// mutex must be held.
func (detector *Detector) countsData(server Server, since time.Time) bool {
	return detector.counts(server, since) && !detector.answered[server].After(since.Add(lifeMargin))
}

// Receive processes a message of another instance and returns the answer, which is empty if none
// is due. The ages in the message count from sentBy, before which it did not arrive, so that life which
// this instance saw while the message waited still answers it. Of other failure domains questions are answered, signs of life believed, and declarations
// taken as hints.
func (detector *Detector) Receive(from string, message *Message, sameDomain bool, place Place, sentBy, now time.Time) Message {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var answer Message
	detector.believe(message.Alive, place, now)
	for _, question := range message.Questions {
		if !detector.counts(question.Server, sentBy.Add(-question.Age)) {
			answer.Alive = append(answer.Alive, detector.life(question.Server, now))
		} else if until := detector.answered[question.Server]; until.After(sentBy.Add(-question.Age)) {
			answer.Answered = append(answer.Answered, ServerAge{Server: question.Server, Age: max(now.Sub(until), 0)})
		}
	}
	for _, answered := range message.Answered {
		detector.noteAnswered(answered.Server, now.Add(-answered.Age))
	}
	if !sameDomain {
		if place.IsLeader {
			detector.noteHints(message.Silent, sentBy, now)
			answer.Alive = append(answer.Alive, detector.noteHoldHints(message.Holds, sentBy, now)...)
		}
		return answer
	}
	if place.IsLeader {
		detector.count(from, message.Unanswered, sentBy)
		answer.Alive = append(answer.Alive, detector.refuteOpenings(message.Unanswered, sentBy, now)...)
	}
	answer.Alive = append(answer.Alive, detector.apply(message.Silent, sentBy, now)...)
	answer.Alive = append(answer.Alive, detector.hold(message.Holds, sentBy, now)...)
	return answer
}

// believe notes signs of life that another instance tells of. The mutex must be held.
func (detector *Detector) believe(lives []ServerAge, place Place, now time.Time) {
	for _, alive := range lives {
		at := now.Add(-alive.Age)
		isNews := place.IsLeader && at.After(detector.lives[alive.Server]) && detector.refutesOpening(alive.Server, at)
		if detector.noteLife(alive.Server, at) {
			detector.observer.ServerAlive(alive.Server, false)
			isNews = place.IsLeader
		}
		if isNews {
			detector.refuted[alive.Server] = at // to be told to the failure domain
		}
	}
	if len(lives) > 0 {
		detector.onChange()
	}
}

// life returns the last sign of life of a server. The mutex must be held.
func (detector *Detector) life(server Server, now time.Time) ServerAge {
	return ServerAge{Server: server, Age: max(now.Sub(detector.lives[server]), 0)}
}

// Forget drops all signs of silence and declarations, because this process was paused: what they
// say may no longer hold.
func (detector *Detector) Forget() {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	clear(detector.own)
	clear(detector.candidates)
	detector.unreported = nil
	if len(*detector.silent.Load()) > 0 {
		detector.store(Silences{})
	}
	detector.storeHolds(Silences{})
}

// sweep forgets what is too old, once a second. The mutex must be held.
func (detector *Detector) sweep(now time.Time) {
	if now.Sub(detector.sweptAt) < time.Second {
		return
	}
	detector.sweptAt = now
	maps.DeleteFunc(detector.lives, func(_ Server, at time.Time) bool { return now.Sub(at) > lifeMemory })
	maps.DeleteFunc(detector.answered, func(_ Server, until time.Time) bool { return now.Sub(until) > lifeMemory })
	maps.DeleteFunc(detector.own, func(_ flowSign, waiting waiting) bool { return now.Sub(waiting.copiedAt) > signMemory })
	maps.DeleteFunc(detector.candidates, func(_ Server, candidate *candidate) bool { return candidate.isOld(now) })
	held := maps.Clone(*detector.held.Load())
	maps.DeleteFunc(held, func(_ Server, hold Silence) bool { return !now.Before(hold.Until) })
	detector.storeHolds(held)
	changed := maps.Clone(*detector.silent.Load())
	maps.DeleteFunc(changed, func(_ Server, silence Silence) bool { return !now.Before(silence.Until) })
	if len(changed) != len(*detector.silent.Load()) {
		detector.store(changed)
	}
}
