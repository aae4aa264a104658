package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Summary describes how the openings of one service fared since the previous summary.
type Summary struct {
	Service   string
	IsLimited bool
	Budget    float64 // openings per second; 0 unless they are limited

	Load                ServiceLoad // as this instance sees it
	ResponseTimeRatio   float64     // recent response time over the usual one
	Held, Released      int
	Refused             map[Class]int
	LongestWait         time.Duration
	Waiting             int // openings that are held now
	HasFigureOfTheFleet bool
}

// events counts what happened to openings since the last summary.
type events struct {
	held, released int
	refused        map[Class]int
	longestWait    time.Duration
}

func (events *events) refuse(class Class) {
	if events.refused == nil {
		events.refused = map[Class]int{}
	}
	events.refused[class]++
}

func (events *events) end(result Result, class Class) {
	events.longestWait = max(events.longestWait, result.Waited)
	if result.Decision == Admit {
		events.released++
		return
	}
	events.refuse(class)
}

// Summaries returns a summary of each service whose openings are limited, or were since the
// previous call, sorted by service. It ends limits that nobody's opening ends,
// and forgets what is no longer used.
func (admitter *Admitter) Summaries(now time.Time) []Summary {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.expire(now)
	var summaries []Summary
	for name, service := range admitter.services {
		if !service.isLimited() && !service.wasLimited {
			continue
		}
		if admitter.settings.Enabled {
			service.control(admitter.settings.MaxShedShare, admitter.sharedService(name, now), now)
		}
		summaries = append(summaries, service.summary(name, now))
		last := &summaries[len(summaries)-1]
		last.HasFigureOfTheFleet = admitter.sharedService(name, now).Answered > 0
		service.wasLimited = service.isLimited()
		service.events = events{}
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return summaries
}

func (serviceLoad *serviceLoad) summary(name string, now time.Time) Summary {
	own := serviceLoad.own(now)
	summary := Summary{
		Service:           name,
		IsLimited:         serviceLoad.isLimited(),
		Load:              own,
		ResponseTimeRatio: own.delayRatio(),
		Held:              serviceLoad.events.held,
		Released:          serviceLoad.events.released,
		Refused:           serviceLoad.events.refused,
		LongestWait:       serviceLoad.events.longestWait,
		Waiting:           len(serviceLoad.held),
	}
	if summary.IsLimited {
		summary.Budget = math.Round(serviceLoad.budget)
	}
	return summary
}
