// Package soaker runs real instances against stand-ins of their surroundings,
// injects faults from outside, drawn from a seed, and checks while it runs what
// callers and backend servers may see.
package soaker
