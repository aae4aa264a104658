package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	malformedInterval    = 20 * time.Millisecond
)

// fault is a kind of fault that a run can inject.
type fault struct {
	name   string
	inject func(soak *soak, parameters faultParameters) // returns when the fault is over
	scope  scope
}

// scope says what a kind of fault disturbs.
type scope int

const (
	everything scope = iota
	confined         // at most the instances that disturb marks, and requests
	planned          // at most these instances; no request may fail
)

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
	}, confined},
	{"stop and start", func(soak *soak, parameters faultParameters) {
		soak.restartInstance(soak.target(parameters), syscall.SIGTERM, 0)
	}, planned},
	{"pause", pauseInstance, confined},
	{"hangup", func(soak *soak, parameters faultParameters) {
		defer soak.disturb(soak.target(parameters))()
		soak.target(parameters).signal(syscall.SIGHUP)
	}, planned},
	{"kill most", killAllButTarget, confined},
	{"store does not serve", func(soak *soak, parameters faultParameters) {
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[parameters.choice%2]
		soak.injectStoreFault(standin.StoreFaults{Status: status}, parameters.duration)
	}, everything},
	{"store is slow", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{Delay: 300 * time.Millisecond}, parameters.duration)
	}, everything},
	{"answers are lost", func(soak *soak, parameters faultParameters) {
		soak.injectStoreFault(standin.StoreFaults{LostResponses: 3}, parameters.duration)
	}, everything},
	{"entries lapse", expireEntries, everything},
	{"connections of one", func(soak *soak, parameters faultParameters) { soak.injectProxyFault(parameters, 1) }, everything},
	{"connections of half", func(soak *soak, parameters faultParameters) {
		soak.injectProxyFault(parameters, (len(soak.instances)+1)/2)
	}, everything},
	{"server crashes", crashServer, confined},
	{"server leaves", drainServer, confined},
	{"configuration", func(soak *soak, parameters faultParameters) {
		soak.publishConfiguration(parameters.choice%3, parameters.choice%2 == 0)
	}, planned},
	{"instance cut from the others", partitionInstance, everything},
	{"failure domain cut from the others", partitionFailureDomain, everything},
	{"heartbeats of all", disturbHeartbeats, everything},
	{"store drops its history", func(soak *soak, parameters faultParameters) {
		soak.store.DropHistory()
		soak.injectStoreFault(standin.StoreFaults{HangWatches: parameters.choice%2 == 0}, parameters.duration)
	}, everything},
	{"evacuation begins or ends", func(soak *soak, parameters faultParameters) {
		soak.toggleEvacuation(soak.domainName(parameters.choice))
	}, planned},
	{"servers fall silent", silenceServers, confined},
	{"burst", burst, confined},
	{"evacuated servers turn cold", returnCold, planned},
	{"servers fall silent, routers change", silenceDuringChanges, confined},
	{"malformed datagrams", sendMalformed, confined},
	{"store returns from an older copy", returnStore, everything},
	{"odd entries in the store", writeOddEntries, planned},
	{"entries of one service are gone", removeService, everything},
	{"servers share a token", shareToken, everything},
	{"short freezes", freezeShortly, confined},
	{"starved processes", starveInstances, confined},
	{"packets lost both ways", losePackets, everything},
	{"packets late, repeated, out of order", delayPackets, everything},
	{"requests wait at busy servers", keepBusy, confined},
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
		soak.recordFaultStart(fmt.Sprintf("%s: target %d, choice %d, %s", fault.name, parameters.target, parameters.choice, parameters.duration), fault.scope)
		group.Go(func() {
			fault.inject(soak, parameters)
			soak.recordFaultEnd(fault.scope)
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

func (soak *soak) recordFaultStart(line string, scope scope) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Timeline = append(soak.report.Timeline, soak.withTimestamps(line))
	if scope == everything {
		soak.activeFaults++
	}
	if scope != planned {
		soak.activeUnplanned++
	}
}

func (soak *soak) recordFaultEnd(scope scope) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	if scope == everything {
		soak.activeFaults--
		soak.lastFaultEnd = time.Now()
	}
	if scope != planned {
		soak.activeUnplanned--
		soak.lastUnplannedEnd = time.Now()
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

// sendMalformed sends all instances datagrams of random content, and the first half of each heartbeat.
func sendMalformed(soak *soak, parameters faultParameters) {
	soak.setLinkMode(linkTruncatedCopy, nil, func(*instance) bool { return true })
	random := rand.New(rand.NewPCG(uint64(parameters.choice), 0))
	for end := time.Now().Add(parameters.duration); time.Now().Before(end); time.Sleep(malformedInterval) {
		for _, instance := range soak.instances {
			content := make([]byte, random.IntN(2*headerLength))
			for i := range content {
				content[i] = byte(random.Uint32())
			}
			for _, port := range []uint16{packetPort, peerPort} {
				soak.router.socket.WriteToUDPAddrPort(content, netip.AddrPortFrom(instance.address, port))
			}
		}
	}
	soak.restoreConnections()
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
