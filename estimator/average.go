package estimator

import (
	"math"
	"time"
)

// timeAverage is the exponentially weighted average, over time, of a count.
type timeAverage struct {
	level     int       // the present count
	mean      float64   // of the observed part of the past
	observed  float64   // weight of the observed part of the past, from 0 to 1
	updatedAt time.Time // zero before the first update
}

// advance accounts for the time from the last update to now; span is the time after which
// the past counts e times less.
func (timeAverage *timeAverage) advance(now time.Time, span time.Duration) {
	elapsed := now.Sub(timeAverage.updatedAt)
	if timeAverage.updatedAt.IsZero() {
		elapsed = 0
	}
	if elapsed > 0 {
		kept := timeAverage.observed * math.Exp(-elapsed.Seconds()/span.Seconds())
		added := 1 - math.Exp(-elapsed.Seconds()/span.Seconds())
		timeAverage.mean = (timeAverage.mean*kept + float64(timeAverage.level)*added) / (kept + added)
		timeAverage.observed = kept + added
	}
	if elapsed >= 0 {
		timeAverage.updatedAt = now
	}
}

// add changes the count.
func (timeAverage *timeAverage) add(change int, now time.Time, span time.Duration) {
	timeAverage.advance(now, span)
	timeAverage.level = max(timeAverage.level+change, 0)
}

// meanWith returns the average in which the count was unknown before the first update.
func (timeAverage *timeAverage) meanWith(unknown float64) float64 {
	return timeAverage.mean*timeAverage.observed + unknown*(1-timeAverage.observed)
}

// surge returns the count of this moment less surgeDeviations standard deviations of a Poisson
// distribution. It is above the average long before that has followed a surge.
func (timeAverage *timeAverage) surge() float64 {
	level := float64(timeAverage.level)
	return level - surgeDeviations*math.Sqrt(level)
}

// eventRate is the exponentially weighted average rate of events.
type eventRate struct {
	perSecond float64
	updatedAt time.Time // zero before the first update
}

// advance accounts for the time from the last update to now; span is the time after which an
// event counts e times less.
func (eventRate *eventRate) advance(now time.Time, span time.Duration) {
	if elapsed := now.Sub(eventRate.updatedAt); !eventRate.updatedAt.IsZero() && elapsed > 0 {
		eventRate.perSecond *= math.Exp(-elapsed.Seconds() / span.Seconds())
	}
	eventRate.updatedAt = now
}

// add counts an event.
func (eventRate *eventRate) add(now time.Time, span time.Duration) {
	eventRate.advance(now, span)
	eventRate.perSecond += 1 / span.Seconds()
}
