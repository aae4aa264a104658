package ticker

import (
	"sync"
	"time"
)

// Resolution is the minimum interval of a subscription.
const Resolution = 20 * time.Millisecond

// observeInterval is the maximum interval between two observations of the clock for pauses.
const observeInterval = pauseThreshold / 4

// subscription is a callback with the interval and the time of its next call.
type subscription struct {
	interval   time.Duration
	nextCallAt time.Time
	callback   func(now time.Time)
}

// Ticker calls its subscribers in sequence from a single goroutine, in the order of
// their subscriptions.
type Ticker struct {
	mutex         sync.Mutex
	subscriptions map[int]*subscription // by ID
	order         []int                 // IDs in the order of subscription
	nextID        int
	subscribed    chan struct{} // wakes run for a new subscription
	pauseDetector pauseDetector
}

// NewTicker starts a Ticker. The returned function stops it and waits for a running callback.
func NewTicker() (*Ticker, func()) {
	ticker := &Ticker{subscriptions: map[int]*subscription{}, subscribed: make(chan struct{}, 1)}
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

// Subscribe calls callback about every interval, or every Resolution if that is
// longer. The returned function ends the subscription; a callback that is already due
// may still be called once.
func (ticker *Ticker) Subscribe(interval time.Duration, callback func(now time.Time)) func() {
	ticker.mutex.Lock()
	id := ticker.nextID
	ticker.nextID++
	interval = max(interval, Resolution)
	ticker.subscriptions[id] = &subscription{interval: interval, nextCallAt: time.Now().Add(interval), callback: callback}
	ticker.order = append(ticker.order, id)
	ticker.mutex.Unlock()
	select {
	case ticker.subscribed <- struct{}{}:
	default:
	}
	return func() {
		ticker.mutex.Lock()
		defer ticker.mutex.Unlock()
		delete(ticker.subscriptions, id)
	}
}

// JustResumed reports whether the process has just resumed from a pause. Its data may
// be outdated then, and packets it reads may have been queued for some time.
func (ticker *Ticker) JustResumed(now time.Time) bool {
	ticker.mutex.Lock()
	defer ticker.mutex.Unlock()
	return ticker.pauseDetector.justResumed(now)
}

// run sleeps until the next callback is due, so that a process that has only long
// intervals rarely wakes up.
func (ticker *Ticker) run(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.subscribed:
		case <-timer.C:
		}
		callbacks, next := ticker.dueCalls(time.Now())
		for _, callback := range callbacks {
			callback(time.Now())
		}
		timer.Reset(time.Until(next))
	}
}

// dueCalls returns the callbacks that are due at now, and the time at which run must
// call it again.
func (ticker *Ticker) dueCalls(now time.Time) ([]func(time.Time), time.Time) {
	ticker.mutex.Lock()
	defer ticker.mutex.Unlock()
	ticker.pauseDetector.observe(now)
	next := now.Add(observeInterval)
	var dueCallbacks []func(time.Time)
	remaining := ticker.order[:0]
	for _, id := range ticker.order {
		subscription, ok := ticker.subscriptions[id]
		if !ok {
			continue
		}
		remaining = append(remaining, id)
		if !now.Before(subscription.nextCallAt) {
			subscription.nextCallAt = now.Add(subscription.interval)
			dueCallbacks = append(dueCallbacks, subscription.callback)
		}
		if subscription.nextCallAt.Before(next) {
			next = subscription.nextCallAt
		}
	}
	ticker.order = remaining
	return dueCallbacks, next
}
