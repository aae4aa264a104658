// Package soaker runs instances of the load balancer as processes, together with
// in-process stand-ins for the routers, the callers, the backend servers and the
// object store. It injects faults drawn from a seed, for example killed processes,
// network partitions and store outages, and checks during the run what callers and
// backend servers observe. Run takes Settings and returns a Report that lists the
// faults, the outcomes of requests and the violations.
package soaker
