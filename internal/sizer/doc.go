// Package sizer measures how state, messages and processor time grow, and
// works out what a fleet of another size would need.
package sizer
