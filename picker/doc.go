// Package picker selects one candidate for a key by weighted rendezvous hashing.
//
// It uses the logarithmic method of Schindelhauer and Schomaker, "Weighted
// distributed hash tables" (SPAA 2005): each candidate gets a score from the hash
// of key and candidate, divided by its weight, and the lowest score is selected.
// When a weight changes, only keys to or from that candidate move.
package picker
