package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

// recordViolation adds a violation to the report.
func (soak *soak) recordViolation(format string, arguments ...any) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Violations = append(soak.report.Violations, soak.withTimestamps(fmt.Sprintf(format, arguments...)))
}

// withTimestamps prefixes a line with the time since the start of the run, and with
// the time of day as in the logs.
func (soak *soak) withTimestamps(line string) string {
	now := time.Now()
	return fmt.Sprintf("%7.3f s (%s) %s", now.Sub(soak.startedAt).Seconds(), now.UTC().Format("15:04:05.000"), line)
}

// isStable reports whether time limits apply: no fault has been active for
// stabilizationTime. The caller holds soak.mutex.
func (soak *soak) isStable() bool {
	return soak.settings.CheckTimeLimits && soak.activeFaults == 0 && time.Since(soak.lastFaultEnd) > stabilizationTime
}

// checkOpening checks whether a server may receive a new flow. The caller holds the
// server's mutex.
func (soak *soak) checkOpening(server *server, received packet) {
	leavingAt := server.leavingAt
	soak.openingMutex.Lock()
	opening := soak.openings[[2]netip.AddrPort{received.source, received.destination}]
	isUndisturbed := opening != nil && soak.isUndisturbed(opening)
	soak.openingMutex.Unlock()
	soak.mutex.Lock()
	afterDrain := isUndisturbed && !leavingAt.IsZero() && time.Since(leavingAt) > drainNoticeLimit+timeTolerance
	evacuatedAt, evacuated := soak.evacuatedAt[server.failureDomain()]
	afterEvacuation := isUndisturbed && evacuated && time.Since(evacuatedAt) > evacuationLimit+timeTolerance
	removedAt := soak.extraRouteRemovedAt
	afterRemoval := isUndisturbed && received.destination == extraRoute && !removedAt.IsZero() && time.Since(removedAt) > configurationApplyLimit+timeTolerance
	soak.mutex.Unlock()
	switch {
	case serviceByRoute[received.destination] != server.service:
		soak.recordViolation("a flow to %s reached server %s of service %s", received.destination, server.name, server.service)
	case afterDrain:
		soak.recordViolation("server %s received a new flow %.1f s after it began to drain", server.name, time.Since(leavingAt).Seconds())
	case afterEvacuation:
		soak.recordViolation("server %s received a new flow %.1f s after its failure domain was evacuated", server.name, time.Since(evacuatedAt).Seconds())
	case afterRemoval:
		soak.recordViolation("a new flow to a route that was removed %.1f s ago reached server %s", time.Since(removedAt).Seconds(), server.name)
	}
}

// recordExecution records which server executes a request. A second execution is a
// violation.
func (soak *soak) recordExecution(id string, server *server) {
	soak.mutex.Lock()
	previous, repeated := soak.executedBy[id]
	soak.executedBy[id] = server.name
	soak.mutex.Unlock()
	if repeated {
		soak.recordViolation("request %s was executed by %s and by %s", id, previous, server.name)
	}
}

// serverHasOpenFlow reports whether a server is running and has the flow open.
func (soak *soak) serverHasOpenFlow(name string, key [2]netip.AddrPort) bool {
	soak.mutex.Lock()
	server := soak.servers[name]
	soak.mutex.Unlock()
	return server != nil && server.hasOpenFlow(key)
}

// countOutcome counts the outcome of a request. On the extra route only served
// requests count, since that route may be removed.
func (soak *soak) countOutcome(route netip.AddrPort, result outcome) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	switch {
	case result == served:
		soak.report.Served++
	case route == extraRoute:
	case result == refused:
		soak.report.Refused++
	case result == shed:
		soak.report.Shed++
	default:
		soak.report.Failed++
		time.AfterFunc(stallLimit, func() { soak.checkFailure(route) })
	}
}

// checkFailure checks, when a stall would have been noticed, that a request had reason to fail.
func (soak *soak) checkFailure(route netip.AddrPort) {
	soak.mutex.Lock()
	onlyPlanned := soak.activeUnplanned == 0 && time.Since(soak.lastUnplannedEnd) > stabilizationTime+openingTimeout+requestTimeout
	soak.mutex.Unlock()
	if onlyPlanned && soak.settings.CheckTimeLimits {
		soak.recordViolation("a request to %s failed although only planned work was done", route)
	}
}

// watchStalls counts the times when this process, which holds callers and servers, did not run as a
// fault of everything.
func (soak *soak) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(stallLimit / 10)
		if stalled := time.Since(last); stalled > stallLimit {
			soak.recordFaultStart(fmt.Sprintf("the soak stalled for %s", stalled), everything)
			soak.recordFaultEnd(everything)
			for _, server := range soak.sortedServers() {
				server.silence(0)
			}
		}
	}
}
