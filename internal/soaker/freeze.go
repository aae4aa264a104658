package soaker

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Bounds of short freezes, and the rhythm of a starved process.
const (
	minFreeze   = 50 * time.Millisecond
	maxFreeze   = 990 * time.Millisecond
	maxRunning  = 300 * time.Millisecond // between two freezes
	starvedTime = 95 * time.Millisecond
	fedTime     = 5 * time.Millisecond
)

// freezeShortly stops up to three instances for less than a second, again and again.
func freezeShortly(soak *soak, parameters faultParameters) {
	random := rand.New(rand.NewPCG(uint64(parameters.choice), 2))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	for end := time.Now().Add(parameters.duration); time.Now().Before(end); {
		soak.stopAndGo(parameters, 1+parameters.choice%3, between(minFreeze, maxFreeze), between(0, maxRunning))
	}
}

// starveInstances lets one instance, or every second one, run for a twentieth of the time.
func starveInstances(soak *soak, parameters faultParameters) {
	count := 1 + parameters.choice%2*(len(soak.instances)-1)/2
	for end := time.Now().Add(parameters.duration); time.Now().Before(end); {
		soak.stopAndGo(parameters, count, starvedTime, fedTime)
	}
}

// stopAndGo stops count instances for a time, and lets them run for another.
func (soak *soak) stopAndGo(parameters faultParameters, count int, stopped, running time.Duration) {
	var group sync.WaitGroup
	for i := range count {
		instance := soak.instances[(parameters.target+i)%len(soak.instances)]
		group.Go(func() {
			defer soak.disturb(instance)()
			instance.signal(syscall.SIGSTOP)
			time.Sleep(stopped)
			instance.signal(syscall.SIGCONT)
			time.Sleep(running)
		})
	}
	group.Wait()
}
