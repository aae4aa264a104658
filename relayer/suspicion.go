package relayer

import (
	"time"

	"golang.org/x/time/rate"
)

// A suspicion is a response of a backend server that looked like a failure. Each
// instance sees only a small part of a server's responses, so it reports its
// suspicions to the leaders of its failure domain, which count those of all
// instances and send the domain the servers to eject. If both leaders eject the same
// server, the longer ejection holds.

// suspicionRate limits the suspicions that one instance sends per second, and the burst,
// so that a service that fails as a whole does not overload the leaders.
const suspicionRate = 5

func newSuspicionLimiter() *rate.Limiter { return rate.NewLimiter(suspicionRate, suspicionRate) }

// suspicionCounter counts the suspicions against each server. Relayer calls it with its mutex
// held.
type suspicionCounter interface {
	// AddSuspicion counts a suspicion and returns for how long the server is to be ejected
	// from now on, 0 if it is not.
	AddSuspicion(token uint32, now time.Time) time.Duration
}

// ReportSuspicion counts a suspicion against the server with this token if this instance is a
// leader, and sends it to the leaders of the failure domain otherwise.
func (relayer *Relayer) ReportSuspicion(token uint32) {
	now := time.Now()
	if relayer.isLeader() {
		relayer.countSuspicions([]uint32{token}, now)
		return
	}
	if !relayer.suspicionLimiter.AllowN(now, 1) {
		return
	}
	relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.Suspicions = []uint32{token} }, now, func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain && position < leadersPerDomain
	})
}

// countSuspicions counts suspicions, and ejects the servers that have too many on all
// instances of the failure domain.
func (relayer *Relayer) countSuspicions(tokens []uint32, now time.Time) {
	var ejections []Ejection
	relayer.mutex.Lock()
	for _, token := range tokens {
		if duration := relayer.suspicionCounter.AddSuspicion(token, now); duration > 0 {
			ejections = append(ejections, Ejection{Token: token, Duration: duration})
		}
	}
	relayer.mutex.Unlock()
	if len(ejections) == 0 {
		return
	}
	relayer.eject(ejections)
	relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.Ejections = ejections }, now, func(member Member, _ int) bool {
		return member.FailureDomain == relayer.self.FailureDomain
	})
}

// handleSuspicions processes the suspicions and the ejections in a heartbeat. Only a leader
// counts suspicions.
func (relayer *Relayer) handleSuspicions(heartbeat Heartbeat, now time.Time) {
	if len(heartbeat.Suspicions) > 0 && relayer.isLeader() {
		relayer.countSuspicions(heartbeat.Suspicions, now)
	}
	relayer.eject(heartbeat.Ejections)
}

// eject passes ejections to the observer, which decides whether to apply them.
func (relayer *Relayer) eject(ejections []Ejection) {
	for _, ejection := range ejections {
		relayer.observer.EjectServer(ejection.Token, ejection.Duration)
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
