package steerer

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
)

// roundTrips remembers which exchanges have ended at this instance: it sent a packet to a server, and
// then read a packet of the caller that shows the server's answer. A packet that is read after the end
// of an exchange arrived after it, as a socket keeps the order; so whatever was sent before the exchange
// began has had as long as another server needed for the whole way, however late both were read.
type roundTrips struct {
	newest roundTrip
	other  roundTrip // the newest with another server
}

// roundTrip is an exchange that has ended.
type roundTrip struct {
	server  detector.Server
	beganAt time.Time
}

// record notes that an exchange with a server, which began at a time, has ended.
func (roundTrips *roundTrips) record(server detector.Server, beganAt time.Time) {
	ended := roundTrip{server: server, beganAt: beganAt}
	switch {
	case server == roundTrips.newest.server:
		if beganAt.After(roundTrips.newest.beganAt) {
			roundTrips.newest = ended
		}
	case beganAt.After(roundTrips.newest.beganAt):
		roundTrips.newest, roundTrips.other = ended, roundTrips.newest
	case beganAt.After(roundTrips.other.beganAt):
		roundTrips.other = ended
	}
}

// othersSince reports whether an exchange with another server that began after a time has ended.
func (roundTrips *roundTrips) othersSince(server detector.Server, at time.Time) bool {
	compared := roundTrips.newest
	if compared.server == server {
		compared = roundTrips.other
	}
	return compared.beganAt.After(at)
}
