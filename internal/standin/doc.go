// Package standin simulates the systems around the load balancers for rehearsals on one
// machine: the platform's object API over HTTP, and the network fabric, backend servers
// and callers, which exchange packets over UDP in the tunnel protocol of package framer.
// Command standin runs each of them as a process, and most have HTTP endpoints for
// control and statistics. The product does not import this package.
package standin
