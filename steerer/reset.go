package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

// The caller of a flow whose server has ended waits until its deadline, since nobody answers
// it. A server counts as gone when its entry in the store has been removed and no packet since
// then shows that it still answers: an entry also expires while its server cannot reach the
// store. Data is answered by a reset when its caller retransmits it, and at once after another
// flow's data has shown that the server does not answer. Idle flows are reset before
// their callers use them again. All flows of a server that the instances have declared silent
// are reset at once.

const (
	// lifeTime is how long after a sign of life a server that is not listed counts as alive.
	lifeTime = 3 * time.Second
	// idleResetDelay is how long after the removal of a server its idle flows are reset; a
	// server that still serves its flows is likely to show it before.
	idleResetDelay = 300 * time.Millisecond
	// resetInterval is the time between two resets of flows that are not answers to a packet.
	resetInterval = 2 * time.Millisecond
)

// lifeRecorder shares the signs of servers with other instances; detector.Detector
// implements it.
type lifeRecorder interface {
	RecordLife(server *viewer.BackendServer, at time.Time)
	RecordUnanswered(server *viewer.BackendServer, flow uint32, waitedFor time.Duration, now time.Time)
	// Silences returns the servers that are declared silent, as a pointer that differs after
	// each change.
	Silences() *detector.Silences
}

// GoneCause is why the flows of a server are reset.
type GoneCause string

// Causes of resets of flows.
const (
	CauseRemoved GoneCause = "removed" // its entry was removed from the store
	CauseSilent  GoneCause = "silent"  // the instances have declared it silent
)

// goneServer is the state of a server that counts as gone if it has given no sign of life.
type goneServer struct {
	server     *viewer.BackendServer
	cause      GoneCause
	since      time.Time // signs of life are newer
	aliveAt    time.Time // of the last of them here; zero if there was none
	unanswered bool      // it has left data of a flow unanswered since then
	flowsDueAt time.Time // when its other flows are to be reset; zero once that has begun
}

// resetter decides which flows are reset because their server is gone.
type resetter struct {
	recorder        lifeRecorder
	checkedView     *viewer.View           // whose removed servers are in gone
	checkedSilences *detector.Silences     // that are in gone
	checkAt         time.Time              // when gone changes by time; zero if it does not
	gone            map[uint32]*goneServer // by token
	due             []followKey            // flows to be reset
	resetAt         time.Time              // when the next of them may be reset
}

// SetDetector sets the detector that shares the signs of servers with other instances; it has to
// be set before the first packet.
func (steerer *Steerer) SetDetector(recorder lifeRecorder) { steerer.resetter.recorder = recorder }

func (goneServer *goneServer) isAlive(now time.Time) bool {
	return !goneServer.aliveAt.IsZero() && now.Sub(goneServer.aliveAt) < lifeTime
}

// reason returns the reason of a reset, of data or of another flow.
func (goneServer *goneServer) reason(ofData bool) Reason {
	switch {
	case goneServer.cause == CauseSilent && ofData:
		return ReasonServerSilent
	case goneServer.cause == CauseSilent:
		return ReasonFlowServerSilent
	case ofData:
		return ReasonServerGone
	default:
		return ReasonFlowServerGone
	}
}

// recordSign passes what a packet says about its server on to the other instances.
func (resetter *resetter) recordSign(server *viewer.BackendServer, packet *Packet, sign sign, now time.Time) {
	switch {
	case resetter.recorder == nil:
	case !sign.aliveAt.IsZero():
		resetter.recorder.RecordLife(server, sign.aliveAt)
	case sign.waitedFor > 0:
		resetter.recorder.RecordUnanswered(server, newFollowKey(packet.Flow).hash(), sign.waitedFor, now)
	}
}

