// Package steerer decides where each packet of a flow goes when packets carry a
// token: an opening goes to a server of the placer's choice and gets the
// server's token, every later packet goes where its token says, at any instance
// and without a table. What the steerer remembers of flows serves only the
// choice for later openings, so losing it breaks nothing.
package steerer
