package examiner

import (
	"math"
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// shortResponseRatio is the fraction of a route's average response length below
	// which a response can be suspicious.
	shortResponseRatio = 0.3
	// shortResponseDeviations is how many standard deviations below the average logarithm of
	// the route's lengths a suspicious one lies; about one regular response in a thousand does.
	shortResponseDeviations = 3.0
	// minRouteSamples is how many responses of a route are needed before its average is used.
	minRouteSamples = 20
	// lengthSmoothing is the weight of a response in the moving averages of a route's
	// response lengths, once there have been 1/lengthSmoothing.
	lengthSmoothing = 0.01
	// shortLengthSmoothing is the weight of a suspicious response, so that the averages
	// slowly follow a route whose responses have become short.
	shortLengthSmoothing = 0.002
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
	bytes       float64
	logBytes    float64 // average of the natural logarithm of the length
	logVariance float64 // of that logarithm
	seconds     float64 // from the request to the end of the response
	samples     int
}

// newResponseAverage returns the averages after a first response.
func newResponseAverage(bytes uint32, duration time.Duration) *responseAverage {
	return &responseAverage{bytes: float64(bytes), logBytes: logLength(bytes), seconds: duration.Seconds()}
}

// isShort reports whether a length is implausibly short for the route.
func (responseAverage *responseAverage) isShort(bytes uint32) bool {
	shortest := responseAverage.logBytes - shortResponseDeviations*math.Sqrt(responseAverage.logVariance)
	return float64(bytes) < shortResponseRatio*responseAverage.bytes && logLength(bytes) < shortest
}

// addLength includes a length in the averages with a weight.
func (responseAverage *responseAverage) addLength(bytes uint32, weight float64) {
	responseAverage.bytes += weight * (float64(bytes) - responseAverage.bytes)
	deviation := logLength(bytes) - responseAverage.logBytes
	responseAverage.logBytes += weight * deviation
	responseAverage.logVariance += weight * (deviation*deviation - responseAverage.logVariance)
}

// logLength returns the natural logarithm of a length, which counts as one byte at least.
func logLength(bytes uint32) float64 { return math.Log(float64(max(bytes, 1))) }

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
		average = newResponseAverage(bytes, duration)
		examiner.averages[route] = average
	}
	average.samples++
	seenRarely := examiner.countSighting(server, now) <= maxSightings
	if seenRarely && average.samples > minRouteSamples && duration.Seconds() > slowResponseRatio*average.seconds {
		examiner.onSuspicious(server, Slow)
	}
	average.seconds += timeSmoothing * (duration.Seconds() - average.seconds)
	if average.samples > minRouteSamples && average.isShort(bytes) {
		average.addLength(bytes, shortLengthSmoothing)
		examiner.onSuspicious(server, Failing)
		return
	}
	average.addLength(bytes, max(lengthSmoothing, 1/float64(average.samples)))
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
