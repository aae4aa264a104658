// Package experimenter measures the joint decisions in virtual time: a few
// deciders, or a simpler method in their place, behind a small in-memory fabric
// that sprays packets by a fixed seed. It is no cluster simulator: links have
// fixed delays, and hosts, kernels and congestion are left out.
package experimenter
