package relayer

import (
	"time"

	"golang.org/x/time/rate"
)

// Each response that looks like a failure is told to those that lead the failure
// domain. They add up what its instances saw, each of which sees a small part, and
// tell the domain which servers to hold off. Two that lead may both do so; the
// later end counts.

// suspicionRate bounds the suspicions that one instance sends a second, and in a
// burst, so that a service that fails as a whole does not load those that lead.
const suspicionRate = 5

func newSuspicionLimiter() *rate.Limiter { return rate.NewLimiter(suspicionRate, suspicionRate) }

// suspicionCounter adds up suspicions and returns for how long a server is held off from now
// on, 0 if it is not.
type suspicionCounter interface {
	AddSuspicion(token uint32, now time.Time) time.Duration
}

// ReportSuspicion takes a response of the server with a token that looked like a failure.
func (relayer *Relayer) ReportSuspicion(token uint32) {
	now := time.Now()
	if relayer.isLeader() {
		relayer.countSuspicions([]uint32{token}, now)
		return
	}
	if !relayer.suspicionLimiter.AllowN(now, 1) {
		return
	}
	relayer.sendToSelected(func(heartbeat *Heartbeat) { heartbeat.Suspicions = []uint32{token} }, now, func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain && position < leadersPerDomain
	})
}

// countSuspicions counts suspicions and tells the failure domain which servers are held off.
func (relayer *Relayer) countSuspicions(suspects []uint32, now time.Time) {
	var failing []Ejection
	relayer.mutex.Lock()
	for _, token := range suspects {
		if hold := relayer.suspicionCounter.AddSuspicion(token, now); hold > 0 {
			failing = append(failing, Ejection{Token: token, Duration: hold})
		}
	}
	relayer.mutex.Unlock()
	if len(failing) == 0 {
		return
	}
	relayer.eject(failing)
	relayer.sendToSelected(func(heartbeat *Heartbeat) { heartbeat.Ejections = failing }, now, func(member Member, _ int) bool {
		return member.FailureDomain == relayer.self.FailureDomain
	})
}

// handleSuspicions acts on what a heartbeat says of failing servers.
func (relayer *Relayer) handleSuspicions(heartbeat Heartbeat, now time.Time) {
	if len(heartbeat.Suspicions) > 0 && relayer.isLeader() {
		relayer.countSuspicions(heartbeat.Suspicions, now)
	}
	relayer.eject(heartbeat.Ejections)
}

func (relayer *Relayer) eject(failing []Ejection) {
	for _, server := range failing {
		relayer.observer.ServerEjected(server.Token, server.Duration)
	}
}

// sendToSelected sends some members a heartbeat that is no news of its own and asks for no answer.
func (relayer *Relayer) sendToSelected(extend func(*Heartbeat), now time.Time, wanted func(member Member, position int) bool) {
	relayer.mutex.Lock()
	heartbeat := relayer.newHeartbeat(now, true)
	extend(&heartbeat)
	content := encode(heartbeat)
	sorted, positions := rankMembers(relayer.activeMembers())
	relayer.mutex.Unlock()
	for _, member := range sorted {
		if member.Name != relayer.self.Name && wanted(member, positions[member.Name]) {
			relayer.network.Send(member.PeerAddress, content)
		}
	}
}
