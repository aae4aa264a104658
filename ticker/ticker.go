package ticker

import (
	"sync"
	"time"
)

// Resolution is the shortest interval that a subscription can have.
const Resolution = 20 * time.Millisecond

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
}

// NewTicker starts a Ticker; the returned function stops it and waits for the running call.
func NewTicker() (*Ticker, func()) {
	ticker := &Ticker{subscriptions: map[int]*subscription{}}
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
	defer ticker.mutex.Unlock()
	id := ticker.next
	ticker.next++
	ticker.subscriptions[id] = &subscription{interval: interval, call: call}
	ticker.order = append(ticker.order, id)
	return func() {
		ticker.mutex.Lock()
		defer ticker.mutex.Unlock()
		delete(ticker.subscriptions, id)
	}
}

func (ticker *Ticker) run(done <-chan struct{}) {
	clock := time.NewTicker(Resolution)
	defer clock.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-clock.C:
			for _, call := range ticker.due(now) {
				call(now)
			}
		}
	}
}

func (ticker *Ticker) due(now time.Time) []func(time.Time) {
	ticker.mutex.Lock()
	defer ticker.mutex.Unlock()
	var calls []func(time.Time)
	kept := ticker.order[:0]
	for _, id := range ticker.order {
		subscription, ok := ticker.subscriptions[id]
		if !ok {
			continue
		}
		kept = append(kept, id)
		if now.Before(subscription.due) {
			continue
		}
		subscription.due = now.Add(subscription.interval - Resolution/2)
		calls = append(calls, subscription.call)
	}
	ticker.order = kept
	return calls
}
