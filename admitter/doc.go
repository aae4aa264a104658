// Package admitter decides which openings of new flows are sent to a backend server now, which
// wait for a place, and which are refused, when a service has too little room.
//
// Too little room shows in the responses: servers whose queues are full shed requests with a
// short response after a wait, and the others take a multiple of their usual time. An Admitter
// counts, for each service, the openings that callers ask for, the requests on open flows, the
// responses and those that were shed. While more than a small share is shed, it limits the
// openings to a budget that keeps the servers' queues short of full, so that what is served is
// served at the first try.
//
// The budget goes to the most urgent openings: by the priority of their route, requests that
// must not be repeated before those that may, callers that got few places before those that got
// many. Openings of a class whose own demand the servers can work off are never held. The others
// wait for a short time at most, and are refused at once when no place is in sight.
//
// An Admitter has no clock and opens no sockets; every method gets the current time.
package admitter
