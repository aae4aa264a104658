// Command trial runs a small deployment for the scripts of the second review: instances of
// pimentowind as processes, and in this process the store, the routers, the backend servers and
// the callers. It plays one case, writes what was sent, run and answered to a record, and
// exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if it could not run.
package main
