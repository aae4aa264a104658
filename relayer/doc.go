// Package relayer spreads what an instance knows to the others, so that few of
// them have to read the platform's store. The instances of a failure domain
// take turns by rank: the first that lives reads and tells the others by
// heartbeats; one that hears nothing new for a while reads for itself. Two
// readers at once are harmless, and none is noticed within a second or two.
package relayer
