package steerer

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// serverSelector selects servers for new flows from the load reported to it;
// placer.Placer implements it.
type serverSelector interface {
	Select(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer
	// MayOpen reports whether an opening may be sent to a server now.
	MayOpen(server *viewer.BackendServer, now time.Time) bool
	// OpeningSent is called for each opening, and each copy of one, that is sent to a server.
	OpeningSent(server *viewer.BackendServer, now time.Time)
	// RequestSent is called for each request on an open flow but the first.
	RequestSent(server *viewer.BackendServer, now time.Time)
	// FlowOpened counts a flow as open at a server until FlowClosed.
	FlowOpened(server *viewer.BackendServer, now time.Time)
	FlowClosed(server *viewer.BackendServer, now time.Time)
	// RequestBegan counts an opening or a request as outstanding at a server until
	// RequestEnded; isFirst says that it is the first of its flow.
	RequestBegan(server *viewer.BackendServer, isFirst bool, now time.Time)
	// RequestMoved counts one again that was counted before, at another server or until it was given up.
	RequestMoved(server *viewer.BackendServer, now time.Time)
	RequestEnded(server *viewer.BackendServer, now time.Time)
	OpeningAnswered(server *viewer.BackendServer, now time.Time)
	OpeningUnanswered(server *viewer.BackendServer, now time.Time) bool
	// Readmit ends the ejection of a server that has answered other instances, and reports
	// whether it did.
	Readmit(server *viewer.BackendServer, now time.Time) bool
	// ReexamineServers is called when the servers to which openings are held back change.
	ReexamineServers()
	RecordResponseTime(server *viewer.BackendServer, duration time.Duration, now time.Time)
	// ObserveView is called after each change of the view, also if no flows are opened.
	ObserveView(now time.Time)
	ExpireServers(before time.Time)
}

// responseRecorder looks for failing and slow servers by their responses;
// examiner.Examiner implements it.
type responseRecorder interface {
	// RecordLostRequest is called for a request or an opening that its server did not take.
	RecordLostRequest(server *viewer.BackendServer)
	RecordResponse(route netip.AddrPort, server *viewer.BackendServer, bytes uint32, duration time.Duration, now time.Time)
	// IsShort reports whether a response is much shorter than usual on its route.
	IsShort(route netip.AddrPort, bytes uint32) bool
}

// Observer receives the events of flows for logs and counters.
type Observer interface {
	// Decided is called for every verdict except that on a later packet forwarded by its token.
	Decided(verdict *Verdict, view *viewer.View)
	// FlowEnded is called when a flow that was opened through this instance ends.
	FlowEnded(summary *FlowSummary)
	// ServerEjected is called when a server is ejected because it does not answer openings.
	ServerEjected(server *viewer.BackendServer)
	// ServerReadmitted is called when an ejection ends because another instance has seen the
	// server alive, a time ago.
	ServerReadmitted(server *viewer.BackendServer, age time.Duration)
	// FlowsReset is called when all flows of a silent server that pass this instance are reset.
	FlowsReset(server *viewer.BackendServer, flows int)
}
