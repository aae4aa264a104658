package director

import (
	"math"
	"time"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/steerer"
)

// admissionSettings returns the settings of the admitter.
func admissionSettings(settings *configurer.PlatformSettings) admitter.Settings {
	return admitter.Settings{
		Enabled:      settings.Admission.Enabled,
		MaxWait:      time.Duration(settings.Admission.MaxWait),
		MaxShedShare: settings.Admission.MaxShedShare,
	}
}

// newAdmitter returns an Admitter whose settings follow those in force.
func newAdmitter(settings *configurer.PlatformSettings, reloader *Reloader) *admitter.Admitter {
	created := admitter.NewAdmitter(admissionSettings(settings))
	reloader.Subscribe(func(settings *configurer.PlatformSettings) { created.SetSettings(admissionSettings(settings)) })
	return created
}

// summaryInterval is the time between two lines about openings that are limited.
const summaryInterval = time.Second

// AdmissionSummarized logs the beginning and the end of a limit of openings, and one line in
// summaryInterval while it lasts.
func (recorder *Recorder) AdmissionSummarized(summary admitter.Summary) {
	recorder.mutex.Lock()
	wasLimited := recorder.limitedServices[summary.Service]
	recorder.limitedServices[summary.Service] = summary.IsLimited
	recorder.mutex.Unlock()
	if !wasLimited {
		recorder.Event(logger.EventOpeningsLimited, "service", summary.Service)
	}
	refused := map[string]int{}
	for class, count := range summary.Refused {
		refused[class.String()] = count
	}
	recorder.Event(logger.EventOpeningsSummarized, "service", summary.Service, "per_second", summary.Budget,
		"asked", round(summary.Load.Offered), "sent", round(summary.Load.Admitted),
		"answered", round(summary.Load.Answered), "shed", round(summary.Load.Shed), "response_time_ratio", summary.ResponseTimeRatio,
		"held", summary.Held, "released", summary.Released, "refused", refused, "waiting", summary.Waiting,
		"longest_wait_ms", summary.LongestWait.Milliseconds(), "fleet_known", summary.HasFigureOfTheFleet)
	if !summary.IsLimited {
		recorder.Event(logger.EventOpeningsUnlimited, "service", summary.Service)
	}
}

func round(perSecond float32) int { return int(math.Round(float64(perSecond))) }

// countRefused counts an opening that was refused for lack of room by its class.
func (recorder *Recorder) countRefused(verdict *steerer.Verdict) {
	if verdict.Reason == steerer.ReasonNoRoom {
		recorder.counters.Add(string(verdict.Reason)+"_"+verdict.Class.String(), 1)
	}
}

// isAboutRoom reports whether a verdict follows from a decision about openings that wait.
func isAboutRoom(verdict *steerer.Verdict) bool {
	switch verdict.Reason {
	case steerer.ReasonHeld, steerer.ReasonReleased, steerer.ReasonNoRoom:
		return true
	default:
		return false
	}
}
