package relayer

import (
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// Ejections are reported to the failure domain, and those of servers in it to the leaders of the
// other domains. Those that are found soon after a report wait for a common one.

const (
	// reportInterval is the shortest time between two reports.
	reportInterval = 300 * time.Millisecond
	// maxReportedEjections limits such a report, so that it fits one datagram.
	maxReportedEjections = 50
)

// ejectAndReport ejects servers here and reports them.
func (relayer *Relayer) ejectAndReport(ejections []Ejection, now time.Time) {
	if len(ejections) == 0 {
		return
	}
	relayer.eject(ejections)
	relayer.queueForDomain(ejections)
	relayer.queueForOthers(ejections)
	relayer.reportEjections(now)
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
	relayer.queueForDomain(unknown)
	relayer.reportEjections(now)
}

// inDomain returns the ejections of servers in a failure domain.
func (relayer *Relayer) inDomain(ejections []Ejection, domain string) []Ejection {
	view := relayer.viewer.Current()
	var inside []Ejection
	for _, ejection := range ejections {
		isInside := func(server *viewer.BackendServer) bool { return server.FailureDomain == domain }
		if slices.ContainsFunc(view.ServersByToken(ejection.Token), isInside) {
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
