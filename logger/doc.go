// Package logger writes numbered events through logr; docs/EVENTS.md is the catalogue.
package logger
