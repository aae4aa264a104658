// Package parser reads the operators' sheet and rehearsal calendar, both CSV
// exports (RFC 4180), and checks each as a whole.
package parser
