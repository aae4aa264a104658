// Package placer selects the backend server for each new flow.
//
// It draws the failure domain first: the instance's own one while that has room, and others by
// their room as it fills. There it compares a few random servers by the load that this instance
// measures itself: its requests that are outstanding at a server, how long the server takes to
// respond, and whether it answers openings (the first packets of flows). A server that does
// not answer is ejected, that is kept out of selection for a time.
//
// The steerer reports these events and passes in the current time, package estimator says how
// much room there is; the package has no clock and opens no sockets.
package placer
