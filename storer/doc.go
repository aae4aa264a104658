// Package storer calls platforms over HTTP. A Client makes the calls and tells
// their outcomes apart; a Storer reads, conditionally updates and watches objects
// of the object API of the product itself, where versions travel as entity tags
// and conditions as If-Match (RFC 9110 section 13.1) and a watch is a long poll.
package storer
