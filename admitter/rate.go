package admitter

import (
	"math"
	"time"
)

// rateSpan is the time after which an event counts e times less in a rate. An instance of a
// fleet of 300 sees some twenty responses a second.
const rateSpan = 300 * time.Millisecond

// rate is an exponentially weighted number of events per second.
type rate struct {
	weight float64 // events, each the less the longer ago
	at     time.Time
	span   time.Duration // 0 for rateSpan
}

// add counts an amount of events at now.
func (rate *rate) add(amount float64, now time.Time) {
	rate.weight = rate.weightAt(now) + amount
	rate.at = now
}

// perSecond returns the rate at now.
func (rate *rate) perSecond(now time.Time) float64 {
	return rate.weightAt(now) / rate.spanOr().Seconds()
}

func (rate *rate) weightAt(now time.Time) float64 {
	if rate.weight == 0 {
		return 0
	}
	age := max(now.Sub(rate.at), 0)
	return rate.weight * math.Exp(-age.Seconds()/rate.spanOr().Seconds())
}

func (rate *rate) spanOr() time.Duration {
	if rate.span == 0 {
		return rateSpan
	}
	return rate.span
}
