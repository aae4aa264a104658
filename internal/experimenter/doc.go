// Package experimenter compares the product with simpler load-balancing methods in
// a discrete-event simulation.
//
// Run takes a deployment, a method, a scenario (a fault or change) and a seed, and
// returns a Result: broken flows and their causes, load imbalance, relays and
// control traffic. Deciders, or a simpler method in their place, run behind an
// in-memory fabric that sends each packet to a random instance, in virtual time. The
// same seed gives the same result.
//
// The simulation is not a model of a whole cluster: links have fixed delays, and
// hosts, kernels and congestion are left out.
package experimenter
