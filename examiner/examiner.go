package examiner

import (
	"math"
	"net/netip"
	"time"

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
	// slowResponseRatio is how many times the route's average response time a response must
	// take to be suspicious; few regular responses in a thousand do.
	slowResponseRatio = 4
	// sightingMemory is the time after which a response of a server counts e times less as a
	// recent one, and maxSightings how many recent ones let an instance judge the server by
	// its own average. Slow responses of such a server are no suspicion: where responses are
	// many, several slow ones are regular.
	sightingMemory = 10 * time.Second
	maxSightings   = 4.0
	// timeSmoothing is the weight of a response in the moving average of a route's response
	// times.
	timeSmoothing = 0.05
	// maxRoutes bounds the routes with an average, and the servers with sightings; a further
	// one discards all. Without it the number would grow as long as the process lives,
	// because routes and servers are added and removed.
	maxRoutes = 20_000
)

// Suspicion is what a response lets suspect of its server.
type Suspicion int

// Suspicions of a server.
const (
	Failing Suspicion = iota // the response is short, as an error page is, or the request was lost
	Slow                     // the response took long
)

// String returns the suspicion's name for logs.
func (suspicion Suspicion) String() string {
	if suspicion == Slow {
		return "slow"
	}
	return "failing"
}

// Examiner finds responses that are much shorter or take much longer than usual on their
// route; it is not safe for concurrent use.
type Examiner struct {
	averages     map[netip.AddrPort]*responseAverage // by route address
	sightings    map[uint32]*sightings               // by the server's token
	onSuspicious func(server *viewer.BackendServer, suspicion Suspicion)
}

// responseAverage holds the moving averages of the responses of a route.
type responseAverage struct {
	bytes   float64
	seconds float64 // from the request to the end of the response
	samples int
}

// sightings counts the recent responses of a server at this instance.
type sightings struct {
	count  float64
	lastAt time.Time
}

// NewExaminer returns an Examiner that calls onSuspicious for each suspicious response.
func NewExaminer(onSuspicious func(server *viewer.BackendServer, suspicion Suspicion)) *Examiner {
	return &Examiner{averages: map[netip.AddrPort]*responseAverage{}, sightings: map[uint32]*sightings{}, onSuspicious: onSuspicious}
}

// RecordResponse compares the length in bytes of a complete response, and the time that it
// took, with the route's averages, reports the server if the response is suspicious, and
// updates the averages.
func (examiner *Examiner) RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32, duration time.Duration, now time.Time) {
	average := examiner.averages[route]
	if average == nil {
		if len(examiner.averages) >= maxRoutes {
			clear(examiner.averages)
		}
		average = &responseAverage{bytes: float64(bytes), seconds: duration.Seconds()}
		examiner.averages[route] = average
	}
	average.samples++
	seenRarely := examiner.countSighting(server, now) <= maxSightings
	if seenRarely && average.samples > minRouteSamples && duration.Seconds() > slowResponseRatio*average.seconds {
		examiner.onSuspicious(server, Slow)
	}
	average.seconds += timeSmoothing * (duration.Seconds() - average.seconds)
	if average.samples > minRouteSamples && float64(bytes) < shortResponseRatio*average.bytes {
		average.bytes += shortLengthSmoothing * (float64(bytes) - average.bytes)
		examiner.onSuspicious(server, Failing)
		return
	}
	average.bytes += lengthSmoothing * (float64(bytes) - average.bytes)
}

// IsShort reports whether a response of this length is much shorter than usual on its route,
// as one that says that the request failed or was not run.
func (examiner *Examiner) IsShort(route netip.AddrPort, bytes uint32) bool {
	average := examiner.averages[route]
	return average != nil && average.samples > minRouteSamples && float64(bytes) < shortResponseRatio*average.bytes
}

// RecordLostRequest reports a server that did not take a request or an opening.
func (examiner *Examiner) RecordLostRequest(server *viewer.BackendServer) {
	examiner.onSuspicious(server, Failing)
}

// countSighting counts a response of a server, and returns the number of recent ones.
func (examiner *Examiner) countSighting(server *viewer.BackendServer, now time.Time) float64 {
	seen := examiner.sightings[server.Token]
	if seen == nil {
		if len(examiner.sightings) >= maxRoutes {
			clear(examiner.sightings)
		}
		seen = &sightings{lastAt: now}
		examiner.sightings[server.Token] = seen
	}
	seen.count = 1 + seen.count*math.Exp(-now.Sub(seen.lastAt).Seconds()/sightingMemory.Seconds())
	seen.lastAt = now
	return seen.count
}
