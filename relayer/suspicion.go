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
	// reportInterval is the shortest time between two reports of slow servers, and of any
	// servers to other failure domains; those found meanwhile share a report.
	reportInterval = 300 * time.Millisecond
	// maxReportedEjections limits such a report, so that it fits one datagram.
	maxReportedEjections = 50
	// maxSlowShare is the largest share of the servers that may be suspected of slowness. If
	// more are, the load or the network is the cause, and the others could not take over.
	maxSlowShare = 0.3
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
// counts suspicions. It reports failing servers to its domain at once, all else with the
// next report.
func (relayer *Relayer) handleSuspicions(heartbeat Heartbeat, now time.Time) {
	if relayer.isLeader() {
		if failing := relayer.countSuspicions(relayer.failureCounter, heartbeat.Suspicions, now); len(failing) > 0 {
			relayer.eject(failing)
			relayer.sendEjections(failing, now)
			relayer.queueForOthers(failing)
		}
		relayer.addSlowServers(heartbeat.SlowSuspicions, now)
	}
	relayer.eject(heartbeat.Ejections)
	relayer.relayEjections(heartbeat, now)
}

// countSuspicions counts suspicions, and returns the ejections of servers that have too many.
func (relayer *Relayer) countSuspicions(counter suspicionCounter, tokens []uint32, now time.Time) []Ejection {
	var ejections []Ejection
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	for _, token := range tokens {
		if duration := counter.AddSuspicion(token, now); duration > 0 {
			ejections = append(ejections, Ejection{Token: token, Duration: duration})
		}
	}
	return ejections
}

// addSlowServers counts suspicions of slowness, ejects the servers that have too many, and
// keeps them for the next report unless too many servers are suspected.
func (relayer *Relayer) addSlowServers(tokens []uint32, now time.Time) {
	slow := relayer.countSuspicions(relayer.slownessCounter, tokens, now)
	view := relayer.viewer.Current()
	if len(slow) == 0 || view.Servers == nil {
		return
	}
	for i := range slow {
		slow[i].IsSlow = true
	}
	relayer.mutex.Lock()
	manySuspects := float64(relayer.slownessCounter.SuspectCount(now)) > maxSlowShare*float64(len(view.Servers.List))
	relayer.mutex.Unlock()
	if !manySuspects {
		relayer.eject(slow)
		relayer.queueForDomain(slow)
		relayer.queueForOthers(slow)
	}
}

// queueForDomain keeps ejections for the next report to this failure domain.
func (relayer *Relayer) queueForDomain(ejections []Ejection) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.unreported.domain = appendLimited(relayer.unreported.domain, ejections)
}

// queueForOthers keeps the ejections of servers in this failure domain for the next report to
// the leaders of the others.
func (relayer *Relayer) queueForOthers(ejections []Ejection) {
	own := relayer.inDomain(ejections, relayer.self.FailureDomain)
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.unreported.others = appendLimited(relayer.unreported.others, own)
}

// appendLimited appends ejections up to maxReportedEjections.
func appendLimited(queue, ejections []Ejection) []Ejection {
	free := maxReportedEjections - len(queue)
	return append(queue, ejections[:min(free, len(ejections))]...)
}

// relayEjections passes servers that a leader of another failure domain has found in its own
// domain on to this domain. There the network between the domains cannot be the cause. The
// second leader of a domain reports much the same, which is not passed on again.
func (relayer *Relayer) relayEjections(heartbeat Heartbeat, now time.Time) {
	if heartbeat.Sender.FailureDomain == relayer.self.FailureDomain || !relayer.isLeader() {
		return
	}
	var unknown []Ejection
	certain := relayer.inDomain(heartbeat.Ejections, heartbeat.Sender.FailureDomain)
	relayer.mutex.Lock()
	for _, ejection := range certain {
		if until := now.Add(ejection.Duration); until.Sub(relayer.relayedUntil[ejection.Token]) > reportInterval {
			relayer.relayedUntil[ejection.Token] = until
			unknown = append(unknown, ejection)
		}
	}
	for token, until := range relayer.relayedUntil {
		if now.After(until) {
			delete(relayer.relayedUntil, token)
		}
	}
	relayer.mutex.Unlock()
	if len(unknown) > 0 {
		relayer.sendEjections(unknown, now)
	}
}

// inDomain returns the ejections of servers in a failure domain.
func (relayer *Relayer) inDomain(ejections []Ejection, domain string) []Ejection {
	view := relayer.viewer.Current()
	var inside []Ejection
	for _, ejection := range ejections {
		if server := view.ServerByToken(ejection.Token); server != nil && server.FailureDomain == domain {
			inside = append(inside, ejection)
		}
	}
	return inside
}

// unreportedEjections are waiting for the next report.
type unreportedEjections struct {
	domain     []Ejection // for this failure domain
	others     []Ejection // for the leaders of the others
	reportedAt time.Time  // when the last report was sent
}

// reportEjections sends the ejections that are waiting.
func (relayer *Relayer) reportEjections(now time.Time) {
	relayer.mutex.Lock()
	unreported := relayer.unreported
	if len(unreported.domain)+len(unreported.others) == 0 || now.Sub(unreported.reportedAt) < reportInterval {
		relayer.mutex.Unlock()
		return
	}
	relayer.unreported = unreportedEjections{reportedAt: now}
	relayer.mutex.Unlock()
	if len(unreported.domain) > 0 {
		relayer.sendEjections(unreported.domain, now)
	}
	if len(unreported.others) > 0 {
		relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.Ejections = unreported.others }, now, func(member Member, position int) bool {
			return member.FailureDomain != relayer.self.FailureDomain && position < leadersPerDomain
		})
	}
}

// sendEjections sends ejections to the instances of this failure domain.
func (relayer *Relayer) sendEjections(ejections []Ejection, now time.Time) {
	relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.Ejections = ejections }, now, func(member Member, _ int) bool {
		return member.FailureDomain == relayer.self.FailureDomain
	})
}

// eject passes ejections to the observer, which decides whether to apply them.
func (relayer *Relayer) eject(ejections []Ejection) {
	for _, ejection := range ejections {
		relayer.observer.EjectServer(ejection)
	}
}

// sendReport sends a heartbeat that modify has completed, and that asks for no answer, to the
// members that selects returns true for.
func (relayer *Relayer) sendReport(modify func(*Heartbeat), now time.Time, selects func(member Member, position int) bool) {
	relayer.mutex.Lock()
	heartbeat := relayer.newHeartbeat(now, true)
	modify(&heartbeat)
	content := encode(heartbeat)
	sorted, positions := rankMembers(relayer.activeMembers())
	relayer.mutex.Unlock()
	for _, member := range sorted {
		if member.Name != relayer.self.Name && selects(member, positions[member.Name]) {
			relayer.network.Send(member.PeerAddress, content)
		}
	}
}
