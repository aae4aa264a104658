package placer

import (
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// warmUpPacer limits the new flows of cold servers; pacer.Pacer implements it.
type warmUpPacer interface {
	// Share returns the share of new flows that a server may get now in proportion to a warm
	// one, 0 for none.
	Share(server *viewer.BackendServer, now time.Time) float64
	// Reserved reports whether only few instances, or none, open flows at a server now.
	Reserved(server *viewer.BackendServer, now time.Time) bool
	// Shared returns servers of a service that only few instances, of which this is one, open
	// flows at while they are cold.
	Shared(service string) []*viewer.BackendServer
	// Sharers returns how many instances open flows at the server, or 0 if all do.
	Sharers(server *viewer.BackendServer, now time.Time) int
	OpeningSent(server *viewer.BackendServer, now time.Time)
	RequestSent(server *viewer.BackendServer, now time.Time)
	// ObserveView is called after each change of the view.
	ObserveView(now time.Time)
	Expire(before time.Time)
}

// unpaced treats all servers as warm.
type unpaced struct{}

func (unpaced) Share(*viewer.BackendServer, time.Time) float64 { return 1 }
func (unpaced) Reserved(*viewer.BackendServer, time.Time) bool { return false }
func (unpaced) Shared(string) []*viewer.BackendServer          { return nil }
func (unpaced) Sharers(*viewer.BackendServer, time.Time) int   { return 0 }
func (unpaced) OpeningSent(*viewer.BackendServer, time.Time)   {}
func (unpaced) RequestSent(*viewer.BackendServer, time.Time)   {}
func (unpaced) ObserveView(time.Time)                          {}
func (unpaced) Expire(time.Time)                               {}

// SetPacer sets what limits the new flows of cold servers; without it they count as warm.
func (placer *Placer) SetPacer(pacer warmUpPacer) { placer.pacer = pacer }

// ObserveView is called after each change of the view, also if no flows are opened.
func (placer *Placer) ObserveView(now time.Time) { placer.pacer.ObserveView(now) }

// MayOpen reports whether an opening may be sent to a server now.
func (placer *Placer) MayOpen(server *viewer.BackendServer, now time.Time) bool {
	return placer.pacer.Share(server, now) > 0
}

// OpeningSent records that an opening, or a copy of one, is sent to a server.
func (placer *Placer) OpeningSent(server *viewer.BackendServer, now time.Time) {
	placer.pacer.OpeningSent(server, now)
}

// RequestSent records that a request, but the first, is sent on an open flow of a server.
func (placer *Placer) RequestSent(server *viewer.BackendServer, now time.Time) {
	placer.pacer.RequestSent(server, now)
}

// acceptsDraw reports whether a server that was drawn is to be compared: a cold one in
// proportion to its share.
func (placer *Placer) acceptsDraw(candidate *viewer.BackendServer, now time.Time) bool {
	share := placer.pacer.Share(candidate, now)
	return share >= 1 || share > 0 && placer.random.Float64() < share
}

// drawShared returns a random one of the cold servers that only few instances, of which this
// is one, open flows at, or nil. Random draws among all servers would find them too seldom for
// these few to use the rate.
func (placer *Placer) drawShared(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	if len(candidates) == 0 {
		return nil
	}
	shared := placer.pacer.Shared(candidates[0].Service)
	if len(shared) == 0 {
		return nil
	}
	server := shared[placer.random.IntN(len(shared))]
	isCold := placer.pacer.Sharers(server, now) > 0
	if !isCold || containsDomain(attempted, server) || placer.isEjected(server, now) || !placer.MayOpen(server, now) {
		return nil
	}
	return server
}

// withoutDeclined returns the candidates that may get a flow now.
func (placer *Placer) withoutDeclined(candidates []*viewer.BackendServer, now time.Time) []*viewer.BackendServer {
	declined := func(candidate *viewer.BackendServer) bool { return !placer.MayOpen(candidate, now) }
	first := slices.IndexFunc(candidates, declined)
	if first < 0 {
		return candidates
	}
	allowed := slices.Clone(candidates[:first])
	for _, candidate := range candidates[first+1:] {
		if !declined(candidate) {
			allowed = append(allowed, candidate)
		}
	}
	return allowed
}

// loadFactor returns how many instances may open flows at a server, this one included.
func (placer *Placer) loadFactor(candidate *viewer.BackendServer, now time.Time) int {
	if sharers := placer.pacer.Sharers(candidate, now); sharers > 0 {
		return sharers
	}
	return placer.estimator.FleetInstances()
}
