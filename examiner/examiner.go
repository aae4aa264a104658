package examiner

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// shortShare is the part of a route's average length under which a response is
	// suspicious; about one regular response in a thousand is.
	shortShare = 0.3
	// minSamples is how many responses of a route are needed for an average.
	minSamples = 20
	// lengthGain is the weight of a response in the average length, and shortGain
	// that of a suspicious one: a route whose responses have become short is
	// learned, slowly.
	lengthGain = 0.05
	shortGain  = 0.01
	// maxRoutes bounds the routes that are remembered; routes come and go for as
	// long as the process lives.
	maxRoutes = 20_000
)

// Examiner judges responses by the length that is usual on their route; it is
// not safe for concurrent use.
type Examiner struct {
	routes  map[netip.AddrPort]*length
	suspect func(server *viewer.BackendServer)
}

type length struct {
	average float64 // bytes
	samples int
}

// NewExaminer returns an Examiner that calls suspect for each suspicious response.
func NewExaminer(suspect func(server *viewer.BackendServer)) *Examiner {
	return &Examiner{routes: map[netip.AddrPort]*length{}, suspect: suspect}
}

// RecordResponse takes the length in bytes of a whole response on a route.
func (examiner *Examiner) RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32) {
	usual := examiner.routes[route]
	if usual == nil {
		if len(examiner.routes) >= maxRoutes {
			clear(examiner.routes)
		}
		usual = &length{average: float64(bytes)}
		examiner.routes[route] = usual
	}
	usual.samples++
	if usual.samples > minSamples && float64(bytes) < shortShare*usual.average {
		usual.average += shortGain * (float64(bytes) - usual.average)
		examiner.suspect(server)
		return
	}
	usual.average += lengthGain * (float64(bytes) - usual.average)
}
