package examiner

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// shortResponseRatio is the fraction of a route's average response length below
	// which a response is suspicious; about one regular response in a thousand is.
	shortResponseRatio = 0.3
	// minRouteSamples is how many responses of a route are needed before its average is used.
	minRouteSamples = 20
	// lengthSmoothing is the weight of a response in the moving average of a route's
	// response lengths.
	lengthSmoothing = 0.05
	// shortLengthSmoothing is the weight of a suspicious response, so that the average
	// slowly follows a route whose responses have become short.
	shortLengthSmoothing = 0.01
	// maxRoutes bounds the routes with an average; a further route discards all averages.
	// Without it the number would grow as long as the process lives, because routes are
	// added and removed.
	maxRoutes = 20_000
)

// Examiner finds responses that are much shorter than usual on their route; it is
// not safe for concurrent use.
type Examiner struct {
	averages     map[netip.AddrPort]*lengthAverage // by route address
	onSuspicious func(server *viewer.BackendServer)
}

// lengthAverage is the moving average of the response lengths of a route.
type lengthAverage struct {
	bytes   float64
	samples int
}

// NewExaminer returns an Examiner that calls onSuspicious for each suspicious response.
func NewExaminer(onSuspicious func(server *viewer.BackendServer)) *Examiner {
	return &Examiner{averages: map[netip.AddrPort]*lengthAverage{}, onSuspicious: onSuspicious}
}

// RecordResponse compares the length in bytes of a complete response with the route's
// average, reports the server if the response is suspicious, and updates the average.
func (examiner *Examiner) RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32) {
	average := examiner.averages[route]
	if average == nil {
		if len(examiner.averages) >= maxRoutes {
			clear(examiner.averages)
		}
		average = &lengthAverage{bytes: float64(bytes)}
		examiner.averages[route] = average
	}
	average.samples++
	if average.samples > minRouteSamples && float64(bytes) < shortResponseRatio*average.bytes {
		average.bytes += shortLengthSmoothing * (float64(bytes) - average.bytes)
		examiner.onSuspicious(server)
		return
	}
	average.bytes += lengthSmoothing * (float64(bytes) - average.bytes)
}
