// Package placer chooses the backend server of a new flow. It answers the load
// that this instance sees itself: how many of its flows are open at a server,
// how long they take there, and whether the server accepts openings. It has no
// clock and no socket.
package placer
