package soaker

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	burstRate     = 675                    // openings a second; three servers work off two thirds
	burstLimit    = 2 * time.Second        // from the last request that a server sheds to the last refusal
	holdLimit     = 100 * time.Millisecond // for which an opening is held, as the settings have it
	seenInterval  = 50 * time.Millisecond  // by which the order of two sightings may differ from that at an instance
	standInterval = time.Second            // in which an instance that stood still delays other services too
)

// opening is what callers and servers saw of the opening of one flow.
type opening struct {
	sentAt     time.Time // the first copy
	route      netip.AddrPort
	instances  []*instance // that each copy was sent to
	server     string      // that got it first; empty if none did
	receivedAt time.Time   // by that server
	refusedAt  time.Time   // zero if it was not reset
	isHeldLong bool        // for longer than holdLimit, while nothing was disturbed
}

// burst opens more flows of the service of reports than its servers can work off, a quarter of
// them urgent.
func burst(soak *soak, parameters faultParameters) {
	var flows sync.WaitGroup
	ticker := time.NewTicker(time.Second / burstRate)
	defer ticker.Stop()
	end := time.After(parameters.duration)
	for i := 0; ; i++ {
		select {
		case <-end:
			flows.Wait()
			return
		case <-ticker.C:
			route := bulkRoute
			if i%4 == 0 {
				route = reportRoute
			}
			flows.Go(func() { soak.callers[i%len(soak.callers)].call(route, 1, 0) })
		}
	}
}

// checkReception checks an opening that reaches a server: it was not refused, and not held for
// longer than holdLimit. The caller holds the server's mutex.
func (soak *soak) checkReception(key [2]netip.AddrPort, server *server, received packet) {
	soak.openingMutex.Lock()
	defer soak.openingMutex.Unlock()
	opening := soak.openings[key]
	if opening == nil {
		return
	}
	if opening.server == "" {
		opening.server, opening.receivedAt = server.name, time.Now()
		opening.isHeldLong = received.acknowledgment == 0 && opening.receivedAt.Sub(opening.sentAt) > holdLimit+timeTolerance && soak.isUndisturbed(opening)
	}
	if !opening.refusedAt.IsZero() {
		soak.recordViolation("opening %s reached server %s after it was refused", key, server.name)
	}
}

// checkRefusal checks an opening that was reset: it reached no server, and there was a reason.
func (soak *soak) checkRefusal(key [2]netip.AddrPort) {
	hasServer := soak.hasServer(serviceByRoute[key[1]], "")
	soak.openingMutex.Lock()
	defer soak.openingMutex.Unlock()
	opening := soak.openings[key]
	opening.refusedAt = time.Now()
	if opening.server != "" {
		soak.recordViolation("opening %s was refused after it reached server %s", key, opening.server)
	}
	if key[1] == extraRoute || !hasServer || !soak.isUndisturbed(opening) {
		return
	}
	opening.isHeldLong = opening.refusedAt.Sub(opening.sentAt) > holdLimit+timeTolerance
	soak.mutex.Lock()
	sinceShed := opening.sentAt.Sub(soak.lastShedAt)
	soak.mutex.Unlock()
	if sinceShed > burstLimit+timeTolerance {
		soak.recordViolation("opening %s was refused %s after a server last shed a request", key, sinceShed)
	}
}

// isUndisturbed reports whether time limits apply to an opening: to the system, and to all
// instances that got it. The caller holds soak.openingMutex.
func (soak *soak) isUndisturbed(opening *opening) bool {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if !soak.isStable() {
		return false
	}
	for _, instance := range opening.instances {
		if instance.activeFaults > 0 || time.Since(instance.lastFaultEnd) < stabilizationTime {
			return false
		}
	}
	return true
}

// isWarm reports whether all instances know that the server is warm.
func (server *server) isWarm() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return time.Since(server.coldUntil) > warmNoticeLimit
}

// checkOrder checks, after the run, that no instance refused an urgent opening while it admitted a
// later, less urgent one, and held none for too long unless it stood still.
func (soak *soak) checkOrder() {
	soak.openingMutex.Lock()
	defer soak.openingMutex.Unlock()
	openings := slices.Collect(maps.Values(soak.openings))
	for _, opening := range openings {
		if opening.route == reportRoute && !opening.refusedAt.IsZero() && slices.ContainsFunc(openings, opening.isOvertakenBy) {
			soak.recordViolation("%s refused an urgent opening at %s and admitted a less urgent one meanwhile", opening.instances[0].name, opening.refusedAt.Format(time.StampMilli))
		}
		if opening.isHeldLong && !slices.ContainsFunc(openings, opening.isDelayedLike) {
			soak.recordViolation("%s held the opening of %s for too long", opening.instances[0].name, opening.sentAt.Format(time.StampMilli))
		}
	}
}

// sharesInstance reports whether the first copies went to the same instance.
func (opening *opening) sharesInstance(other *opening) bool {
	return len(other.instances) > 0 && other.instances[0] == opening.instances[0]
}

// isOvertakenBy reports whether a less urgent opening was sent later and admitted while this one waited.
func (opening *opening) isOvertakenBy(other *opening) bool {
	return other.route == bulkRoute && other.server != "" && len(other.instances) == 1 && opening.sharesInstance(other) &&
		other.sentAt.After(opening.sentAt) && other.receivedAt.Before(opening.refusedAt.Add(-seenInterval))
}

// isDelayedLike reports whether an opening of the service that has room was late at the same time.
func (opening *opening) isDelayedLike(other *opening) bool {
	return serviceByRoute[other.route] != serviceByRoute[bulkRoute] && opening.sharesInstance(other) && other.sentAt.Sub(opening.sentAt).Abs() < standInterval &&
		other.server != "" && other.receivedAt.Sub(other.sentAt) > holdLimit
}
