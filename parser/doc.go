// Package parser parses and validates the operators' sheet and rehearsal calendar,
// both CSV files (RFC 4180).
//
// The sheet lists the services, backend servers, failure domains and the instances
// that join or leave; the calendar lists rehearsals, which are planned drains and
// failures. ParseSheet and ParseCalendar return the parsed data, or Findings with
// every error of the file and not only the first.
package parser
