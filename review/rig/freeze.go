package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	longWork    = 517 * time.Millisecond // the largest of posture-log, 310 ms, at a backend server of speed 0.6
	freezeTime  = 900 * time.Millisecond
	roundTime   = 5 * time.Second
	rounds      = 8
	lossRounds  = 16
	lossShare   = 0.01 // of the datagrams from backend servers to callers
	busyServers = 3
	groupSpread = 40 * time.Millisecond  // between the first and the last request of a group
	groupPause  = 450 * time.Millisecond // between the first and the second group
	firstGroup  = 24
	secondGroup = 15
	// The freeze begins so long after the second group.
	freezeDelay  = 20 * time.Millisecond
	freezeSpread = 120 * time.Millisecond
)

// sparesOf is how many machines a case adds to each zone: with one, as the sheet has it, there are ten
// machines, and one that freezes is less than the share that the site file gives.
var sparesOf = map[string]int{"short-freeze": 1}

// calmStart is longer than the time after its start from which a machine is in touch.
const calmStart = 6 * time.Second

// playShortFreeze freezes one instance for less than a second while requests wait at the backend
// servers. The other instances and all backend servers are left alone.
func playShortFreeze(deployment *deployment, isTroubled bool) {
	time.Sleep(calmStart)
	frozen := deployment.instances[2]
	deployment.frozen = frozen.address
	deployment.sendRounds(rounds, func() {
		if isTroubled {
			deployment.freeze(frozen, freezeDelay+rand.N(freezeSpread))
		}
	})
}

// playLoss loses a few of the datagrams that backend servers send to callers, while requests wait.
// Nothing else is disturbed.
func playLoss(deployment *deployment, isTroubled bool) {
	time.Sleep(calmStart)
	if isTroubled {
		for _, host := range deployment.hosts {
			host.mutex.Lock()
			host.lossShare = lossShare
			host.mutex.Unlock()
		}
	}
	deployment.sendRounds(lossRounds, func() {})
	lost := 0
	for _, host := range deployment.hosts {
		lost += int(host.lost.Load())
	}
	deployment.record.line("%d datagrams from backend servers to callers were lost", lost)
}

// sendRounds sends two groups of requests, which have to wait at the backend servers, again and
// again, and calls disturb after each second group.
func (deployment *deployment) sendRounds(count int, disturb func()) {
	var work sync.WaitGroup
	for round := range count {
		startedAt := time.Now()
		deployment.sendGroup(&work, fmt.Sprintf("r%da", round), firstGroup)
		time.Sleep(time.Until(startedAt.Add(groupPause)))
		deployment.sendGroup(&work, fmt.Sprintf("r%db", round), secondGroup)
		disturb()
		time.Sleep(time.Until(startedAt.Add(roundTime)))
	}
	work.Wait()
}

// sendGroup sends requests that may run once, from callers of the first zone.
func (deployment *deployment) sendGroup(work *sync.WaitGroup, name string, count int) {
	for i := range count {
		deployment.sendLog(work, fmt.Sprintf("%s%d", name, i))
		time.Sleep(groupSpread / time.Duration(count))
	}
}

// freeze lets an instance stand still for freezeTime after a delay.
func (deployment *deployment) freeze(instance *instance, delay time.Duration) {
	time.Sleep(delay)
	deployment.record.line("%s freezes", instance.name)
	instance.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	instance.command.Process.Signal(syscall.SIGCONT)
	deployment.record.line("%s wakes", instance.name)
}

// sendLog sends a request that may run once, from a caller of the first zone.
func (deployment *deployment) sendLog(work *sync.WaitGroup, id string) {
	kind := requestKind{name: "posture-log", route: postureLog, service: deskSync, method: "POST", deadline: 2500 * time.Millisecond}
	caller := deployment.callers[rand.IntN(desks/len(zones))*len(zones)]
	work.Go(func() {
		outcome := caller.request(&kind, id)
		deployment.count(outcome)
		deployment.checkReset(id, outcome)
	})
}

// count counts a request by its outcome.
func (deployment *deployment) count(outcome outcome) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.requests++
	if outcome.status == "200" {
		deployment.answered++
	}
}

// checkReset notes the reset of an open flow by an instance that was not disturbed, if none of the
// flow's packets went to one that was.
func (deployment *deployment) checkReset(id string, outcome outcome) {
	isExcused := outcome.wasServer || outcome.resetBy == deployment.frozen || slices.Contains(outcome.takenBy, deployment.frozen)
	if outcome.status != "reset_open" || isExcused {
		return
	}
	deployment.violate(fmt.Sprintf("FLOW: the open flow of request %s was reset by %s, which was not disturbed, after %d ms; its backend server lives and was not disturbed", id, nameOf(deployment.instances, outcome.resetBy), outcome.elapsed.Milliseconds()))
}

func nameOf(instances []*instance, address netip.Addr) string {
	for _, instance := range instances {
		if instance.address == address {
			return instance.name
		}
	}
	return address.String()
}
