// Package ticker calls functions at regular intervals, all from one goroutine per
// Ticker, so that the parts of a process share one timer. A Ticker also detects when
// the process was paused, for example stopped by a signal or suspended with its
// virtual machine.
package ticker
