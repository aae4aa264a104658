package director

import (
	"expvar"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/steerer"
)

const (
	// placementInterval is the time over which placements are counted for one log line.
	placementInterval = 10 * time.Second
	// minPlacements and minElsewhereShare are how many new flows of a service, and what share
	// of them in other failure domains, are worth a log line.
	minPlacements     = 20
	minElsewhereShare = 0.05
)

// loadGauge returns the utilization of each service by failure domain; estimator.Estimator
// implements it.
type loadGauge interface {
	Utilizations(now time.Time) map[string]map[string]float64
}

// placementRecorder counts where new flows are placed.
type placementRecorder struct {
	failureDomain string // of the instance

	counters *expvar.Map

	mutex    sync.Mutex
	gauge    loadGauge                   // nil until SetLoadGauge
	services map[string]*placementCounts // since loggedAt, by service
	loggedAt time.Time                   // zero before the first call of takeDue
}

// placementCounts are the new flows of a service by where they were placed.
type placementCounts struct {
	own, other int
}

// SetLoadGauge sets where the utilization for metrics and log lines comes from.
func (recorder *Recorder) SetLoadGauge(gauge loadGauge) {
	recorder.placements.mutex.Lock()
	defer recorder.placements.mutex.Unlock()
	recorder.placements.gauge = gauge
}

// count counts a verdict that places a new flow.
func (placementRecorder *placementRecorder) count(verdict *steerer.Verdict) {
	isPlacement := verdict.Reason == steerer.ReasonNewFlow || verdict.Reason == steerer.ReasonReleased || verdict.Reason == steerer.ReasonRetried
	if !isPlacement || verdict.Server == nil {
		return
	}
	placementRecorder.mutex.Lock()
	defer placementRecorder.mutex.Unlock()
	counts := placementRecorder.services[verdict.Server.Service]
	if counts == nil {
		counts = &placementCounts{}
		placementRecorder.services[verdict.Server.Service] = counts
	}
	if verdict.Server.FailureDomain == placementRecorder.failureDomain {
		counts.own++
		placementRecorder.counters.Add("placed_in_own_domain", 1)
		return
	}
	counts.other++
	placementRecorder.counters.Add("placed_in_other_domains", 1)
}

// takeDue returns the counts of the services that are worth a log line, and begins to count anew,
// if the last call that did so was placementInterval ago.
func (placementRecorder *placementRecorder) takeDue(now time.Time) map[string]*placementCounts {
	placementRecorder.mutex.Lock()
	defer placementRecorder.mutex.Unlock()
	if placementRecorder.loggedAt.IsZero() {
		placementRecorder.loggedAt = now
	}
	if now.Sub(placementRecorder.loggedAt) < placementInterval {
		return nil
	}
	counts := placementRecorder.services
	placementRecorder.services, placementRecorder.loggedAt = map[string]*placementCounts{}, now
	for service, placed := range counts {
		total := placed.own + placed.other
		if total < minPlacements || float64(placed.other) < minElsewhereShare*float64(total) {
			delete(counts, service)
		}
	}
	return counts
}

// utilizations returns the utilization of each service by failure domain, in percent.
func (placementRecorder *placementRecorder) utilizations(now time.Time) map[string]map[string]int {
	placementRecorder.mutex.Lock()
	gauge := placementRecorder.gauge
	placementRecorder.mutex.Unlock()
	result := map[string]map[string]int{}
	if gauge == nil {
		return result
	}
	for service, domains := range gauge.Utilizations(now) {
		result[service] = map[string]int{}
		for domain, utilization := range domains {
			result[service][domain] = int(math.Round(100 * utilization))
		}
	}
	return result
}

// logPlacements logs where the new flows of the last placementInterval went, for the services
// that had many in other failure domains.
func (recorder *Recorder) logPlacements(now time.Time) {
	due := recorder.placements.takeDue(now)
	if len(due) == 0 {
		return
	}
	utilizations := recorder.placements.utilizations(now)
	for service, counts := range due {
		recorder.Event(logger.EventFlowsPlacedElsewhere, "service", service, "own_domain", counts.own, "other_domains", counts.other,
			"utilization", inOrder(utilizations[service]))
	}
}

// domainUtilization is the utilization of a service in a failure domain.
type domainUtilization struct {
	FailureDomain string `json:"failure_domain"`
	Percent       int    `json:"percent"`
}

// inOrder returns utilizations in the order of the failure domains' names.
func inOrder(utilizations map[string]int) []domainUtilization {
	var ordered []domainUtilization
	for _, domain := range slices.Sorted(maps.Keys(utilizations)) {
		ordered = append(ordered, domainUtilization{FailureDomain: domain, Percent: utilizations[domain]})
	}
	return ordered
}
