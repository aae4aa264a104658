package soaker

import (
	"time"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// The warm-up of servers that start during a run, and the openings that they bear in a second.
const (
	warmUpTime   = 4 * time.Second
	warmUpRate   = 4
	warmUpExcess = 1.5
	warmUpSlack  = 2
	warmUpLimit  = int(warmUpRate*warmUpExcess + warmUpSlack)
)

// ratedServices returns the services with the rate that their cold servers bear.
func ratedServices() []viewer.Service {
	return []viewer.Service{
		{Name: "desk-sync", WarmUp: warmUpTime, WarmUpRate: warmUpRate},
		{Name: "report-desk", WarmUp: warmUpTime, WarmUpRate: warmUpRate},
	}
}

// warmUp makes a server that has just started cold for warmUpTime. It is called before the
// server's first entry is written.
func (server *server) warmUp() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.coldUntil = time.Now().Add(warmUpTime)
	time.AfterFunc(warmUpTime, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		if !server.stopped && server.leavingAt.IsZero() {
			server.writeEntry(parser.Active)
		}
	})
}

// checkWarmUp checks that a cold server gets no more openings, copies included, than it bears
// in any second. The caller holds the server's mutex.
func (server *server) checkWarmUp() {
	now := time.Now()
	if !now.Before(server.coldUntil) {
		return
	}
	server.openings = append(server.openings, now)
	for now.Sub(server.openings[0]) >= time.Second {
		server.openings = server.openings[1:]
	}
	if len(server.openings) > warmUpLimit {
		server.soak.recordViolation("cold server %s got %d openings in a second", server.name, len(server.openings))
	}
}
