// Package balancer joins the parts of an instance: packets and messages go
// through the engine to the decisions, and the follower keeps the decisions up
// to date with the platform. The parts are wired with dig.
package balancer
