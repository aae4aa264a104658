package soaker

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/platform/standin"
)

const (
	drainGracePeriod = 5 * time.Second         // shortest time that a leaving server keeps its flows
	entryExpiryTime  = 3600 * time.Millisecond // after which an entry that is not renewed leaves the store
	stopTimeout      = 6 * time.Second         // for an instance to exit after a signal
)

// fault is a kind of fault that a run can inject.
type fault struct {
	name   string
	inject func(soak *soak, parameters faultParameters) // returns when the fault is over
}

// faultParameters holds the random parameters of one fault. They are drawn before the
// fault starts, so that the sequence of faults of a seed does not depend on how
// earlier faults proceed.
type faultParameters struct {
	target   int // index of an instance
	choice   int // selects a variant of the fault, or a backend server
	duration time.Duration
}

// faults lists all kinds of faults. New kinds are appended only: the seeds in
// Regressions draw from the first Regression.FaultKinds of them.
var faults = []fault{
	{"kill", func(soak *soak, parameters faultParameters) {
		soak.restartInstance(soak.target(parameters), syscall.SIGKILL, parameters.duration/4)
	}},
	{"stop and start", func(soak *soak, parameters faultParameters) {
		soak.restartInstance(soak.target(parameters), syscall.SIGTERM, 0)
	}},
	{"pause", pauseInstance},
	{"hangup", func(soak *soak, parameters faultParameters) { soak.target(parameters).signal(syscall.SIGHUP) }},
	{"kill most", killAllButTarget},
	{"store does not serve", func(soak *soak, parameters faultParameters) {
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[parameters.choice%2]
		soak.injectStoreFault(standin.StoreFaults{Status: status}, parameters.duration)
	}},
	{"store is slow", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{Delay: 300 * time.Millisecond}, parameters.duration)
	}},
	{"answers are lost", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{LostResponses: 3}, parameters.duration)
	}},
	{"entries lapse", expireEntries},
	{"connections of one", func(soak *soak, parameters faultParameters) { soak.injectProxyFault(parameters, 1) }},
	{"connections of half", func(soak *soak, parameters faultParameters) {
		soak.injectProxyFault(parameters, (len(soak.instances)+1)/2)
	}},
	{"server crashes", crashServer},
	{"server leaves", drainServer},
	{"configuration", func(soak *soak, parameters faultParameters) { soak.publishConfiguration(parameters.choice%2 == 0) }},
	{"instance cut from the others", partitionInstance},
	{"failure domain cut from the others", partitionFailureDomain},
	{"heartbeats of all", disturbHeartbeats},
	{"store drops its history", func(soak *soak, parameters faultParameters) {
		soak.store.DropHistory()
		soak.injectStoreFault(standin.StoreFaults{HangWatches: parameters.choice%2 == 0}, parameters.duration)
	}},
	{"evacuation begins or ends", func(soak *soak, parameters faultParameters) {
		soak.toggleEvacuation(domainName(parameters.choice % failureDomainCount))
	}},
	{"servers fall silent", silenceServers},
}

// injectFaults starts random faults, which may overlap, for settings.Duration, and
// waits until all have ended.
func (soak *soak) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer soak.endEvacuations()
	defer group.Wait()
	kinds := faults
	if soak.settings.FaultKinds > 0 {
		kinds = faults[:soak.settings.FaultKinds]
	}
	deadline := time.Now().Add(soak.settings.Duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		fault := kinds[soak.random.IntN(len(kinds))]
		parameters := faultParameters{
			target:   soak.random.IntN(len(soak.instances)),
			choice:   soak.random.IntN(1000),
			duration: time.Duration(500+soak.random.IntN(4500)) * time.Millisecond,
		}
		soak.recordFaultStart(fmt.Sprintf("%s: target %d, choice %d, %s", fault.name, parameters.target, parameters.choice, parameters.duration))
		group.Go(func() {
			defer soak.recordFaultEnd()
			fault.inject(soak, parameters)
		})
		// One gap in eight is long enough for the time limits to apply.
		gap := time.Duration(200+soak.random.IntN(1800)) * time.Millisecond
		if soak.random.IntN(8) == 0 {
			gap += 9 * time.Second
		}
		time.Sleep(gap)
	}
}

