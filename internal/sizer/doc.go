// Package sizer estimates what a fleet larger than any that can be run here would need.
//
// Measure and MeasureProcesses measure how memory, messages and processor time grow
// with the number of instances, flows or backend servers, and fit a straight line, a
// Slope, to each series. Tables extrapolates the slopes to the Target fleet and
// compares the results with the budgets of one instance and of the platform.
package sizer
