package examiner

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// shortResponseRatio is the part of a route's average length under which a response is
	// suspicious; about one regular response in a thousand is.
	shortResponseRatio = 0.3
	// minRouteSamples is how many responses of a route are needed for an average.
	minRouteSamples = 20
	// lengthSmoothing is the weight of a response in the average length, and shortGain
	// that of a suspicious one: a route whose responses have become short is
	// learned, slowly.
	lengthSmoothing = 0.05
	shortLengthSmoothing  = 0.01
	// maxRoutes bounds the routes that are remembered; routes come and go for as
	// long as the process lives.
	maxRoutes = 20_000
)

// Examiner judges responses by the length that is usual on their route; it is
// not safe for concurrent use.
type Examiner struct {
	responseLengths  map[netip.AddrPort]*lengthAverage
	onSuspiciousResponse func(server *viewer.BackendServer)
}

type lengthAverage struct {
	bytes float64 // bytes
	samples int
}

// NewExaminer returns an Examiner that calls suspect for each suspicious response.
func NewExaminer(suspect func(server *viewer.BackendServer)) *Examiner {
	return &Examiner{responseLengths: map[netip.AddrPort]*lengthAverage{}, onSuspiciousResponse: suspect}
}

// RecordResponse takes the length in bytes of a whole response on a route.
func (examiner *Examiner) RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32) {
	usual := examiner.responseLengths[route]
	if usual == nil {
		if len(examiner.responseLengths) >= maxRoutes {
			clear(examiner.responseLengths)
		}
		usual = &lengthAverage{bytes: float64(bytes)}
		examiner.responseLengths[route] = usual
	}
	usual.samples++
	if usual.samples > minRouteSamples && float64(bytes) < shortResponseRatio*usual.bytes {
		usual.bytes += shortLengthSmoothing * (float64(bytes) - usual.bytes)
		examiner.onSuspiciousResponse(server)
		return
	}
	usual.bytes += lengthSmoothing * (float64(bytes) - usual.bytes)
}
