// Package storer is the HTTP client for the platforms that store shared objects.
//
// A Client sends requests and maps the responses to errors such as ErrNotFound and
// ErrConflict. A Storer reads, conditionally updates and watches objects through
// this project's own object API: versions are entity tags, conditions are If-Match
// and If-None-Match headers (RFC 9110 section 13.1), and a watch is a long poll.
package storer