func (soak *soak) recordFaultStart(line string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Timeline = append(soak.report.Timeline, soak.withTimestamps(line))
	soak.activeFaults++
}

func (soak *soak) recordFaultEnd() {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.activeFaults--
	soak.lastFaultEnd = time.Now()
}

// target returns the instance that a fault affects.
func (soak *soak) target(parameters faultParameters) *instance {
	return soak.instances[parameters.target]
}

// restartInstance stops a process with a signal and starts it again after downtime.
// Overlapping restarts of one instance run one after another, so that it never has
// two processes.
func (soak *soak) restartInstance(instance *instance, signal syscall.Signal, downtime time.Duration) {
	instance.restartMutex.Lock()
	defer instance.restartMutex.Unlock()
	instance.signal(signal)
	instance.awaitExit(stopTimeout)
	time.Sleep(downtime)
	if err := instance.start(); err != nil {
		soak.recordViolation("%v", err)
	}
}

func pauseInstance(soak *soak, parameters faultParameters) {
	instance := soak.target(parameters)
	instance.signal(syscall.SIGSTOP)
	time.Sleep(parameters.duration)
	instance.signal(syscall.SIGCONT)
}

// killAllButTarget kills all instances except the target at the same time.
func killAllButTarget(soak *soak, parameters faultParameters) {
	var group sync.WaitGroup
	for i, instance := range soak.instances {
		if i != parameters.target {
			group.Go(func() { soak.restartInstance(instance, syscall.SIGKILL, parameters.duration/8) })
		}
	}
	group.Wait()
}

func (soak *soak) injectStoreFault(faults standin.StoreFaults, duration time.Duration) {
	soak.store.SetFaults(faults)
	time.Sleep(duration)
	soak.store.SetFaults(standin.StoreFaults{})
}

// expireEntries makes the store unavailable until entries of backend servers have
// expired: all entries, or every second one for a third of the choices. The store comes
// back without them, and the servers write them again later.
func expireEntries(soak *soak, parameters faultParameters) {
	soak.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(entryExpiryTime)
	expired := map[string]*server{}
	soak.mutex.Lock()
	for i, name := range slices.Sorted(maps.Keys(soak.servers)) {
		if parameters.choice%3 != 0 || i%2 == 0 {
			expired[name] = soak.servers[name]
		}
	}
	soak.mutex.Unlock()
	for _, server := range expired {
		server.removeEntry()
	}
	soak.store.SetFaults(standin.StoreFaults{})
	time.Sleep(parameters.duration / 3)
	for _, server := range expired {
		server.mutex.Lock()
		stopped, leaving := server.stopped, !server.leavingAt.IsZero()
		server.mutex.Unlock()
		switch {
		case stopped:
		case leaving:
			server.writeEntry(parser.Leaving)
		default:
			server.writeEntry(parser.Active)
		}
	}
}

// injectProxyFault disturbs the connections of count instances to the store.
func (soak *soak) injectProxyFault(parameters faultParameters, count int) {
	mode := []proxyMode{proxyDelay, proxyReset, proxyDrop, proxyDropResponses}[parameters.choice%4]
	for i := range count {
		soak.instances[(parameters.target+i)%len(soak.instances)].storeProxy.setMode(mode)
	}
	time.Sleep(parameters.duration)
	for i := range count {
		soak.instances[(parameters.target+i)%len(soak.instances)].storeProxy.setMode(proxyPass)
	}
}

