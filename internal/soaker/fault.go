package soaker

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform/standin"
)

const (
	serverGrace = 5 * time.Second // that a leaving server goes on
	lapseTime   = 3600 * time.Millisecond
	stopLimit   = 6 * time.Second
)

// fault is one kind of trouble; it returns when the trouble is over.
type fault struct {
	name   string
	inject func(soak *soak, draw draw)
}

// draw is the chance of one fault, drawn before it starts, so that a seed's
// faults do not depend on how they go.
type draw struct {
	target int
	choice int
	length time.Duration
}

// faults grows at its end only: seeds that once failed draw from its beginning.
var faults = []fault{
	{"kill", func(soak *soak, draw draw) { soak.restart(soak.target(draw), syscall.SIGKILL, draw.length/4) }},
	{"stop and start", func(soak *soak, draw draw) { soak.restart(soak.target(draw), syscall.SIGTERM, 0) }},
	{"pause", pause},
	{"hangup", func(soak *soak, draw draw) { soak.target(draw).signal(syscall.SIGHUP) }},
	{"kill most", killMost},
	{"store does not serve", func(soak *soak, draw draw) {
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[draw.choice%2]
		soak.storeFault(standin.StoreFaults{Status: status}, draw.length)
	}},
	{"store is slow", func(soak *soak, draw draw) {
		soak.storeFault(standin.StoreFaults{Delay: 300 * time.Millisecond}, draw.length)
	}},
	{"answers are lost", func(soak *soak, draw draw) {
		soak.storeFault(standin.StoreFaults{LostResponses: 3}, draw.length)
	}},
	{"entries lapse", lapse},
	{"connections of one", func(soak *soak, draw draw) { soak.proxyFault(draw, 1) }},
	{"connections of half", func(soak *soak, draw draw) { soak.proxyFault(draw, (len(soak.instances)+1)/2) }},
	{"server crashes", crash},
	{"server leaves", leave},
	{"configuration", func(soak *soak, draw draw) { soak.publish(draw.choice%2 == 0) }},
	{"instance cut from the others", cutInstance},
	{"failure domain cut from the others", cutDomain},
	{"heartbeats of all", heartbeats},
	{"store drops its history", func(soak *soak, draw draw) {
		soak.store.DropHistory()
		soak.storeFault(standin.StoreFaults{HangWatches: draw.choice%2 == 0}, draw.length)
	}},
}

// inject starts faults, one after another and over each other, until the duration is over.
func (soak *soak) inject(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	kinds := faults
	if soak.settings.FaultKinds > 0 {
		kinds = faults[:soak.settings.FaultKinds]
	}
	deadline := time.Now().Add(soak.settings.Duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		fault := kinds[soak.random.IntN(len(kinds))]
		draw := draw{
			target: soak.random.IntN(len(soak.instances)),
			choice: soak.random.IntN(1000),
			length: time.Duration(500+soak.random.IntN(4500)) * time.Millisecond,
		}
		soak.begin(fmt.Sprintf("%s: target %d, choice %d, %s", fault.name, draw.target, draw.choice, draw.length))
		work.Go(func() {
			defer soak.finish()
			fault.inject(soak, draw)
		})
		// Now and then a pause long enough for the bounds to hold.
		gap := time.Duration(200+soak.random.IntN(1800)) * time.Millisecond
		if soak.random.IntN(8) == 0 {
			gap += 9 * time.Second
		}
		time.Sleep(gap)
	}
}

func (soak *soak) begin(line string) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.report.Timeline = append(soak.report.Timeline, soak.stamp(line))
	soak.troubled++
}

func (soak *soak) finish() {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.troubled--
	soak.calmAt = time.Now()
}

func (soak *soak) target(draw draw) *instance { return soak.instances[draw.target] }

// restart ends a process by a signal and starts it again after a pause.
// Faults that overlap on one instance take turns, so that it has one process.
func (soak *soak) restart(instance *instance, signal syscall.Signal, pause time.Duration) {
	instance.life.Lock()
	defer instance.life.Unlock()
	instance.signal(signal)
	instance.await(stopLimit)
	time.Sleep(pause)
	if err := instance.start(); err != nil {
		soak.violate("%v", err)
	}
}

func pause(soak *soak, draw draw) {
	instance := soak.target(draw)
	instance.signal(syscall.SIGSTOP)
	time.Sleep(draw.length)
	instance.signal(syscall.SIGCONT)
}

// killMost kills all instances but the target at one moment.
func killMost(soak *soak, draw draw) {
	var work sync.WaitGroup
	for i, instance := range soak.instances {
		if i != draw.target {
			work.Go(func() { soak.restart(instance, syscall.SIGKILL, draw.length/8) })
		}
	}
	work.Wait()
}

