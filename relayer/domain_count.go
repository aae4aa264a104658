package relayer

import "sync/atomic"

// domainCount is the number of instances in this instance's failure domain. The network
// fabric divides the packets of a failure domain's callers among these.
type domainCount struct {
	members  int          // known members in this failure domain, this instance included
	domains  int          // failure domains that have known members
	reported int          // that a leader of this failure domain last sent; 0 before the first
	current  atomic.Int64 // what DomainInstances returns
}

// DomainInstances returns the number of instances in this instance's failure domain, this one
// included. It never waits, since every new flow needs it.
func (relayer *Relayer) DomainInstances() int { return max(int(relayer.domainCount.current.Load()), 1) }

// countDomainMembers counts the members again after they have changed. The mutex must be held.
func (relayer *Relayer) countDomainMembers() {
	counts := relayer.countByDomain()
	relayer.domainCount.members, relayer.domainCount.domains = counts[relayer.self.FailureDomain], len(counts)
}

// countByDomain returns the numbers of known members by failure domain, this instance
// included. The mutex must be held.
func (relayer *Relayer) countByDomain() map[string]int {
	counts := map[string]int{relayer.self.FailureDomain: 1}
	for _, member := range relayer.members {
		counts[member.FailureDomain]++
	}
	return counts
}

// recordSavedCounts uses the numbers of instances in the saved snapshot until a leader sends
// newer ones, so that an instance that starts with many others knows among how many the load is
// divided.
func (relayer *Relayer) recordSavedCounts(counts map[string]int) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	total := 0
	for _, count := range counts {
		total += max(count, 0)
	}
	if relayer.reportedInstances == 0 {
		relayer.reportedInstances = total
	}
	if relayer.domainCount.reported == 0 {
		relayer.domainCount.reported = max(counts[relayer.self.FailureDomain], 0)
	}
	relayer.updateInstanceCount()
}

// recordDomainCount keeps the number that a leader of this failure domain sent. The mutex must
// be held.
func (relayer *Relayer) recordDomainCount(heartbeat Heartbeat) {
	if heartbeat.DomainInstanceCount > 0 && heartbeat.Sender.FailureDomain == relayer.self.FailureDomain {
		relayer.domainCount.reported = heartbeat.DomainInstanceCount
	}
}

// updateDomainCount sets what DomainInstances returns: a leader counts its members, another
// instance uses the number that a leader sent, or before the first an equal part of all
// instances. The mutex must be held.
func (relayer *Relayer) updateDomainCount(instances int) {
	domainCount := &relayer.domainCount
	count := domainCount.reported
	switch domains := max(domainCount.domains, 1); {
	case relayer.schedule.isLeader && relayer.hasReadMembers:
		count = domainCount.members
	case count == 0:
		count = (instances + domains - 1) / domains
	}
	domainCount.current.Store(int64(count))
}