// partitionInstance drops the heartbeats and view requests from the other instances to
// the target, the heartbeats from the target to the others, or both.
func partitionInstance(soak *soak, parameters faultParameters) {
	target := soak.target(parameters)
	if parameters.choice%3 != 0 {
		target.heartbeatLink.setMode(linkDrop, nil)
		target.viewProxy.setMode(proxyDrop)
	}
	if parameters.choice%3 != 1 {
		soak.setLinkMode(linkDrop, map[netip.Addr]bool{target.address: true}, func(instance *instance) bool { return instance != target })
	}
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// partitionFailureDomain drops the heartbeats between one failure domain and the others.
func partitionFailureDomain(soak *soak, parameters faultParameters) {
	domain := soak.target(parameters).failureDomain
	inside, outside := map[netip.Addr]bool{}, map[netip.Addr]bool{}
	for _, instance := range soak.instances {
		inside[instance.address] = instance.failureDomain == domain
		outside[instance.address] = instance.failureDomain != domain
	}
	soak.setLinkMode(linkDrop, outside, func(instance *instance) bool { return instance.failureDomain == domain })
	soak.setLinkMode(linkDrop, inside, func(instance *instance) bool { return instance.failureDomain != domain })
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// disturbHeartbeats drops all or half of the datagrams between instances, delays them
// or duplicates them.
func disturbHeartbeats(soak *soak, parameters faultParameters) {
	mode := []linkMode{linkDrop, linkDelay, linkDropHalf, linkDuplicate}[parameters.choice%4]
	soak.setLinkMode(mode, nil, func(*instance) bool { return true })
	time.Sleep(parameters.duration)
	soak.restoreConnections()
}

// setLinkMode sets the mode of the links to the instances that matches selects, for
// datagrams from senders, or from all if senders is nil.
func (soak *soak) setLinkMode(mode linkMode, senders map[netip.Addr]bool, matches func(*instance) bool) {
	for _, instance := range soak.instances {
		if matches(instance) {
			instance.heartbeatLink.setMode(mode, senders)
		}
	}
}

// restoreConnections ends all disturbances between instances, including those of
// overlapping faults.
func (soak *soak) restoreConnections() {
	for _, instance := range soak.instances {
		instance.heartbeatLink.setMode(linkPass, nil)
		instance.viewProxy.setMode(proxyPass)
	}
}

// replaceServer selects a server that accepts new flows and starts another one for the
// same service. It returns the selected server for the caller to stop, or nil if no
// server accepts new flows.
func (soak *soak) replaceServer(parameters faultParameters) *server {
	soak.mutex.Lock()
	var selected *server
	for number := uint64(0); number <= soak.lastServerNumber && selected == nil; number++ {
		name := fmt.Sprintf("i-%08x", (uint64(parameters.choice)+number)%(soak.lastServerNumber+1))
		if server := soak.servers[name]; server != nil && server.acceptsFlows() {
			selected = server
		}
	}
	soak.mutex.Unlock()
	if selected == nil {
		return nil
	}
	if _, err := soak.addServer(selected.service); err != nil {
		soak.recordViolation("%v", err)
	}
	return selected
}

// silenceServers makes every third server answer nothing for a time; it keeps its flows.
func silenceServers(soak *soak, parameters faultParameters) {
	soak.mutex.Lock()
	for i, name := range slices.Sorted(maps.Keys(soak.servers)) {
		if (i+parameters.choice)%3 == 0 {
			server := soak.servers[name]
			server.mutex.Lock()
			server.silentTo = time.Now().Add(parameters.duration)
			server.mutex.Unlock()
		}
	}
	soak.mutex.Unlock()
	time.Sleep(parameters.duration)
}

func (server *server) acceptsFlows() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.stopped && server.leavingAt.IsZero()
}

// crashServer stops a server without notice. Its entry stays until it would expire.
func crashServer(soak *soak, parameters faultParameters) {
	if selected := soak.replaceServer(parameters); selected != nil {
		selected.stop()
		time.Sleep(entryExpiryTime)
		selected.removeEntry()
	}
}

// toggleEvacuation evacuates a failure domain, or ends its evacuation.
func (soak *soak) toggleEvacuation(domain string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if _, evacuated := soak.evacuatedAt[domain]; evacuated {
		delete(soak.evacuatedAt, domain)
		soak.store.Remove(platform.EvacuationsKind, domain)
		return
	}
	soak.evacuatedAt[domain] = time.Now()
	soak.store.Put(platform.EvacuationsKind, domain, "{}")
}

// endEvacuations ends all evacuations.
func (soak *soak) endEvacuations() {
	for _, domain := range soak.store.Names(platform.EvacuationsKind) {
		soak.toggleEvacuation(domain)
	}
}

func drainServer(soak *soak, parameters faultParameters) {
	if selected := soak.replaceServer(parameters); selected != nil {
		selected.drain(drainGracePeriod + parameters.duration)
	}
}
