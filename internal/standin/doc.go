// Package standin has small programs that take the place of the systems round
// the balancers: the platform's object API, the fabric, backend servers and
// callers. Nothing in the product imports it.
package standin
