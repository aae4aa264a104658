// Package ticker is the one timer service of a process; its parts subscribe to
// it instead of starting timers of their own.
package ticker
