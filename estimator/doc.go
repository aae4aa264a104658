// Package estimator estimates how much room the backend servers of each service have in each
// failure domain.
//
// Room is the number of slots less the requests that are outstanding: that have begun and are
// not answered yet. An instance sees only the requests that pass through it. Routers give each
// instance of a failure domain an equal share of the callers' packets there, so an Estimator
// averages its own count over a short time and multiplies it by the number of instances. What
// callers of other failure domains ask for is unknown to it; it assumes their usual demand to
// be like that of its own domain until figures that instances share say otherwise.
//
// The steerer reports the events and all methods get the current time; the package has no
// clock and opens no sockets.
package estimator
