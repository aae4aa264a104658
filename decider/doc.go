// Package decider holds the decisions that the balancers of a fleet make together.
//
// A Decider is pure: packets, messages, sheets and ticks go in with the time at
// which they happened; verdicts, messages and events come out. It owns no
// socket, clock, goroutine or source of randomness, so a test can drive many of
// them in virtual time.
//
// Every flow has a home, the live instance that wins a rendezvous over the
// flow's key. Openings are decided by the home alone, from the weights of the
// service's active epoch. A later packet needs no state as long as every epoch
// in use agrees on its backend server. An epoch becomes active only after every
// live instance holds the pins of the flows on which it differs from the one
// before; docs/DESIGN.md gives the argument.
package decider
