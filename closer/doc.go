// Package closer collects the clean-up functions that constructors return, so that
// one call runs them all.
package closer
