// Package director runs one load balancer instance on the users' platform. It
// takes the path of the settings file, reads callers' packets from a UDP socket,
// has the steerer decide where each goes and sends it on. It gives the relayer
// the network and the store with which it keeps the view of routes and backend
// servers up to date, answers HTTP requests for readiness, views, metrics and
// state, and writes the log. The components are wired with dig.
package director
