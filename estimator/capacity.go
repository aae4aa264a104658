package estimator

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// capacityInterval is how often the slots of a service are counted again, since
	// ejections begin and end; minCapacityInterval is the shortest time between two counts.
	capacityInterval    = time.Second
	minCapacityInterval = 200 * time.Millisecond
)

// capacity is the number of slots of a service.
type capacity struct {
	byDomain  map[string]int // of the servers that may get new flows
	total     int
	view      *viewer.View // that was counted; nil before the first count
	countedAt time.Time
}

// refreshCapacity counts the slots of a service again if the last count is old or the view
// has changed.
func (estimator *Estimator) refreshCapacity(name string, service *serviceLoad, now time.Time) {
	view := estimator.currentView()
	age := now.Sub(service.capacity.countedAt)
	isNewView := view != service.capacity.view && (age >= minCapacityInterval || service.capacity.total == 0)
	if service.capacity.view != nil && age < capacityInterval && !isNewView {
		return
	}
	service.capacity = capacity{byDomain: map[string]int{}, view: view, countedAt: now}
	for _, server := range view.ActiveServers(name) {
		if estimator.isEjected(server, now) {
			continue
		}
		slots := max(server.Slots, 1)
		service.capacity.byDomain[server.FailureDomain] += slots
		service.capacity.total += slots
	}
}
