// Package logger defines the catalog of numbered log events, listed in
// docs/EVENTS.md for operators, and writes them as text or JSON lines through logr.
// Its Queue batches lines, so that logging never waits for the output.
package logger
