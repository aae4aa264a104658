package director

import (
	"time"

	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/viewer"
)

// WarmUpOpening counts an opening that was sent to a cold server whose service states a rate.
func (recorder *Recorder) WarmUpOpening() { recorder.counters.Add("warm_up_openings", 1) }

// WarmUpDeclined counts a cold candidate that was passed over because this instance may send it no
// opening now: several for one opening, and also for openings that another server gets.
func (recorder *Recorder) WarmUpDeclined() { recorder.counters.Add("warm_up_declined", 1) }

// WarmUpRateTooSmall logs that no instance may open flows at cold servers of a service, since the
// rate that it states is too small.
func (recorder *Recorder) WarmUpRateTooSmall(service string, rate float64) {
	recorder.Event(logger.EventWarmUpRateTooSmall, "service", service, "rate", rate)
}

// logWarmUps logs one line for each server that turned cold or is warm again, or a single
// line with counts when more than maxChangeLines did.
func (recorder *Recorder) logWarmUps(before, after *viewer.Servers) {
	changes := viewer.WarmUpChanges(before, after)
	if len(changes) > maxChangeLines {
		cold := 0
		for _, change := range changes {
			if change.IsCold {
				cold++
			}
		}
		recorder.Event(logger.EventWarmUpChanged, "cold", cold, "warm", len(changes)-cold, "revision", after.Revision)
		return
	}
	for _, change := range changes {
		fields := []any{"backend_server", change.Server.Name, "service", change.Server.Service, "cold", change.IsCold}
		if change.IsCold {
			fields = append(fields, "for_ms", time.Until(change.Server.ColdUntil.Time).Milliseconds(), "shared", change.Server.Sharers.Contains(recorder.instance))
		}
		recorder.Event(logger.EventWarmUpChanged, fields...)
	}
}
