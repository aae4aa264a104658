package relayer

import (
	"time"

	"github.com/pimentowind/pimentowind/admitter"
)

// Instances whose services lack room report what they see to the leaders of their failure
// domain. A leader adds the reports up, sends the sum to the leaders of the other domains, and
// the sum over all domains to the instances of its own. While no service lacks room nothing is
// sent.

const (
	// loadInterval is the time between two reports of one instance.
	loadInterval = 300 * time.Millisecond
	// loadLifetime is how long a leader uses a load that it received. It is short, so that the end
	// of a shortage is soon known; the sums matter by their ratios, to which one lost datagram
	// makes little difference.
	loadLifetime = 450 * time.Millisecond
)

// loadMonitor sees the load of this instance; admitter.Admitter implements it.
type loadMonitor interface {
	// Report returns nil while no service lacks room.
	Report(now time.Time) admitter.Load
	// ApplyShared replaces the sum over the fleet.
	ApplyShared(load admitter.Load, now time.Time)
}

// LoadScope says whose load a heartbeat holds.
type LoadScope int

// Scopes of a load.
const (
	InstanceLoad LoadScope = iota // of the sender; for the leaders of its failure domain
	DomainLoad                    // of the sender's failure domain; for the leaders of the others
	FleetLoad                     // of all; for the instances of the sender's failure domain
)

// SharedLoad is a load as a heartbeat holds it.
type SharedLoad struct {
	Scope LoadScope     `cbor:"1,keyasint"`
	Load  admitter.Load `cbor:"2,keyasint"`
}

// receivedLoad is a load and when it was received.
type receivedLoad struct {
	load admitter.Load
	at   time.Time
}

// loadExchange holds what a leader has received.
type loadExchange struct {
	monitor    loadMonitor // nil if loads are not shared
	sentAt     time.Time
	byInstance map[string]receivedLoad // of this failure domain, by instance
	byDomain   map[string]receivedLoad // of the others, by failure domain
}

func newLoadExchange() loadExchange {
	return loadExchange{byInstance: map[string]receivedLoad{}, byDomain: map[string]receivedLoad{}}
}

// SetLoadMonitor sets what sees the load of this instance; it must be called before Run.
func (relayer *Relayer) SetLoadMonitor(monitor loadMonitor) { relayer.loads.monitor = monitor }

// receiveLoad handles the load in a heartbeat, if any.
func (relayer *Relayer) receiveLoad(heartbeat Heartbeat, now time.Time) {
	load, isOwnDomain := heartbeat.Load, heartbeat.Sender.FailureDomain == relayer.self.FailureDomain
	if load == nil || relayer.loads.monitor == nil {
		return
	}
	relayer.mutex.Lock()
	isLeader := relayer.schedule.isLeader
	switch {
	case load.Scope == InstanceLoad && isOwnDomain:
		relayer.loads.byInstance[heartbeat.Sender.Name] = receivedLoad{load: load.Load, at: now}
	case load.Scope == DomainLoad && !isOwnDomain:
		relayer.loads.byDomain[heartbeat.Sender.FailureDomain] = receivedLoad{load: load.Load, at: now}
	}
	relayer.mutex.Unlock()
	if load.Scope == FleetLoad && isOwnDomain && !isLeader {
		relayer.loads.monitor.ApplyShared(load.Load, now)
	}
}

// shareLoad reports this instance's load to the leaders of its failure domain and, as a leader,
// the sums, at most once per loadInterval.
func (relayer *Relayer) shareLoad(now time.Time) {
	if relayer.loads.monitor == nil || now.Sub(relayer.loads.sentAt) < loadInterval {
		return
	}
	own := relayer.loads.monitor.Report(now)
	if len(own) > 0 {
		relayer.loads.sentAt = now
		relayer.sendLoad(InstanceLoad, own, now, func(member Member, position int) bool {
			return member.FailureDomain == relayer.self.FailureDomain && position < leadersPerDomain
		})
	}
	if relayer.isLeader() {
		relayer.shareSums(own, now)
	}
}

// shareSums sends the sum over this failure domain to the leaders of the others, and the sum over
// all to the instances of this one.
func (relayer *Relayer) shareSums(own admitter.Load, now time.Time) {
	relayer.mutex.Lock()
	if len(own) > 0 {
		relayer.loads.byInstance[relayer.self.Name] = receivedLoad{load: own, at: now}
	}
	domain := admitter.Sum(recentLoads(relayer.loads.byInstance, now))
	fleet := admitter.Sum(append(recentLoads(relayer.loads.byDomain, now), domain))
	relayer.mutex.Unlock()
	if len(fleet) == 0 {
		return
	}
	relayer.loads.sentAt = now
	relayer.loads.monitor.ApplyShared(fleet, now)
	relayer.sendLoad(FleetLoad, fleet, now, func(member Member, position int) bool {
		return member.FailureDomain == relayer.self.FailureDomain && position >= leadersPerDomain
	})
	if len(domain) > 0 {
		relayer.sendLoad(DomainLoad, domain, now, func(member Member, position int) bool {
			return member.FailureDomain != relayer.self.FailureDomain && position < leadersPerDomain
		})
	}
}

func (relayer *Relayer) sendLoad(scope LoadScope, load admitter.Load, now time.Time, selects func(member Member, position int) bool) {
	relayer.sendReport(func(heartbeat *Heartbeat) { heartbeat.Load = &SharedLoad{Scope: scope, Load: load} }, now, selects)
}

// recentLoads returns the loads that are not too old, and forgets the others.
func recentLoads(received map[string]receivedLoad, now time.Time) []admitter.Load {
	var recent []admitter.Load
	for name, load := range received {
		if now.Sub(load.at) > loadLifetime {
			delete(received, name)
			continue
		}
		recent = append(recent, load.load)
	}
	return recent
}