func (soak *soak) storeFault(faults standin.StoreFaults, length time.Duration) {
	soak.store.SetFaults(faults)
	time.Sleep(length)
	soak.store.SetFaults(standin.StoreFaults{})
}

// lapse takes the store away until entries lapse; they come back a little after it.
func lapse(soak *soak, draw draw) {
	soak.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(lapseTime)
	lapsed := map[string]*server{}
	soak.mutex.Lock()
	for name, server := range soak.servers {
		if draw.choice%3 != 0 || len(lapsed)%2 == 0 {
			lapsed[name] = server
		}
	}
	soak.mutex.Unlock()
	for _, server := range lapsed {
		server.removeEntry()
	}
	soak.store.SetFaults(standin.StoreFaults{})
	time.Sleep(draw.length / 3)
	for _, server := range lapsed {
		server.mutex.Lock()
		ended, leaving := server.ended, !server.leavingAt.IsZero()
		server.mutex.Unlock()
		switch {
		case ended:
		case leaving:
			server.write(parser.Leaving)
		default:
			server.write(parser.Active)
		}
	}
}

// proxyFault disturbs the way of some instances to the store.
func (soak *soak) proxyFault(draw draw, count int) {
	mode := []proxyMode{proxyDelay, proxyReset, proxySilence, proxyOneWay}[draw.choice%4]
	for i := range count {
		soak.instances[(draw.target+i)%len(soak.instances)].proxy.set(mode)
	}
	time.Sleep(draw.length)
	for i := range count {
		soak.instances[(draw.target+i)%len(soak.instances)].proxy.set(proxyPass)
	}
}

// cutInstance takes the way of the others to one instance, its own way to them, or both.
func cutInstance(soak *soak, draw draw) {
	target := soak.target(draw)
	if draw.choice%3 != 0 {
		target.link.set(linkCut, nil)
		target.views.set(proxySilence)
	}
	if draw.choice%3 != 1 {
		soak.linkFault(linkCut, map[netip.Addr]bool{target.address: true}, func(instance *instance) bool { return instance != target })
	}
	time.Sleep(draw.length)
	soak.heal()
}

// cutDomain cuts the instances of one failure domain off from those of the others.
func cutDomain(soak *soak, draw draw) {
	domain := soak.target(draw).domain
	inside, outside := map[netip.Addr]bool{}, map[netip.Addr]bool{}
	for _, instance := range soak.instances {
		inside[instance.address] = instance.domain == domain
		outside[instance.address] = instance.domain != domain
	}
	soak.linkFault(linkCut, outside, func(instance *instance) bool { return instance.domain == domain })
	soak.linkFault(linkCut, inside, func(instance *instance) bool { return instance.domain != domain })
	time.Sleep(draw.length)
	soak.heal()
}

// heartbeats disturbs all datagrams between instances.
func heartbeats(soak *soak, draw draw) {
	mode := []linkMode{linkCut, linkDelay, linkHalf, linkDouble}[draw.choice%4]
	soak.linkFault(mode, nil, func(*instance) bool { return true })
	time.Sleep(draw.length)
	soak.heal()
}

// linkFault sets the mode of some instances' links for the datagrams of some senders.
func (soak *soak) linkFault(mode linkMode, from map[netip.Addr]bool, at func(*instance) bool) {
	for _, instance := range soak.instances {
		if at(instance) {
			instance.link.set(mode, from)
		}
	}
}

// heal ends all faults between instances, those of others that overlap included.
func (soak *soak) heal() {
	for _, instance := range soak.instances {
		instance.link.set(linkPass, nil)
		instance.views.set(proxyPass)
	}
}

// victim returns a server that takes new flows, and starts another one in its place.
func (soak *soak) victim(draw draw) *server {
	soak.mutex.Lock()
	var victim *server
	for number := uint64(0); number <= soak.number && victim == nil; number++ {
		name := fmt.Sprintf("i-%08x", (uint64(draw.choice)+number)%(soak.number+1))
		if server := soak.servers[name]; server != nil && server.takesFlows() {
			victim = server
		}
	}
	soak.mutex.Unlock()
	if victim == nil {
		return nil
	}
	if _, err := soak.addServer(victim.service); err != nil {
		soak.violate("%v", err)
	}
	return victim
}

func (server *server) takesFlows() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.ended && server.leavingAt.IsZero()
}

func crash(soak *soak, draw draw) {
	if victim := soak.victim(draw); victim != nil {
		victim.end()
		time.Sleep(lapseTime)
		victim.removeEntry()
	}
}

func leave(soak *soak, draw draw) {
	if victim := soak.victim(draw); victim != nil {
		victim.drain(serverGrace + draw.length)
	}
}
