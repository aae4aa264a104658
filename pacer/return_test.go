package pacer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// serverIn returns a warm server in a failure domain.
func serverIn(domain string) viewer.BackendServer {
	return viewer.BackendServer{Name: domain, Service: "desk-sync", FailureDomain: domain, State: parser.Active, Token: uint32(domain[len(domain)-1])}
}

// newReturnPacer returns the pacer of an instance and its view of one service with a rate.
func newReturnPacer(servers ...viewer.BackendServer) (*Pacer, *viewer.Viewer) {
	current := viewer.NewViewer()
	current.ApplyConfiguration(&viewer.Configuration{Version: 1, Services: []viewer.Service{{Name: "desk-sync", WarmUpRate: 20}}})
	current.ApplyServers(&viewer.Servers{Revision: 1, List: servers}, start)
	return NewPacer("lb-0", Bounds{}, current.Current, &counts{}, start.Add(-time.Minute)), current
}

func TestEndOfAnEvacuationIsNoticedWithoutOpenings(t *testing.T) {
	server, other := serverIn("dakar-1"), serverIn("dakar-2")
	pacer, current := newReturnPacer(server, other)
	pacer.ObserveView(start)
	current.ApplyEvacuations(&viewer.Evacuations{Revision: 2, Domains: []string{"dakar-1"}})
	pacer.ObserveView(start)
	current.ApplyEvacuations(&viewer.Evacuations{Revision: 3})
	pacer.ObserveView(start)
	assert.Equal(t, pacer.Share(&server, start.Add(returnHold-1)), 0.0)
	assert.Equal(t, pacer.Share(&other, start), 1.0)
	assert.Equal(t, pacer.Share(&server, start.Add(returnHold)), 1.0)
}

func TestWarmServersOfAReturnedDomainServeIfNothingElseDoes(t *testing.T) {
	cold := func(domain string) viewer.BackendServer {
		server := serverIn(domain)
		server.ColdUntil = viewer.DeadlineAfter(start, time.Minute)
		return server
	}
	ended := cold("dakar-2")
	ended.ColdUntil = viewer.DeadlineAfter(start, -time.Hour)
	leaving := serverIn("dakar-2")
	leaving.State = parser.Leaving
	cases := []struct {
		name      string
		servers   []viewer.BackendServer
		evacuated []string
		want      float64 // share of the first server
	}{
		{"the only domain", []viewer.BackendServer{serverIn("dakar-1")}, []string{"dakar-1"}, 1},
		{"all return", []viewer.BackendServer{serverIn("dakar-1"), serverIn("dakar-2")}, []string{"dakar-1", "dakar-2"}, 1},
		{"the others are leaving", []viewer.BackendServer{serverIn("dakar-1"), leaving}, []string{"dakar-1"}, 1},
		{"the others are cold", []viewer.BackendServer{serverIn("dakar-1"), cold("dakar-2")}, []string{"dakar-1"}, 1},
		{"the others are warm", []viewer.BackendServer{serverIn("dakar-1"), serverIn("dakar-2")}, []string{"dakar-1"}, 0},
		{"the others are warm again", []viewer.BackendServer{serverIn("dakar-1"), ended}, []string{"dakar-1"}, 0},
		{"it is cold itself", []viewer.BackendServer{cold("dakar-1")}, []string{"dakar-1"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pacer, current := newReturnPacer(c.servers...)
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 2, Domains: c.evacuated})
			pacer.ObserveView(start)
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 3})
			assert.Equal(t, pacer.Share(&c.servers[0], start), c.want)
			assert.Equal(t, pacer.Reserved(&c.servers[0], start), c.want == 0)
		})
	}
}

// The store is away while servers that have just returned say that they are cold.
func TestServersOfAReturnedDomainWaitForAReadOfTheStore(t *testing.T) {
	cases := []struct {
		name        string
		confirmedAt time.Duration // after the return
		at          time.Duration // after the return
		want        float64       // share of the returned server
	}{
		{"read before they can have said so", heartbeatTime - 1, returnHold, 0},
		{"the same, long after", heartbeatTime - 1, maxReturnHold - 1, 0},
		{"not read for longer than servers are cold", heartbeatTime - 1, maxReturnHold, 1},
		{"read since", heartbeatTime, returnHold, 1},
		{"read since, but they can have said so later", heartbeatTime, returnHold - 1, 0},
		{"read long ago, and returned long ago", heartbeatTime, maxReturnHold - 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, other := serverIn("dakar-1"), serverIn("dakar-2")
			pacer, current := newReturnPacer(server, other)
			pacer.SetViewAge(func(now time.Time) time.Duration { return now.Sub(start.Add(c.confirmedAt)) })
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 2, Domains: []string{"dakar-1"}})
			pacer.ObserveView(start)
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 3})
			pacer.ObserveView(start)
			assert.Equal(t, pacer.Share(&server, start.Add(c.at)), c.want)
		})
	}
}
