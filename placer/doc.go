// Package placer selects the backend server for each new flow.
//
// It compares a few random candidates by the load that this instance measures
// itself: how many of its flows are open at a server, how long the server takes to
// respond, and whether it answers openings (the first packets of flows). A server
// that does not answer is ejected, that is kept out of selection for a time.
//
// The steerer reports these events and passes in the current time; the package has
// no clock and opens no sockets.
package placer
