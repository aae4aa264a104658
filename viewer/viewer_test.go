package viewer

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
)

var start = time.Unix(1_000_000, 0)

func server(name string, token uint32, startedAt int64) BackendServer {
	return BackendServer{
		Name: name, Token: token, Service: "desk-sync", State: parser.Active, StartedAt: startedAt,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(token)}), 80),
	}
}

func list(revision uint64, servers ...BackendServer) *Servers {
	return &Servers{Revision: revision, List: servers}
}

func names(servers []*BackendServer) []string {
	result := []string{}
	for _, server := range servers {
		result = append(result, server.Name)
	}
	return result
}

func TestOlderVersionsAreRejected(t *testing.T) {
	viewer := NewViewer()
	assert.Assert(t, viewer.ApplyConfiguration(&Configuration{Version: 7}))
	assert.Assert(t, !viewer.ApplyConfiguration(&Configuration{Version: 7}))
	assert.Assert(t, !viewer.ApplyConfiguration(&Configuration{Version: 3}))
	assert.Equal(t, viewer.Current().Configuration.Version, uint64(7))
	assert.Assert(t, viewer.ApplyServers(list(5), start))
	assert.Assert(t, !viewer.ApplyServers(list(4, server("a", 1, 1)), start))
	assert.Equal(t, viewer.Current().Servers.Revision, uint64(5))
}

func TestLeavingServerKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	viewer := NewViewer()
	leaving := server("a", 1, 1)
	leaving.State = parser.Leaving
	viewer.ApplyServers(list(1, leaving, server("b", 2, 1)), start)
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b"})
	assert.Equal(t, viewer.Current().ServerOfFlow(1, 0).Name, "a")
}

func TestRemovedServerKeepsItsTokenForMaxFlowAge(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(1, server("a", 1, 1)), start)
	viewer.ApplyServers(list(2), start)
	assert.Equal(t, viewer.Current().ServerOfFlow(1, 0).Name, "a")
	viewer.ApplyServers(list(3), start.Add(maxFlowAge))
	assert.Assert(t, viewer.Current().ServerOfFlow(1, 0) == nil)
}

func TestMissingServersAreRetainedForALimitedTimeAfterAnOutage(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(1, server("a", 1, 1), server("b", 2, 1)), start)
	viewer.RetainMissingUntil(start.Add(time.Second))
	viewer.ApplyServers(list(2, server("b", 2, 1)), start)
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b", "a"})
	viewer.ApplyServers(list(3), start)
	assert.Equal(t, len(viewer.Current().ActiveServers("desk-sync")), 2)
	viewer.ApplyServers(list(4, server("b", 2, 1)), start)
	assert.Equal(t, len(viewer.ExpireRetained(start.Add(time.Second-1))), 0)
	assert.DeepEqual(t, names(viewer.ExpireRetained(start.Add(time.Second))), []string{"a"})
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b"})
}

func TestMissingServerIsNotRetainedWhenItsAddressIsReused(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(1, server("a", 1, 1)), start)
	viewer.RetainMissingUntil(start.Add(time.Second))
	successor := server("b", 2, 2)
	successor.Address = server("a", 1, 1).Address
	viewer.ApplyServers(list(2, successor), start)
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b"})
}

func TestMissingServerIsNotRetainedWithoutAnOutage(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(1, server("a", 1, 1)), start)
	viewer.ApplyServers(list(2), start)
	assert.Equal(t, len(viewer.Current().ActiveServers("desk-sync")), 0)
}

func TestDigestDependsOnlyOnContent(t *testing.T) {
	one, two := list(1, server("a", 1, 1)), list(2, server("a", 1, 1))
	two.List[0].ColdUntil = Deadline{Time: start}
	assert.Equal(t, one.Digest(), two.Digest())
	two.List[0].State = parser.Leaving
	assert.Assert(t, one.Digest() != two.Digest())
}

func TestServerChanges(t *testing.T) {
	before := list(1, server("a", 1, 1), server("b", 2, 1), server("c", 3, 1))
	restarted := server("b", 2, 9)
	after := list(2, server("a", 1, 1), restarted, server("d", 4, 1))
	assert.DeepEqual(t, ServerChanges(before, after), []ServerChange{
		{Name: "b", Service: "desk-sync", State: "active"},
		{Name: "d", Service: "desk-sync", State: "active"},
		{Name: "c", Service: "desk-sync", State: "gone"},
	})
}
