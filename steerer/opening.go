package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

// An opening without an answer shows nothing by itself: after a change of the routers' set the
// answer reaches another instance. It counts against its server once the caller shows here that
// it had no answer: it retransmits the opening, or goes on with a server that got a later copy. A
// caller that its server resets does neither; its opening is a suspicion for the examiner if a later
// one was answered here, as the examiners of a failure domain judge together.

const (
	// ceaseTime is how long an unanswered opening counts when answers cease altogether.
	ceaseTime = time.Second
	// ceaseServers and ceaseDomains are how many servers, in how many failure domains, leave
	// openings unanswered when the way to them is the cause.
	ceaseServers = 3
	ceaseDomains = 2
	// readmitInterval is the time between two looks for signs of life of ejected servers.
	readmitInterval = 10 * time.Millisecond
	// ejectionMemory is longer than the longest ejection.
	ejectionMemory = 5 * time.Second
)

// openings judges the openings that servers left unanswered.
type openings struct {
	movedAt    time.Time           // when a flow that another instance had opened last came here
	unanswered []unansweredOpening // that callers retransmitted since the last answer
	ejected    []unansweredOpening // the last of each server that is ejected for them
	holds      *detector.Silences  // that the placer knows of
	checkedAt  time.Time           // when ejected was last compared with signs of life
}

// unansweredOpening is an opening that a server has left unanswered.
type unansweredOpening struct {
	server     *viewer.BackendServer
	sentAt     time.Time
	isReported bool // as lost, before the caller's word
}

// confirmsOpenings reports whether openings count as unanswered only by their callers' word, and
// become signs for other instances.
func (steerer *Steerer) confirmsOpenings() bool {
	return steerer.resetter.recorder != nil && !steerer.resetter.isDisabled.Load()
}

// noticeArrival notes a packet of an established flow, which another instance opened if it is
// neither tracked nor followed here and was not closed a moment ago.
func (steerer *Steerer) noticeArrival(packet *Packet, now time.Time) {
	if _, wasClosed := steerer.closedAt[packet.Flow]; !wasClosed && !steerer.follower.follows(packet.Flow) {
		steerer.openings.movedAt = now
	}
}

// noticeRetransmission counts the copies of an opening that its caller retransmits against the
// servers that got them.
func (steerer *Steerer) noticeRetransmission(flow *flow, now time.Time) {
	openings := &steerer.openings
	waiting := flow.takeUnanswered(len(flow.attempted), now)
	openings.unanswered = append(openings.unanswered, waiting...)
	for len(openings.unanswered) > 0 && now.Sub(openings.unanswered[0].sentAt) > ceaseTime {
		openings.unanswered = openings.unanswered[1:]
	}
	for _, opening := range waiting {
		steerer.countUnanswered(flow, opening, openings.haveCeased(), now)
	}
}

// noticeAnswer counts the copies of an opening that were sent before that which a server has
// answered against the servers that got them.
func (steerer *Steerer) noticeAnswer(flow *flow, server *viewer.BackendServer, now time.Time) {
	steerer.openings.unanswered = nil
	for i, attempted := range flow.attempted {
		if !attempted.SameIncarnation(server) {
			continue
		}
		for _, opening := range flow.takeUnanswered(i, now) {
			steerer.countUnanswered(flow, opening, false, now)
		}
		return
	}
}

// takeUnanswered returns those of the first attempts of an opening that were sent answerTimeout
// ago, and were not returned before.
func (flow *flow) takeUnanswered(attempts int, now time.Time) []unansweredOpening {
	var unanswered []unansweredOpening
	for ; flow.judged < attempts && now.Sub(flow.sentAt[flow.judged]) >= answerTimeout; flow.judged++ {
		unanswered = append(unanswered, unansweredOpening{server: flow.attempted[flow.judged], sentAt: flow.sentAt[flow.judged], isReported: flow.judged < flow.reported})
	}
	return unanswered
}

// haveCeased reports whether openings stay unanswered at several servers of several failure
// domains, so that this instance may have lost its way to them.
func (openings *openings) haveCeased() bool {
	servers, domains := map[detector.Server]bool{}, map[string]bool{}
	for _, opening := range openings.unanswered {
		servers[detector.NewServer(opening.server)], domains[opening.server.FailureDomain] = true, true
	}
	return len(servers) >= ceaseServers && len(domains) >= ceaseDomains
}

// countUnanswered counts an opening against a server: as a sign for the other instances, and
// towards an ejection here unless answers have ceased or the routers have changed their set. It says
// nothing unless another server's answer to something sent later has come here in between: this
// instance may have stood still, or its links be slow.
func (steerer *Steerer) countUnanswered(flow *flow, opening unansweredOpening, haveCeased bool, now time.Time) {
	if !steerer.follower.roundTrips.othersSince(detector.NewServer(opening.server), opening.sentAt) {
		return
	}
	if !opening.isReported {
		steerer.reportLost(opening.server, now)
	}
	isEjected := false
	if !haveCeased && now.Sub(steerer.openings.movedAt) > movedFlowsTime {
		isEjected = steerer.placer.OpeningUnanswered(opening.server, now)
	}
	steerer.resetter.recorder.RecordUnansweredOpening(opening.server, hashOf(flow.key), now.Sub(opening.sentAt), isEjected, now)
	if isEjected {
		steerer.openings.ejected = append(steerer.openings.ejected, opening)
		steerer.observer.ServerEjected(opening.server)
	}
}

// readmitServers ends the ejections of servers that have shown life to another instance since,
// and tells the placer of changes of the servers to which openings are held back.
func (steerer *Steerer) readmitServers(now time.Time) {
	openings := &steerer.openings
	if !steerer.confirmsOpenings() || now.Sub(openings.checkedAt) < readmitInterval {
		return
	}
	openings.checkedAt = now
	if holds := steerer.resetter.recorder.Holds(); holds != openings.holds {
		openings.holds = holds
		steerer.placer.ReexamineServers()
	}
	remaining := openings.ejected[:0]
	for _, opening := range openings.ejected {
		age, isAlive := steerer.resetter.recorder.AnsweredSince(opening.server, opening.sentAt, now)
		switch {
		case isAlive:
			if steerer.placer.Readmit(opening.server, now) {
				steerer.observer.ServerReadmitted(opening.server, age)
			}
		case now.Sub(opening.sentAt) < ejectionMemory:
			remaining = append(remaining, opening)
		}
	}
	clear(openings.ejected[len(remaining):])
	openings.ejected = remaining
}
