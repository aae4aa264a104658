// Package decider decides, jointly with the other instances of a fleet, to which
// backend server each flow goes.
//
// A Decider is a pure state machine. It takes packets, messages from other
// instances, lists of the instances, sheets (the operators' configuration of the
// services) and ticks, each with the time at which it happened, and returns verdicts
// on the packets, messages to send and events to log. It owns no socket, clock,
// goroutine or source of randomness, so a test can run many of them in virtual time.
//
// The view of an instance is the set of reachable instances, itself included, that are
// up to date and not leaving.
// Every flow has a home, the instance of the view that rendezvous hashing over
// the flow's key selects. Only the home handles an opening, the first packet of a
// flow: it picks the backend server by the weights of the service's active epoch.
//
// An epoch is one set of weights of a service. Any instance can forward a later
// packet of a flow without state, as long as all epochs in use pick the same
// backend server for it. Where they differ, the home broadcasts a pin, which
// binds the flow to its backend server on all instances. An epoch becomes active
// only after every reachable instance has the pins of the flows on which it
// differs from the one before; stage.go has the steps and the timeout, and docs/DESIGN.md
// explains why this is correct.
package decider
