package soaker

import (
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
)

// toggleEvacuation evacuates a failure domain, or ends its evacuation.
func (soak *soak) toggleEvacuation(domain string) {
	if !soak.endEvacuation(domain) {
		soak.evacuate(domain)
	}
}

// evacuate evacuates a failure domain, if it is not evacuated.
func (soak *soak) evacuate(domain string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if _, evacuated := soak.evacuatedAt[domain]; !evacuated {
		soak.evacuatedAt[domain] = time.Now()
		soak.store.Put(platform.EvacuationsKind, domain, "{}")
	}
}

func (soak *soak) isEvacuated(domain string) bool {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	_, evacuated := soak.evacuatedAt[domain]
	return evacuated
}

// endEvacuation takes a failure domain back, and reports whether it was evacuated.
func (soak *soak) endEvacuation(domain string) bool {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	_, evacuated := soak.evacuatedAt[domain]
	delete(soak.evacuatedAt, domain)
	soak.returnedAt[domain] = time.Now()
	soak.store.Remove(platform.EvacuationsKind, domain)
	return evacuated
}

// endEvacuations ends all evacuations.
func (soak *soak) endEvacuations() {
	for _, domain := range soak.store.Names(platform.EvacuationsKind) {
		soak.endEvacuation(domain)
	}
}

// returnCold evacuates one failure domain, or two for half of the choices, and takes them back
// with servers that have turned cold and say so up to a second later. While it does, others do nothing.
func returnCold(soak *soak, parameters faultParameters) {
	if !soak.returnMutex.TryLock() {
		return
	}
	defer soak.returnMutex.Unlock()
	domains := min(1+parameters.choice%2, soak.settings.FailureDomains-1)
	for i := range domains {
		soak.evacuate(soak.domainName(parameters.choice + i))
	}
	time.Sleep(evacuationLimit + parameters.duration)
	for i := range domains {
		domain := soak.domainName(parameters.choice + i)
		if !soak.isEvacuated(domain) {
			continue // another fault has taken it back
		}
		turned := soak.turnCold(domain)
		soak.endEvacuation(domain)
		time.AfterFunc(time.Duration(parameters.choice)*time.Millisecond, func() {
			for _, server := range turned {
				server.renewEntry()
			}
		})
	}
}

// turnCold makes the servers of a failure domain cold, unless their service has no warm server in
// another that was not taken back just now: then they get flows before instances know that they are cold.
func (soak *soak) turnCold(domain string) []*server {
	var turned []*server
	for _, server := range soak.sortedServers() {
		if server.failureDomain() == domain && server.acceptsFlows() && soak.hasServer(server.service, domain) {
			server.warmUp()
			turned = append(turned, server)
		}
	}
	return turned
}

// hasServer reports whether a service has a warm server in a failure domain that is not evacuated,
// was not taken back just now, and is not the excepted one.
func (soak *soak) hasServer(service, exceptedDomain string) bool {
	for _, server := range soak.sortedServers() {
		domain := server.failureDomain()
		soak.mutex.Lock()
		justReturned := time.Since(soak.returnedAt[domain]) < evacuationLimit+timeTolerance
		soak.mutex.Unlock()
		if server.service == service && domain != exceptedDomain && !justReturned && !soak.isEvacuated(domain) && server.acceptsFlows() && server.isWarm() {
			return true
		}
	}
	return false
}

// renewEntry writes the entry of a server that has one.
func (server *server) renewEntry() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch {
	case server.stopped:
	case !server.leavingAt.IsZero():
		server.writeEntry(parser.Leaving)
	default:
		server.writeEntry(parser.Active)
	}
}
