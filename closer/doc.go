// Package closer collects the clean-up functions that constructors return.
package closer
