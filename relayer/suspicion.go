package relayer

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/examiner"
)

// A suspicion is a response of a backend server that looked like a failure, or took long, to
// one instance. Each instance sees only a small part of a server's responses, so it reports
// its suspicions to the leaders of its failure domain, which count those of all instances
// and send the domain the servers to eject. If both leaders eject the same server, the
// longer ejection holds. See suspicionCollector for how suspicions are sent.

const (
	// maxSlowShare and maxFailingShare are the largest shares of the servers that may be
	// suspected. If more are, the load or the network is the cause, and the others could not
	// take over.
	maxSlowShare    = 0.3
	maxFailingShare = 0.5
	// minSuspects is the number of suspected servers that shows nothing of the kind in any
	// fleet.
	minSuspects = 3
)

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
// leader, and reports it to the leaders of the failure domain otherwise: at once, or with others
// at the next Tick if it has sent a report recently.
func (relayer *Relayer) ReportSuspicion(token uint32, suspicion examiner.Suspicion) {
	now := time.Now()
	if relayer.isLeader() {
		relayer.handleSuspicions(suspicionReport{}.with(token, suspicion), now)
		return
	}
	relayer.mutex.Lock()
	relayer.suspicions.add(token, suspicion, now)
	isDue := relayer.suspicions.isDue(now)
	relayer.mutex.Unlock()
	if isDue {
		relayer.reportSuspicions(now)
	}
}

// reportSuspicions sends the suspicions that this instance has collected to the leaders of its
// failure domain, in a heartbeat unless both are known to accept reports. An instance that has
// become a leader meanwhile counts them itself.
func (relayer *Relayer) reportSuspicions(now time.Time) {
	relayer.mutex.Lock()
	report := relayer.suspicions.take(now)
	isLeader, acceptReports := relayer.schedule.isLeader, relayer.suspicions.leadersAccept
	relayer.mutex.Unlock()
	switch {
	case report.count() == 0:
		return
	case isLeader:
		relayer.handleSuspicions(report, now)
		return
	}
	isLeaderHere := func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain && position < leadersPerDomain
	}
	if acceptReports {
		relayer.sendShortReport(encode(report), isLeaderHere)
	} else {
		fill := func(heartbeat *Heartbeat) {
			heartbeat.Suspicions, heartbeat.SlowSuspicions = report.Failing, report.Slow
		}
		relayer.sendReport(fill, now, isLeaderHere)
	}
	relayer.observer.SuspicionsReported(report.count())
}

// receiveReport processes a suspicionReport of another instance.
func (relayer *Relayer) receiveReport(content []byte, now time.Time) error {
	var report suspicionReport
	if err := decode(content, &report); err != nil {
		return err
	}
	if report.count() > maxCollected {
		return errors.Errorf("report of %d suspicions is too long", report.count())
	}
	relayer.handleSuspicions(report, now)
	return nil
}

// handleSuspicions counts the suspicions in a report on a leader, and ejects the servers that
// have too many.
func (relayer *Relayer) handleSuspicions(report suspicionReport, now time.Time) {
	if !relayer.isLeader() {
		return
	}
	failing := relayer.countSuspicions(relayer.failureCounter, report.Failing, maxFailingShare, now)
	slow := relayer.countSuspicions(relayer.slownessCounter, report.Slow, maxSlowShare, now)
	for i := range slow {
		slow[i].IsSlow = true
	}
	relayer.ejectAndReport(append(failing, slow...), now)
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
	recipients, positions := relayer.selectActive(selects)
	heartbeat := relayer.newHeartbeat(now, true)
	heartbeat.Evacuations = nil // announcements carry them, and the report needs the room
	modify(&heartbeat)
	datagrams := relayer.distribute(heartbeat, recipients, positions, now)
	relayer.mutex.Unlock()
	relayer.send(datagrams)
}

// sendShortReport sends a datagram that is no heartbeat to the members that selects returns true
// for.
func (relayer *Relayer) sendShortReport(content []byte, selects func(member Member, position int) bool) {
	relayer.mutex.Lock()
	recipients, _ := relayer.selectActive(selects)
	relayer.mutex.Unlock()
	for _, recipient := range recipients {
		relayer.network.Send(recipient.PeerAddress, content)
	}
}

// selectActive returns the other active members that selects returns true for, and the positions
// of all. The mutex must be held.
func (relayer *Relayer) selectActive(selects func(member Member, position int) bool) ([]Member, map[string]int) {
	sorted, positions := rankMembers(relayer.activeMembers())
	var selected []Member
	for _, member := range sorted {
		if member.Name != relayer.self.Name && selects(member, positions[member.Name]) {
			selected = append(selected, member)
		}
	}
	return selected, positions
}
