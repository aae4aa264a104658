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
