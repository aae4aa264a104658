// Package storer reads, conditionally updates and watches objects of the
// platform's object API over HTTP. Versions travel as entity tags and
// conditions as If-Match (RFC 9110 section 13.1); a watch is a long poll.
package storer
