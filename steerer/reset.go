package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// The caller of a flow whose server has ended waits until its deadline, since nobody answers
// it. A server counts as gone when its entry in the store has been removed and no packet since
// then shows that it still answers: an entry also expires while its server cannot reach the
// store. Data is answered by a reset when its caller retransmits it, and at once after another
// flow's data has shown that the server does not answer. Idle flows are reset before
// their callers use them again.

const (
	// lifeTime is how long after a sign of life a server that is not listed counts as alive.
	lifeTime = 3 * time.Second
	// idleResetDelay is how long after the removal of a server its idle flows are reset; a
	// server that still serves its flows is likely to show it before.
	idleResetDelay = 300 * time.Millisecond
	// resetInterval is the time between two resets of idle flows.
	resetInterval = 2 * time.Millisecond
)

// goneServer is the state of a server that counts as gone if it has given no sign of life.
type goneServer struct {
	server     *viewer.BackendServer
	aliveAt    time.Time // of its last sign of life here; zero if there was none
	unanswered bool      // it has left data of a flow unanswered since then
	idleDueAt  time.Time // when its idle flows are to be reset; zero once that has begun
}

// resetter decides which flows are reset because their server is gone.
type resetter struct {
	checkedView *viewer.View           // whose removed servers are in gone
	checkAt     time.Time              // when a further removed server counts as gone, or idle flows are due; zero if none
	gone        map[uint32]*goneServer // by token
	idle        []followKey            // flows to be reset
	idleResetAt time.Time              // when the next of them may be reset
}

func (goneServer *goneServer) isAlive(now time.Time) bool {
	return !goneServer.aliveAt.IsZero() && now.Sub(goneServer.aliveAt) < lifeTime
}

// answerForGone makes the verdict on a packet of a flow whose server is gone a reset, if its
// caller waits for the server.
func (steerer *Steerer) answerForGone(packet *Packet, sign sign, verdict *Verdict, now time.Time) {
	gone := steerer.resetter.gone[packet.Token]
	if gone == nil {
		return
	}
	if sign.answered {
		gone.aliveAt, gone.unanswered = now, false
	}
	if gone.isAlive(now) || packet.PayloadLength == 0 || steerer.justResumed(now) {
		return
	}
	if sign.waitedFor > 0 {
		gone.unanswered = true
	}
	if gone.unanswered {
		verdict.Action, verdict.Server, verdict.Reason = Reset, nil, ReasonServerGone
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

// nextIdleReset returns the next reset of an idle flow whose server is gone, or false if none
// is due.
func (steerer *Steerer) nextIdleReset(now time.Time) (Verdict, bool) {
	steerer.checkRemoved(now)
	resetter := &steerer.resetter
	for len(resetter.idle) > 0 && !now.Before(resetter.idleResetAt) {
		key := resetter.idle[0]
		resetter.idle = resetter.idle[1:]
		flow := steerer.follower.flows[key]
		if flow == nil || !flow.isIdle() {
			continue
		}
		if gone := resetter.gone[flow.token]; gone == nil || gone.isAlive(now) {
			continue
		}
		resetter.idleResetAt = now.Add(resetInterval)
		verdict := Verdict{Action: Reset, Reason: ReasonIdleServerGone, Flow: key.flowKey(), ResetSequence: flow.acknowledgment}
		steerer.forget(verdict.Flow, now)
		steerer.observer.Decided(&verdict, steerer.currentView())
		return verdict, true
	}
	return Verdict{}, false
}

// isIdle reports whether the flow's caller waits for nothing, or in vain.
func (flow *followedFlow) isIdle() bool { return flow.waitingSince.IsZero() || flow.isCopied }

// checkRemoved brings the servers that count as gone up to date with the view, and collects
// the idle flows of those that are due.
func (steerer *Steerer) checkRemoved(now time.Time) {
	resetter, view := &steerer.resetter, steerer.currentView()
	isDue := !resetter.checkAt.IsZero() && !now.Before(resetter.checkAt)
	if view == resetter.checkedView && !isDue {
		return
	}
	if steerer.justResumed(now) { // the view may be older than it seems
		resetter.checkedView, resetter.checkAt = nil, now.Add(idleResetDelay)
		return
	}
	resetter.checkedView, resetter.checkAt = view, time.Time{}
	before := resetter.gone
	resetter.gone = map[uint32]*goneServer{}
	due := map[uint32]bool{}
	for _, removed := range view.Removed() {
		token := removed.Server.Token
		if removed.GoneAt.IsZero() {
			continue
		}
		if now.Before(removed.GoneAt) {
			resetter.checkNotLater(removed.GoneAt)
			continue
		}
		gone := before[token]
		if gone == nil || !gone.server.SameIncarnation(removed.Server) {
			gone = &goneServer{server: removed.Server, idleDueAt: now.Add(idleResetDelay)}
		}
		resetter.gone[token] = gone
		if !gone.idleDueAt.IsZero() && !now.Before(gone.idleDueAt) {
			gone.idleDueAt, due[token] = time.Time{}, true
		} else if !gone.idleDueAt.IsZero() {
			resetter.checkNotLater(gone.idleDueAt)
		}
	}
	if len(due) > 0 {
		steerer.collectIdle(due, now)
	}
}

// checkNotLater makes checkRemoved look again at a time.
func (resetter *resetter) checkNotLater(at time.Time) {
	if resetter.checkAt.IsZero() || at.Before(resetter.checkAt) {
		resetter.checkAt = at
	}
}

// collectIdle queues the idle flows of servers that are due, and reports each server.
func (steerer *Steerer) collectIdle(due map[uint32]bool, now time.Time) {
	counts := map[uint32]int{}
	for key, flow := range steerer.follower.flows {
		if due[flow.token] && flow.isIdle() {
			steerer.resetter.idle = append(steerer.resetter.idle, key)
			counts[flow.token]++
		}
	}
	for token := range due {
		gone := steerer.resetter.gone[token]
		steerer.observer.ServerGone(gone.server, counts[token], gone.isAlive(now))
	}
}

// wakeTime returns when nextIdleReset has to be called, or the zero time.
func (resetter *resetter) wakeTime() time.Time {
	if len(resetter.idle) == 0 {
		return resetter.checkAt
	}
	return earliest(resetter.idleResetAt, resetter.checkAt)
}

// earliest returns the earlier of two times that are not zero, or zero if both are.
func earliest(one, two time.Time) time.Time {
	if one.IsZero() || !two.IsZero() && two.Before(one) {
		return two
	}
	return one
}
