package viewer

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
)

func TestServersThatLeftStayLeavingWhenTheStoreReturnsFromAnOlderCopy(t *testing.T) {
	entry := func(name string, state parser.State, startedAt int64) BackendServer {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 80)
		return BackendServer{Name: name, Address: address, Token: uint32(name[0]), Service: "desk-sync", State: state, StartedAt: startedAt}
	}
	active, leaving := parser.Active, parser.Leaving
	type step struct {
		era, revision uint64
		list          []BackendServer
		active        int // servers that get new flows afterwards
	}
	cases := map[string][]step{
		"leaving server is active in the copy": {
			{1, 5, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 2},
			{1, 9, []BackendServer{entry("a", leaving, 1), entry("b", active, 1)}, 1},
			{2, 6, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 1},
			{2, 7, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 1},
			{2, 8, []BackendServer{entry("a", leaving, 1), entry("b", active, 1)}, 1},
		},
		"server that has left is listed again": {
			{1, 5, []BackendServer{entry("a", leaving, 1), entry("b", active, 1)}, 1},
			{1, 9, []BackendServer{entry("b", active, 1)}, 1},
			{2, 6, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 1},
			{2, 7, []BackendServer{entry("b", active, 1)}, 1},
		},
		"store returns twice": {
			{1, 5, []BackendServer{entry("a", leaving, 1)}, 0},
			{2, 4, []BackendServer{entry("a", active, 1)}, 0},
			{3, 4, []BackendServer{entry("a", active, 1)}, 0},
		},
		"another incarnation": {
			{1, 5, []BackendServer{entry("a", leaving, 1)}, 0},
			{2, 4, []BackendServer{entry("a", active, 2)}, 1},
		},
		"server whose entry had lapsed": {
			{1, 5, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 2},
			{1, 6, []BackendServer{entry("b", active, 1)}, 2},
			{2, 4, []BackendServer{entry("a", active, 1), entry("b", active, 1)}, 2},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			viewer := NewViewer()
			viewer.RetainMissingUntil(time.Now().Add(time.Minute))
			for i, step := range steps {
				assert.Assert(t, viewer.ApplyServers(&Servers{Era: step.era, Revision: step.revision, List: step.list}, time.Now()))
				assert.Equal(t, len(viewer.Current().ActiveServers("desk-sync")), step.active, "step %d", i)
			}
		})
	}
}
