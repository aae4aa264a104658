// Package rehearser runs a deployment as separate processes on loopback: load balancer
// instances of the product's executable, and the programs of package standin for the
// platform, the fabric, backend servers and callers. A Fleet starts and controls the
// processes; Rehearse runs a sample deployment with a rolling replacement and a drain
// under load and returns what callers and backend servers counted. The command rehearse,
// tests with real processes and the measurements of idle instances use it.
package rehearser
