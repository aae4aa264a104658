package admitter

import (
	"math"
	"time"
)

// rate is an exponentially weighted number of events per second.
type rate struct {
	span   time.Duration // after which an event counts e times less
	weight float64       // events, each the less the longer ago
	at     time.Time     // when weight was true
}

// add counts an amount of events at now; a negative one takes events back.
func (rate *rate) add(amount float64, now time.Time) {
	rate.weight = max(rate.weightAt(now)+amount, 0)
	rate.at = now
}

// perSecond returns the rate at now.
func (rate *rate) perSecond(now time.Time) float64 { return rate.weightAt(now) / rate.span.Seconds() }

// weightAt returns the weighted number of events at now.
func (rate *rate) weightAt(now time.Time) float64 {
	if rate.weight == 0 {
		return 0
	}
	age := max(now.Sub(rate.at), 0)
	return rate.weight * math.Exp(-age.Seconds()/rate.span.Seconds())
}