// answerForGone makes the verdict on a packet of a flow whose server is gone a reset, if its
// caller waits for the server.
func (steerer *Steerer) answerForGone(packet *Packet, sign sign, verdict *Verdict, now time.Time) {
	gone := steerer.resetter.gone[packet.Token]
	if gone == nil {
		return
	}
	if sign.aliveAt.After(gone.since) {
		gone.aliveAt, gone.unanswered = sign.aliveAt, false
	}
	if gone.isAlive(now) || packet.PayloadLength == 0 || steerer.justResumed(now) {
		return
	}
	if sign.waitedFor > 0 {
		gone.unanswered = true
	}
	if gone.unanswered {
		verdict.Action, verdict.Server, verdict.Reason = Reset, nil, gone.reason(true)
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

// nextReset returns the next reset of a flow whose server is gone, or false if none is due.
func (steerer *Steerer) nextReset(now time.Time) (Verdict, bool) {
	steerer.checkGone(now)
	resetter := &steerer.resetter
	for len(resetter.due) > 0 && !now.Before(resetter.resetAt) {
		key := resetter.due[0]
		resetter.due = resetter.due[1:]
		flow := steerer.follower.flows[key]
		if flow == nil {
			continue
		}
		gone := resetter.gone[flow.token]
		if gone == nil || gone.isAlive(now) || !gone.includes(flow) {
			continue
		}
		resetter.resetAt = now.Add(resetInterval)
		verdict := Verdict{Action: Reset, Reason: gone.reason(false), Flow: key.flowKey(), ResetSequence: flow.acknowledgment}
		steerer.forget(verdict.Flow, now)
		steerer.observer.Decided(&verdict, steerer.currentView())
		return verdict, true
	}
	return Verdict{}, false
}

// includes reports whether a flow of the server is reset although its caller has sent nothing.
// Data on its way to a server that was removed may show that the server is alive.
func (goneServer *goneServer) includes(flow *followedFlow) bool {
	return goneServer.cause == CauseSilent || flow.waitingSince.IsZero() || flow.isCopied
}

// checkGone brings the servers that count as gone up to date with the view and the declarations,
// and collects the flows that are due.
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
		resetter.checkedView, resetter.checkAt = nil, now.Add(idleResetDelay)
		return
	}
	resetter.checkedView, resetter.checkedSilences, resetter.checkAt = view, silences, time.Time{}
	before := resetter.gone
	resetter.gone = map[uint32]*goneServer{}
	resetter.addRemoved(view, before, now)
	if silences != nil {
		resetter.addSilent(*silences, view, before, now)
	}
	due := map[uint32]bool{}
	for token, gone := range resetter.gone {
		switch {
		case gone.flowsDueAt.IsZero():
		case now.Before(gone.flowsDueAt):
			resetter.checkNotLater(gone.flowsDueAt)
		default:
			gone.flowsDueAt, due[token] = time.Time{}, true
		}
	}
	if len(due) > 0 {
		steerer.collectFlows(due, now)
	}
}

// addRemoved adds the servers that count as gone because they were removed.
func (resetter *resetter) addRemoved(view *viewer.View, before map[uint32]*goneServer, now time.Time) {
	for _, removed := range view.Removed() {
		switch {
		case removed.GoneAt.IsZero():
		case now.Before(removed.GoneAt):
			resetter.checkNotLater(removed.GoneAt)
		default:
			resetter.add(goneServer{server: removed.Server, cause: CauseRemoved, since: removed.GoneAt, flowsDueAt: now.Add(idleResetDelay)}, before)
		}
	}
}

// addSilent adds the servers that count as gone because they are declared silent.
func (resetter *resetter) addSilent(silences detector.Silences, view *viewer.View, before map[uint32]*goneServer, now time.Time) {
	for token, silence := range silences {
		server := view.ServerByToken(token)
		if server == nil || server.StartedAt != silence.StartedAt || !now.Before(silence.Until) || resetter.gone[token] != nil {
			continue
		}
		resetter.checkNotLater(silence.Until)
		resetter.add(goneServer{server: server, cause: CauseSilent, since: silence.RefutedAfter(), unanswered: true, flowsDueAt: now}, before)
	}
}

// add adds a server that counts as gone, with what is known of it from before.
func (resetter *resetter) add(gone goneServer, before map[uint32]*goneServer) {
	token := gone.server.Token
	if known := before[token]; known != nil && known.cause == gone.cause && known.server.SameIncarnation(gone.server) {
		resetter.gone[token] = known
		return
	}
	resetter.gone[token] = &gone
}

// checkNotLater makes checkGone look again at a time.
func (resetter *resetter) checkNotLater(at time.Time) {
	if resetter.checkAt.IsZero() || at.Before(resetter.checkAt) {
		resetter.checkAt = at
	}
}

// collectFlows queues the flows of servers that are due, and reports each server.
func (steerer *Steerer) collectFlows(due map[uint32]bool, now time.Time) {
	counts := map[uint32]int{}
	for key, flow := range steerer.follower.flows {
		if due[flow.token] && steerer.resetter.gone[flow.token].includes(flow) {
			steerer.resetter.due = append(steerer.resetter.due, key)
			counts[flow.token]++
		}
	}
	for token := range due {
		gone := steerer.resetter.gone[token]
		steerer.observer.ServerGone(gone.server, gone.cause, counts[token], gone.isAlive(now))
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
