// Package pacer decides whether this instance may open a flow at a backend server that is
// cold, that is in its warm-up.
//
// If the server's service states the rate that a cold server bears, two instances share it.
// The reader of the store chooses them when it reads that the server is cold, and the list of
// servers names them, so that no instance has to know how many others there are. Each keeps to
// a count of openings in any sliding second; an instance that is not among the two sends none.
// If no rate is stated, the share of new flows that a cold server gets grows from a part to
// the whole over its warm-up.
package pacer
