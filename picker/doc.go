// Package picker chooses one candidate for a key by weighted rendezvous hashing.
//
// The method is the logarithmic one of Schindelhauer and Schomaker, "Weighted
// distributed hash tables" (SPAA 2005): every candidate draws a number from the
// hash of key and candidate, scaled by its weight, and the smallest draw wins.
// A changed weight moves only the keys that the changed candidate wins or loses.
package picker
