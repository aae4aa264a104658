package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pimentowind/pimentowind/platform/standin"
)

const (
	drainGracePeriod = 5 * time.Second         // shortest time that a leaving server keeps its flows
	entryExpiryTime  = 3600 * time.Millisecond // after which an entry that is not renewed leaves the store
	stopTimeout      = 6 * time.Second         // for an instance to exit after a signal

	routerChangeInterval = 400 * time.Millisecond
)

// fault is a kind of fault that a run can inject.
type fault struct {
	name       string
	inject     func(soak *soak, parameters faultParameters) // returns when the fault is over
	isConfined bool                                         // disturbs only the instances that disturb marks
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
	}, true},
	{"stop and start", func(soak *soak, parameters faultParameters) {
		soak.restartInstance(soak.target(parameters), syscall.SIGTERM, 0)
	}, true},
	{"pause", pauseInstance, true},
	{"hangup", func(soak *soak, parameters faultParameters) {
		defer soak.disturb(soak.target(parameters))()
		soak.target(parameters).signal(syscall.SIGHUP)
	}, true},
	{"kill most", killAllButTarget, true},
	{"store does not serve", func(soak *soak, parameters faultParameters) {
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[parameters.choice%2]
		soak.injectStoreFault(standin.StoreFaults{Status: status}, parameters.duration)
	}, false},
	{"store is slow", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{Delay: 300 * time.Millisecond}, parameters.duration)
	}, false},
	{"answers are lost", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{LostResponses: 3}, parameters.duration)
	}, false},
	{"entries lapse", expireEntries, false},
	{"connections of one", func(soak *soak, parameters faultParameters) { soak.injectProxyFault(parameters, 1) }, false},
	{"connections of half", func(soak *soak, parameters faultParameters) {
		soak.injectProxyFault(parameters, (len(soak.instances)+1)/2)
	}, false},
	{"server crashes", crashServer, true},
	{"server leaves", drainServer, true},
	{"configuration", func(soak *soak, parameters faultParameters) { soak.publishConfiguration(parameters.choice%2 == 0) }, true},
	{"instance cut from the others", partitionInstance, false},
	{"failure domain cut from the others", partitionFailureDomain, false},
	{"heartbeats of all", disturbHeartbeats, false},
	{"store drops its history", func(soak *soak, parameters faultParameters) {
		soak.store.DropHistory()
		soak.injectStoreFault(standin.StoreFaults{HangWatches: parameters.choice%2 == 0}, parameters.duration)
	}, false},
	{"evacuation begins or ends", func(soak *soak, parameters faultParameters) {
		soak.toggleEvacuation(soak.domainName(parameters.choice))
	}, true},
	{"servers fall silent", silenceServers, true},
	{"burst", burst, true},
	{"evacuated servers turn cold", returnCold, true},
	{"servers fall silent, routers change", silenceDuringChanges, true},
}

// injectFaults starts random faults, which may overlap, for settings.Duration, and
// waits until all have ended.
func (soak *soak) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer soak.endEvacuations()
	defer group.Wait()
	kinds := soak.kinds()
	deadline := time.Now().Add(soak.settings.Duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		fault := kinds[soak.random.IntN(len(kinds))]
		parameters := faultParameters{
			target:   soak.random.IntN(len(soak.instances)),
			choice:   soak.random.IntN(1000),
			duration: time.Duration(500+soak.random.IntN(4500)) * time.Millisecond,
		}
		soak.recordFaultStart(fmt.Sprintf("%s: target %d, choice %d, %s", fault.name, parameters.target, parameters.choice, parameters.duration), fault.isConfined)
		group.Go(func() {
			fault.inject(soak, parameters)
			soak.recordFaultEnd(fault.isConfined)
		})
		// One gap in eight is long enough for the time limits to apply.
		gap := time.Duration(200+soak.random.IntN(1800)) * time.Millisecond
		if soak.random.IntN(8) == 0 {
			gap += 9 * time.Second
		}
		time.Sleep(gap)
	}
}

// kinds returns the kinds of faults that the run draws from.
func (soak *soak) kinds() []fault {
	if soak.settings.FaultKinds > 0 {
		return faults[:soak.settings.FaultKinds]
	}
	if len(soak.settings.FaultNames) == 0 {
		return faults
	}
	var kinds []fault
	for _, fault := range faults {
		if slices.Contains(soak.settings.FaultNames, fault.name) {
			kinds = append(kinds, fault)
		}
	}
	return kinds
}

// FaultNames returns the names of all kinds of faults.
func FaultNames() []string {
	var names []string
	for _, fault := range faults {
		names = append(names, fault.name)
	}
	return names
}

func (soak *soak) recordFaultStart(line string, isConfined bool) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Timeline = append(soak.report.Timeline, soak.withTimestamps(line))
	if !isConfined {
		soak.activeFaults++
	}
}

func (soak *soak) recordFaultEnd(isConfined bool) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if !isConfined {
		soak.activeFaults--
		soak.lastFaultEnd = time.Now()
	}
}

// disturb marks an instance as disturbed until the function that it returns is called.
func (soak *soak) disturb(instance *instance) func() {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	instance.activeFaults++
	return func() {
		soak.mutex.Lock()
		defer soak.mutex.Unlock()
		instance.activeFaults--
		instance.lastFaultEnd = time.Now()
	}
}

// target returns the instance that a fault affects.
func (soak *soak) target(parameters faultParameters) *instance {
	return soak.instances[parameters.target]
}

// restartInstance stops a process with a signal and starts it again after downtime.
// Overlapping restarts of one instance run one after another, so that it never has
// two processes.
func (soak *soak) restartInstance(instance *instance, signal syscall.Signal, downtime time.Duration) {
	defer soak.disturb(instance)()
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
	defer soak.disturb(instance)()
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
