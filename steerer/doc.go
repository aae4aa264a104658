// Package steerer decides what an instance does with each packet that a caller
// sends. The first packet of a flow (its opening) goes to a backend server that
// the placer selects among those of one service; the service is the picker's choice among
// those of the route. Every later packet carries the token of that server, so any
// instance can forward it without a flow table.
//
// A Steerer takes decoded packets and the current view of routes and servers, and
// returns verdicts; it opens no sockets. It tracks the flows that were opened
// through its instance only to measure load and response times, to retry
// unanswered openings and to report how flows ended. It follows all established flows
// whose packets pass, to notice whether their servers answer and to reset flows whose
// server is gone. Losing this state interrupts no established flow.
package steerer
