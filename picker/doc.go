// Package picker selects one candidate for a key by weighted rendezvous hashing.
//
// It uses the logarithmic method of Schindelhauer and Schomaker, "Weighted
// distributed hash tables" (SPAA 2005): each candidate gets a score from the hash
// of key and candidate, divided by its weight, and the lowest score is selected.
// When a weight changes, only keys to or from that candidate move.
//
// It is the one rule by which weights divide new flows: among the services of a route and
// among the servers of a service. A candidate without weight is never selected, whatever else is
// left; if no other is, the flow is refused.
package picker
