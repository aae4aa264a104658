package director

import (
	"time"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/viewer"
)

// ServerEjected counts and logs that the steerer ejected a server because it did not answer openings.
func (recorder *Recorder) ServerEjected(server *viewer.BackendServer) {
	recorder.counters.Add("held_off", 1)
	recorder.Event(logger.EventServerEjected, "backend_server", server.Name, "service", server.Service)
}

// FlowsReset counts and logs that the flows of a silent server are reset; a server without flows
// here is only counted.
func (recorder *Recorder) FlowsReset(server *viewer.BackendServer, flows int) {
	recorder.counters.Add("servers_silent", 1)
	if flows > 0 {
		recorder.Event(logger.EventFlowsReset, "backend_server", server.Name, "service", server.Service, "flows", flows)
	}
}

// ServerSilent counts and logs that this instance declared a server silent for its failure domain.
func (recorder *Recorder) ServerSilent(server detector.Server, evidence detector.Evidence) {
	recorder.counters.Add("silences_declared", 1)
	recorder.Event(logger.EventServerSilent, "backend_server", recorder.serverName(server), "flows", evidence.Flows,
		"instances", evidence.Instances, "from", evidence.From, "longest_wait_ms", evidence.Longest.Milliseconds(), "since_ms", evidence.Since.Milliseconds(), "openings", evidence.Openings, "hinted", evidence.Hinted)
}

// ServerAlive counts and logs that a declaration was taken back; seenHere is whether this
// instance saw the sign of life.
func (recorder *Recorder) ServerAlive(server detector.Server, seenHere bool) {
	recorder.counters.Add("silences_refuted", 1)
	recorder.Event(logger.EventServerAlive, "backend_server", recorder.serverName(server), "seen_here", seenHere)
}

// ServerHeld counts and logs that this instance has openings to a server held back in its failure
// domain.
func (recorder *Recorder) ServerHeld(server detector.Server, evidence detector.Evidence, duration time.Duration) {
	recorder.counters.Add("holds_declared", 1)
	recorder.Event(logger.EventServerHeld, "backend_server", recorder.serverName(server), "openings", evidence.Openings, "instances", evidence.Instances,
		"from", evidence.From, "since_ms", evidence.Since.Milliseconds(), "hinted", evidence.Hinted, "for", duration.String())
}

// ServerReadmitted counts and logs that the ejection of a server ended because another instance has
// seen it alive.
func (recorder *Recorder) ServerReadmitted(server *viewer.BackendServer, age time.Duration) {
	recorder.counters.Add("readmitted", 1)
	recorder.Event(logger.EventServerReadmitted, "backend_server", server.Name, "service", server.Service, "answered_ms_ago", age.Milliseconds())
}

// serverName returns the name of a server, or an empty one if it is unknown.
func (recorder *Recorder) serverName(server detector.Server) string {
	names := recorder.serverNames.Load()
	if names == nil {
		return ""
	}
	return (*names)(server)
}

// nameOf returns the name of a server in a view, or an empty one if the view has no such incarnation.
func nameOf(server detector.Server, view *viewer.View) string {
	for _, known := range view.ServersByToken(server.Token) {
		if detector.NewServer(known) == server {
			return known.Name
		}
	}
	return ""
}

// SetServerNames sets the function that returns the name of a server, empty if it is unknown.
func (recorder *Recorder) SetServerNames(names func(server detector.Server) string) {
	recorder.serverNames.Store(&names)
}

// LogEjection counts and logs that a server fails its requests or is slow; ejected is
// whether it gets no new flows for a time because of it. Of servers that are not ejected, as
// too many are already, it logs one in socketFailureInterval.
func (recorder *Recorder) LogEjection(server *viewer.BackendServer, ejection relayer.Ejection, ejected bool) {
	event, counter := logger.EventServerFailing, "failing"
	if ejection.IsSlow {
		event, counter = logger.EventServerSlow, "slow"
	}
	recorder.counters.Add(counter, 1)
	if !ejected && !recorder.logDue("declined ejection") {
		return
	}
	recorder.Event(event, "backend_server", server.Name, "service", server.Service,
		"for", ejection.Duration.String(), "held_off", ejected)
}
