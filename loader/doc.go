// Package loader loads sheets and calendars into the platform and tells
// operators how far they are in force.
package loader
