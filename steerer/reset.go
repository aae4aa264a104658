package steerer

import (
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

// The caller of a flow whose server has ended waits until its deadline, since nobody answers
// it. All flows of a server that the instances have declared silent are reset at once, idle ones
// before their callers use them again. A server whose entry in the store has been removed is not
// gone for certain: an entry also expires while its server cannot reach the store. Data of its
// flows is answered by a reset when a caller retransmits it the second time, and then at once, until
// a packet shows that the server answers.

const (
	// lifeTime is how long after a sign of life a server that is not listed counts as alive.
	lifeTime = 3 * time.Second
	// goneMemory is how long after that all data of a server that is not listed is reset at once.
	// Then some has to reach it again, so that it can show that it answers.
	goneMemory = 2 * time.Second
	// resumeDelay is the time between two looks at the servers that are gone, just after a
	// pause of the process.
	resumeDelay = 300 * time.Millisecond
	// resetInterval is the time between two resets of flows that are not answers to a packet.
	resetInterval = 2 * time.Millisecond
)

// lifeRecorder shares the signs of servers with other instances; detector.Detector
// implements it.
type lifeRecorder interface {
	RecordLife(server *viewer.BackendServer, at time.Time)
	// RecordUnanswered notes that a server has left a copy of data unanswered that was sent to it at a
	// time; waitedFor is the time since the data itself was sent.
	RecordUnanswered(server *viewer.BackendServer, flow uint32, askedAt time.Time, waitedFor time.Duration, now time.Time)
	// RecordAnswered notes that a caller has stopped to retransmit data to a server, so that it may have
	// had an answer until a time.
	RecordAnswered(server *viewer.BackendServer, until time.Time)
	// RecordUnansweredOpening notes that a caller had no answer to an opening which was sent to a
	// server a time ago; isEjected is whether the server was ejected here for it.
	RecordUnansweredOpening(server *viewer.BackendServer, flow uint32, waitedFor time.Duration, isEjected bool, now time.Time)
	// AnsweredSince reports whether a server is known to have answered anybody after it got an
	// opening at a time, and how long ago.
	AnsweredSince(server *viewer.BackendServer, sentAt, now time.Time) (time.Duration, bool)
	// Holds returns the servers to which openings are held back, as a pointer that differs after
	// each change.
	Holds() *detector.Silences
	// Silences returns the servers that are declared silent, as a pointer that differs after
	// each change.
	Silences() *detector.Silences
}

// goneServer is the state of a server that counts as gone if it has given no sign of life.
type goneServer struct {
	server    *viewer.BackendServer
	isSilent  bool      // it is declared silent; otherwise it was removed from the list
	isReset   bool      // the resets of its flows have begun, if it is silent
	since     time.Time // signs of life are newer
	aliveAt   time.Time // of the last of them here; zero if there was none
	goneUntil time.Time // until then its data is reset at once; zero before it has left some unanswered
}

// resetter decides which flows are reset because their server is gone.
type resetter struct {
	recorder        lifeRecorder
	checkedView     *viewer.View       // whose removed servers are in gone
	checkedSilences *detector.Silences // that are in gone
	checkAt         time.Time          // when gone changes by time; zero if it does not
	gone            map[detector.Server]*goneServer
	due             []followKey // flows to be reset
	resetAt         time.Time   // when the next of them may be reset
	isDisabled      atomic.Bool // no flow is reset
}

// SetDetector sets the detector that shares the signs of servers with other instances; it has to
// be set before the first packet.
func (steerer *Steerer) SetDetector(recorder lifeRecorder) { steerer.resetter.recorder = recorder }

// KeepFlows sets whether flows whose server is gone are kept in place of reset. It may be called
// concurrently.
func (steerer *Steerer) KeepFlows(keeps bool) { steerer.resetter.isDisabled.Store(keeps) }

func (goneServer *goneServer) isAlive(now time.Time) bool {
	return !goneServer.aliveAt.IsZero() && now.Sub(goneServer.aliveAt) < lifeTime
}

// leavesUnanswered reports whether data is reset at once.
func (goneServer *goneServer) leavesUnanswered(now time.Time) bool {
	return goneServer.isSilent || now.Before(goneServer.goneUntil)
}

// reason returns the reason of a reset of data.
func (goneServer *goneServer) reason() Reason {
	if goneServer.isSilent {
		return ReasonServerSilent
	}
	return ReasonServerGone
}

// recordSign passes what a packet says about its server on to the other instances.
func (resetter *resetter) recordSign(server *viewer.BackendServer, packet *Packet, sign sign, now time.Time) {
	switch {
	case resetter.recorder == nil:
	case !sign.aliveAt.IsZero():
		resetter.recorder.RecordLife(server, sign.aliveAt)
	case !sign.askedAt.IsZero():
		resetter.recorder.RecordUnanswered(server, hashOf(packet.Flow), sign.askedAt, sign.waitedFor, now)
	}
}

// answerForGone makes the verdict on a packet of a flow whose server is gone a reset, if its
// caller waits for the server.
func (steerer *Steerer) answerForGone(packet *Packet, sign sign, verdict *Verdict, now time.Time) {
	gone := steerer.resetter.gone[detector.NewServer(verdict.Server)]
	if gone == nil || steerer.resetter.isDisabled.Load() {
		return
	}
	if sign.aliveAt.After(gone.since) {
		gone.aliveAt, gone.goneUntil = sign.aliveAt, time.Time{}
	}
	if gone.isAlive(now) || packet.PayloadLength == 0 || steerer.justResumed(now) {
		return
	}
	if !sign.askedAt.IsZero() {
		gone.goneUntil = now.Add(goneMemory)
	}
	if gone.leavesUnanswered(now) {
		verdict.Action, verdict.Server, verdict.Reason = Reset, nil, gone.reason()
		steerer.forget(packet.Flow, now)
	}
}

// forget ends a flow that is reset.
func (steerer *Steerer) forget(key FlowKey, now time.Time) {
	delete(steerer.follower.flows, newFollowKey(key))
	if flow := steerer.flows[key]; flow != nil {
		steerer.endFlow(flow, EndServerGone, now)
	}
}

// nextReset returns the next reset of a flow whose server is silent, or false if none is due.
func (steerer *Steerer) nextReset(now time.Time) (Verdict, bool) {
	steerer.checkGone(now)
	resetter := &steerer.resetter
	if len(resetter.due) > 0 && steerer.justResumed(now) {
		resetter.due = nil // the declaration may have been taken back
	}
	for len(resetter.due) > 0 && !now.Before(resetter.resetAt) {
		key := resetter.due[0]
		resetter.due = resetter.due[1:]
		flow := steerer.follower.flows[key]
		if flow == nil {
			continue
		}
		gone := resetter.gone[flow.server]
		if gone == nil || !gone.isSilent || gone.isAlive(now) || resetter.isDisabled.Load() {
			continue
		}
		resetter.resetAt = now.Add(resetInterval)
		verdict := Verdict{Action: Reset, Reason: ReasonFlowServerSilent, Flow: key.flowKey(), ResetSequence: flow.acknowledgment}
		steerer.forget(verdict.Flow, now)
		steerer.observer.Decided(&verdict, steerer.currentView())
		return verdict, true
	}
	return Verdict{}, false
}

// checkGone brings the servers that count as gone up to date with the view and the declarations,
// and collects the flows to be reset.
func (steerer *Steerer) checkGone(now time.Time) {
	resetter, view := &steerer.resetter, steerer.currentView()
	var silences *detector.Silences
	if resetter.recorder != nil {
		silences = resetter.recorder.Silences()
	}
	isDue := !resetter.checkAt.IsZero() && !now.Before(resetter.checkAt)
	if view == resetter.checkedView && silences == resetter.checkedSilences && !isDue {
		return
	}
	if steerer.justResumed(now) { // the view may be older than it seems
		resetter.checkedView, resetter.checkAt = nil, now.Add(resumeDelay)
		return
	}
	resetter.checkedView, resetter.checkedSilences, resetter.checkAt = view, silences, time.Time{}
	before := resetter.gone
	resetter.gone = map[detector.Server]*goneServer{}
	if silences != nil {
		resetter.addSilent(*silences, view, before, now)
	}
	resetter.addRemoved(view, before, now)
	steerer.collectFlows(now)
}

// addRemoved adds the servers that count as gone because they were removed.
func (resetter *resetter) addRemoved(view *viewer.View, before map[detector.Server]*goneServer, now time.Time) {
	for _, removed := range view.Removed() {
		switch {
		case removed.GoneAt.IsZero():
		case now.Before(removed.GoneAt):
			resetter.checkNotLater(removed.GoneAt)
		default:
			if resetter.gone[detector.NewServer(removed.Server)] == nil {
				resetter.add(goneServer{server: removed.Server, since: removed.GoneAt}, before)
			}
		}
	}
}

// addSilent adds the servers that count as gone because they are declared silent.
func (resetter *resetter) addSilent(silences detector.Silences, view *viewer.View, before map[detector.Server]*goneServer, now time.Time) {
	for silent, silence := range silences {
		if !now.Before(silence.Until) {
			continue
		}
		for _, server := range view.ServersByToken(silent.Token) {
			if detector.NewServer(server) == silent {
				resetter.checkNotLater(silence.Until)
				resetter.add(goneServer{server: server, isSilent: true, since: silence.RefutedAfter()}, before)
			}
		}
	}
}

// add adds a server that counts as gone, with what is known of it from before.
func (resetter *resetter) add(gone goneServer, before map[detector.Server]*goneServer) {
	key := detector.NewServer(gone.server)
	if known := before[key]; known != nil && known.isSilent == gone.isSilent && known.server.SameIncarnation(gone.server) {
		resetter.gone[key] = known
		return
	}
	resetter.gone[key] = &gone
}

// checkNotLater makes checkGone look again at a time.
func (resetter *resetter) checkNotLater(at time.Time) {
	if resetter.checkAt.IsZero() || at.Before(resetter.checkAt) {
		resetter.checkAt = at
	}
}

// collectFlows queues the flows of servers that are newly silent, and reports each server.
func (steerer *Steerer) collectFlows(now time.Time) {
	counts := map[detector.Server]int{}
	for server, gone := range steerer.resetter.gone {
		if gone.isSilent && !gone.isReset {
			gone.isReset = true
			counts[server] = 0
		}
	}
	if len(counts) == 0 {
		return
	}
	for key, flow := range steerer.follower.flows {
		if _, ok := counts[flow.server]; ok {
			steerer.resetter.due = append(steerer.resetter.due, key)
			counts[flow.server]++
		}
	}
	for server, flows := range counts {
		steerer.observer.FlowsReset(steerer.resetter.gone[server].server, flows)
	}
}

// wakeTime returns when nextReset has to be called, or the zero time.
func (resetter *resetter) wakeTime() time.Time {
	if len(resetter.due) == 0 {
		return resetter.checkAt
	}
	return earliest(resetter.resetAt, resetter.checkAt)
}

// earliest returns the earlier of two times that are not zero, or zero if both are.
func earliest(one, two time.Time) time.Time {
	if one.IsZero() || !two.IsZero() && two.Before(one) {
		return two
	}
	return one
}
