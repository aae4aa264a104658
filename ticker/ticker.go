package ticker

import (
	"sync"
	"time"
)

// Resolution is the shortest interval that a subscription can have.
const Resolution = 20 * time.Millisecond

// lookInterval is how often the clock is looked at for pauses, at least.
const lookInterval = pauseLimit / 4

type subscription struct {
	interval time.Duration
	due      time.Time
	call     func(now time.Time)
}

// Ticker calls its subscribers one after another from a single goroutine.
type Ticker struct {
	mutex         sync.Mutex
	subscriptions map[int]*subscription
	order         []int
	next          int
	changed       chan struct{}
	pauses        pauses
}

// NewTicker starts a Ticker; the returned function stops it and waits for the running call.
func NewTicker() (*Ticker, func()) {
	ticker := &Ticker{subscriptions: map[int]*subscription{}, changed: make(chan struct{}, 1)}
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ticker.run(done)
	}()
	return ticker, func() {
		close(done)
		<-stopped
	}
}

// Subscribe calls call about every interval until the returned function is called.
func (ticker *Ticker) Subscribe(interval time.Duration, call func(now time.Time)) func() {
	ticker.mutex.Lock()
	id := ticker.next
	ticker.next++
	interval = max(interval, Resolution)
	ticker.subscriptions[id] = &subscription{interval: interval, due: time.Now().Add(interval), call: call}
	ticker.order = append(ticker.order, id)
	ticker.mutex.Unlock()
	select {
	case ticker.changed <- struct{}{}:
	default:
	}
	return func() {
		ticker.mutex.Lock()
		defer ticker.mutex.Unlock()
		delete(ticker.subscriptions, id)
	}
}

// JustResumed reports whether the process has just come out of a pause: what it
// knows may be old, and what it reads may have waited.
func (ticker *Ticker) JustResumed(now time.Time) bool {
	ticker.mutex.Lock()
	defer ticker.mutex.Unlock()
	return ticker.pauses.resumed(now)
}

// run sleeps until the next call is due, so that a process with slow subscribers is seldom woken.
func (ticker *Ticker) run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.changed:
		case <-timer.C:
		}
		calls, next := ticker.due(time.Now())
		for _, call := range calls {
			call(time.Now())
		}
		timer.Reset(time.Until(next))
	}
}

// due returns the calls whose time has come and when the next one is due.
func (ticker *Ticker) due(now time.Time) ([]func(time.Time), time.Time) {
	ticker.mutex.Lock()
	defer ticker.mutex.Unlock()
	ticker.pauses.look(now)
	next := now.Add(lookInterval)
	var calls []func(time.Time)
	kept := ticker.order[:0]
	for _, id := range ticker.order {
		subscription, ok := ticker.subscriptions[id]
		if !ok {
			continue
		}
		kept = append(kept, id)
		if !now.Before(subscription.due) {
			subscription.due = now.Add(subscription.interval)
			calls = append(calls, subscription.call)
		}
		if subscription.due.Before(next) {
			next = subscription.due
		}
	}
	ticker.order = kept
	return calls, next
}
