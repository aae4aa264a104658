package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SharedLifetime is how long figures of other instances are used.
	SharedLifetime = 750 * time.Millisecond
	// maxSharedServices bounds the services in a Load, so that it fits one datagram.
	maxSharedServices = 10
	// maxFigure is above any number of events per second of a fleet.
	maxFigure = 1e9
	// minServedShare is the part of the responses that must not be shed for their times to show
	// how full the queues are.
	minServedShare = 0.02
)

// Load is what one instance, or several together, see of the services that lack room.
type Load []ServiceLoad

// ServiceLoad is the load of one service, in events per second.
type ServiceLoad struct {
	Service  string  `cbor:"1,keyasint"`
	Answered float32 `cbor:"2,keyasint"`           // responses, shed ones included
	Shed     float32 `cbor:"3,keyasint"`           // responses of servers with full queues
	Offered  float32 `cbor:"4,keyasint"`           // openings that callers ask for
	Admitted float32 `cbor:"5,keyasint"`           // openings that are sent to servers
	Late     float32 `cbor:"7,keyasint,omitempty"` // responses that took longer than their objective
	Delay    float32 `cbor:"6,keyasint"`           // the sum over the responses that were not shed of their time as a multiple of the usual
}

// IsValid reports whether a load that another instance sent has possible figures.
func (load Load) IsValid() bool {
	for _, service := range load {
		for _, figure := range []float32{service.Answered, service.Shed, service.Offered, service.Admitted, service.Delay, service.Late} {
			if !(figure >= 0 && figure <= maxFigure) { // also if it is no number
				return false
			}
		}
	}
	return len(load) <= maxSharedServices
}

// excess returns how many responses per second are shed beyond maxShedShare of all; it is
// negative if fewer are.
func (serviceLoad *ServiceLoad) excess(maxShedShare float64) float64 {
	return float64(serviceLoad.Shed) - maxShedShare*float64(serviceLoad.Answered)
}

// shedShare returns the part of the responses that are shed.
func (serviceLoad *ServiceLoad) shedShare() float64 {
	if serviceLoad.Answered == 0 {
		return 0
	}
	return min(float64(serviceLoad.Shed/serviceLoad.Answered), 1)
}

// admittedShare returns the part of the openings that are admitted, 0 if there is none.
func (serviceLoad *ServiceLoad) admittedShare() float64 {
	if serviceLoad.Offered == 0 {
		return 0
	}
	return min(float64(serviceLoad.Admitted/serviceLoad.Offered), 1)
}

// lateShare returns the part of the responses that took longer than their objective.
func (serviceLoad *ServiceLoad) lateShare() float64 {
	if serviceLoad.Answered == 0 {
		return 0
	}
	return float64(serviceLoad.Late / serviceLoad.Answered)
}

// delayRatio returns the mean response time as a multiple of the usual one, 1 if there is no
// response, and usualLimit if nearly all are shed, since then the queues are full.
func (serviceLoad *ServiceLoad) delayRatio() float64 {
	served := serviceLoad.Answered - serviceLoad.Shed
	switch {
	case serviceLoad.Answered == 0:
		return 1
	case served <= minServedShare*serviceLoad.Answered:
		return usualLimit
	default:
		return min(float64(serviceLoad.Delay/served), usualLimit)
	}
}

// Sum returns the sum of loads, of the services that shed most.
func Sum(loads []Load) Load {
	sums := map[string]ServiceLoad{}
	for _, load := range loads {
		for _, service := range load {
			sum := sums[service.Service]
			sum.Service = service.Service
			sum.Answered += service.Answered
			sum.Shed += service.Shed
			sum.Offered += service.Offered
			sum.Admitted += service.Admitted
			sum.Delay += service.Delay
			sum.Late += service.Late
			sums[service.Service] = sum
		}
	}
	var load Load
	for _, sum := range sums {
		load = append(load, sum)
	}
	return load.limited()
}

// limited returns the maxSharedServices services that shed most.
func (load Load) limited() Load {
	slices.SortFunc(load, func(a, b ServiceLoad) int {
		return cmp.Or(cmp.Compare(b.Shed, a.Shed), cmp.Compare(a.Service, b.Service))
	})
	return load[:min(len(load), maxSharedServices)]
}

// sharedLoad is the sum over the fleet.
type sharedLoad struct {
	receivedAt time.Time
	services   map[string]ServiceLoad
}

// ApplyShared replaces the sum over the fleet.
func (admitter *Admitter) ApplyShared(load Load, now time.Time) {
	shared := sharedLoad{receivedAt: now, services: map[string]ServiceLoad{}}
	for _, service := range load {
		shared.services[service.Service] = service
	}
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	admitter.shared = shared
}

// Report returns this instance's load of the services that lack room; it returns nil while none
// does.
func (admitter *Admitter) Report(now time.Time) Load {
	admitter.mutex.Lock()
	defer admitter.mutex.Unlock()
	if !admitter.settings.Enabled {
		return nil
	}
	var load Load
	for name, service := range admitter.services {
		own := service.own(now)
		own.Service = name
		if service.isLimited() || service.showsShortage(own, admitter.settings.MaxShedShare, now) {
			load = append(load, own)
		}
	}
	return load.limited()
}

// sharedService returns the fleet's load of a service, zero if it is too old or unknown.
func (admitter *Admitter) sharedService(name string, now time.Time) ServiceLoad {
	if now.Sub(admitter.shared.receivedAt) > SharedLifetime {
		return ServiceLoad{}
	}
	return admitter.shared.services[name]
}
