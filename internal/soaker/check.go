package soaker

import (
	"fmt"
	"net/netip"
	"time"
)

// violate notes a promise that was broken.
func (soak *soak) violate(format string, arguments ...any) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Violations = append(soak.report.Violations, soak.stamp(fmt.Sprintf(format, arguments...)))
}

// stamp puts the time since the start before a line, and the time of day that logs have.
func (soak *soak) stamp(line string) string {
	now := time.Now()
	return fmt.Sprintf("%7.3f s (%s) %s", now.Sub(soak.startedAt).Seconds(), now.UTC().Format("15:04:05.000"), line)
}

// calm reports whether no fault has been under way for the stable time; the mutex is held.
func (soak *soak) calm() bool {
	return soak.settings.CheckTimeLimits && soak.troubled == 0 && time.Since(soak.calmAt) > stableTime
}

// checkOpening checks whether a server may get a new flow; the server's mutex is held.
func (soak *soak) checkOpening(server *server, received packet) {
	leavingAt := server.leavingAt
	soak.mutex.Lock()
	late := soak.calm() && !leavingAt.IsZero() && time.Since(leavingAt) > drainLimit+slack
	gone := soak.extraGone
	removed := soak.calm() && received.destination == extraRoute && !gone.IsZero() && time.Since(gone) > applyLimit+slack
	soak.mutex.Unlock()
	switch {
	case allowed[received.destination] != server.service:
		soak.violate("a flow to %s reached server %s of service %s", received.destination, server.name, server.service)
	case late:
		soak.violate("server %s got a new flow %.1f s after it began to leave", server.name, time.Since(leavingAt).Seconds())
	case removed:
		soak.violate("a flow to a route that was removed %.1f s before reached server %s", time.Since(gone).Seconds(), server.name)
	}
}

// ran notes that a server runs a request; each may run once.
func (soak *soak) ran(id string, server *server) {
	soak.mutex.Lock()
	before, again := soak.runs[id]
	soak.runs[id] = server.name
	soak.mutex.Unlock()
	if again {
		soak.violate("request %s ran at %s and at %s", id, before, server.name)
	}
}

// holds reports whether a server lives and holds a flow.
func (soak *soak) holds(name string, key [2]netip.AddrPort) bool {
	soak.mutex.Lock()
	server := soak.servers[name]
	soak.mutex.Unlock()
	return server != nil && server.holds(key)
}

// count counts how a request ended; the extra route is not always there.
func (soak *soak) count(service netip.AddrPort, result outcome) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	switch {
	case result == served:
		soak.report.Served++
	case service == extraRoute:
	case result == refused:
		soak.report.Refused++
	default:
		soak.report.Failed++
	}
}
