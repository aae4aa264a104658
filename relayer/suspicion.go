package relayer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentowind/pimentowind/examiner"
)

// A suspicion is a response of a backend server that looked like a failure, or took long, to
// one instance. Each instance sees only a small part of a server's responses, so it reports
// its suspicions to the leaders of its failure domain, which count those of all instances
// and send the domain the servers to eject. If both leaders eject the same server, the
// longer ejection holds.

const (
	// suspicionRate limits the suspicions of each kind that one instance sends per second,
	// and the burst, so that a service that fails as a whole does not overload the leaders.
	suspicionRate = 5
	// maxSlowShare and maxFailingShare are the largest shares of the servers that may be
	// suspected. If more are, the load or the network is the cause, and the others could not
	// take over.
	maxSlowShare    = 0.3
	maxFailingShare = 0.5
	// minSuspects is the number of suspected servers that shows nothing of the kind in any
	// fleet.
	minSuspects = 3
)

// suspicionSender limits the suspicions that an instance sends.
type suspicionSender struct {
	failing, slow *rate.Limiter
}

func newSuspicionSender() suspicionSender {
	return suspicionSender{failing: rate.NewLimiter(suspicionRate, suspicionRate), slow: rate.NewLimiter(suspicionRate, suspicionRate)}
}

// allows reports whether a suspicion of this kind may be sent now.
func (suspicionSender suspicionSender) allows(suspicion examiner.Suspicion, now time.Time) bool {
	if suspicion == examiner.Slow {
		return suspicionSender.slow.AllowN(now, 1)
	}
	return suspicionSender.failing.AllowN(now, 1)
}

// suspicionCounter counts the suspicions of one kind against each server. Relayer calls it
// with its mutex held.
type suspicionCounter interface {
	// AddSuspicion counts a suspicion and returns for how long the server is to be ejected
	// from now on, 0 if it is not.
	AddSuspicion(token uint32, now time.Time) time.Duration
	// SuspectCount returns how many servers are suspected.
	SuspectCount(now time.Time) int
}

// ReportSuspicion counts a suspicion against the server with this token if this instance is a
// leader, and sends it to the leaders of the failure domain otherwise.
func (relayer *Relayer) ReportSuspicion(token uint32, suspicion examiner.Suspicion) {
	now := time.Now()
	var report Heartbeat
	if suspicion == examiner.Slow {
		report.SlowSuspicions = []uint32{token}
	} else {
		report.Suspicions = []uint32{token}
	}
	if relayer.isLeader() {
		relayer.handleSuspicions(report, now)
		return
	}
	if !relayer.suspicionSender.allows(suspicion, now) {
		return
	}
	fill := func(heartbeat *Heartbeat) {
		heartbeat.Suspicions, heartbeat.SlowSuspicions = report.Suspicions, report.SlowSuspicions
	}
	relayer.sendReport(fill, now, func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain && position < leadersPerDomain
	})
}

// handleSuspicions processes the suspicions and the ejections in a heartbeat. Only a leader
// counts suspicions.
func (relayer *Relayer) handleSuspicions(heartbeat Heartbeat, now time.Time) {
	if relayer.isLeader() {
		failing := relayer.countSuspicions(relayer.failureCounter, heartbeat.Suspicions, maxFailingShare, now)
		slow := relayer.countSuspicions(relayer.slownessCounter, heartbeat.SlowSuspicions, maxSlowShare, now)
		for i := range slow {
			slow[i].IsSlow = true
		}
		relayer.ejectAndReport(append(failing, slow...), now)
	}
	relayer.eject(heartbeat.Ejections)
	relayer.relayEjections(heartbeat, now)
}

// countSuspicions counts suspicions, and returns the ejections of servers that have too many,
// none while more than maxShare of all servers are suspected.
func (relayer *Relayer) countSuspicions(counter suspicionCounter, tokens []uint32, maxShare float64, now time.Time) []Ejection {
	if len(tokens) == 0 {
		return nil
	}
	var ejections []Ejection
	view := relayer.viewer.Current()
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, token := range tokens {
		if duration := counter.AddSuspicion(token, now); duration > 0 {
			ejections = append(ejections, Ejection{Token: token, Duration: duration})
		}
	}
	if view.Servers == nil || float64(counter.SuspectCount(now)) > max(minSuspects, maxShare*float64(len(view.Servers.List))) {
		return nil
	}
	return ejections
}

// sendReport sends a heartbeat that modify has completed, and that asks for no answer, to the
// members that selects returns true for.
func (relayer *Relayer) sendReport(modify func(*Heartbeat), now time.Time, selects func(member Member, position int) bool) {
	relayer.mutex.Lock()
	heartbeat := relayer.newHeartbeat(now, true)
	heartbeat.Evacuations = nil // announcements carry them, and the report needs the room
	modify(&heartbeat)
	sorted, positions := rankMembers(relayer.activeMembers())
	var recipients []Member
	for _, member := range sorted {
		if member.Name != relayer.self.Name && selects(member, positions[member.Name]) {
			recipients = append(recipients, member)
		}
	}
	datagrams := relayer.distribute(heartbeat, recipients, positions, now)
	relayer.mutex.Unlock()
	relayer.send(datagrams)
}
