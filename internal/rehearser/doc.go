// Package rehearser runs whole fleets as separate processes on loopback: the
// product's binary with the stand-ins round it. The demonstration and the
// tests with real processes share it.
package rehearser
