// Package loader writes sheets and calendars to the platform's store for operators and
// reports on which instances a sheet is in force.
//
// It takes a parsed sheet or calendar and returns the version that was written.
// Concurrent loads are detected by the version of the stored object, and an endpoint
// cannot move to another service while an instance may still send it packets of the
// previous one. The package also defines the JSON documents in the store.
package loader
