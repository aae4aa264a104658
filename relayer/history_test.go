package relayer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// newRelayerWithHistory returns the relayer of an instance that announced itself before
// historyLength changes of a hundred servers each.
func newRelayerWithHistory() *Relayer {
	simulation := newFleetSimulation()
	node := &node{simulation: simulation, viewer: viewer.NewViewer(), member: Member{Name: "lb-1"}}
	node.Relayer = NewRelayer(node.member, nil, node.viewer, node, node, Detectors{Failures: node, Slowness: node}, node)
	list := make([]viewer.BackendServer, 600)
	for i := range list {
		list[i] = backendServer(fmt.Sprintf("i-%08x", i), parser.Active)
	}
	node.applyConfiguration(&viewer.Configuration{Version: 1}, "store")
	for revision := range uint64(historyLength + 1) {
		changed := append([]viewer.BackendServer(nil), list...)
		for i := range 100 {
			changed[(int(revision)*37+i)%len(list)].StartedAt = int64(revision)
		}
		list = changed
		node.applyServers(&viewer.Servers{Revision: revision + 1, List: list}, "store")
		if revision == 0 {
			node.announceToLeaders()
		}
	}
	return node.Relayer
}

func TestAnnouncementAfterLongHistoryIsCheap(t *testing.T) {
	relayer := newRelayerWithHistory()
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			relayer.mutex.Lock()
			relayer.announcedRevision = viewer.Revision{Number: 1}
			content := encode(relayer.newAnnouncement(time.Now()))
			relayer.mutex.Unlock()
			assert.Assert(b, len(content) <= maxHeartbeatSize)
		}
	})
	// An instance with little memory leaves with one announcement.
	assert.Assert(t, result.AllocedBytesPerOp() <= 64<<10, "%d bytes allocated", result.AllocedBytesPerOp())
}

func TestPacketsDoNotWaitForTheRelayer(t *testing.T) {
	relayer := newRelayerWithHistory()
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	counted := make(chan int)
	go func() { counted <- relayer.Instances() }()
	select {
	case count := <-counted:
		assert.Equal(t, count, 1)
	case <-ctx.Done():
		t.Fatal("the number of instances, which every new flow needs, was not returned")
	}
}

// A change of many servers, as when a fourteenth part of 5,000 leaves at once, is fetched as a
// delta, which is far shorter than the list.
func TestLargeChangeIsFetchedAsDelta(t *testing.T) {
	const servers, leaving = 5000, 360
	runWithDomain(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() {
			simulation.servers = nil
			for i := range servers {
				simulation.servers = append(simulation.servers, backendServer(fmt.Sprintf("j-%08x", i), parser.Active))
			}
		})
		advance(applyTimeLimit)
		full := len(nodes[0].Snapshot(0, viewer.Revision{}))
		simulation.resetTraffic()
		simulation.update(func() { simulation.servers = simulation.servers[leaving:] })
		advance(applyTimeLimit)
		want := (&viewer.Servers{List: simulation.servers}).Digest()
		served, snapshots := 0, 0
		for _, node := range nodes {
			assert.Equal(t, node.viewer.Current().Servers.Digest(), want, "%s", node.member.Name)
			served, snapshots = served+node.servedBytes, snapshots+node.servedSnapshots
		}
		t.Logf("%d snapshots of %d bytes, a full one has %d", snapshots, served/snapshots, full)
		assert.Assert(t, served/snapshots <= full/10, "%d bytes a snapshot, a full one has %d", served/snapshots, full)
	})
}

// The history of a long list stays small, whatever changes.
func TestHistoryIsLimited(t *testing.T) {
	var history deltaHistory
	list := make([]viewer.BackendServer, 17_000)
	for i := range list {
		list[i] = backendServer(fmt.Sprintf("i-%08x", i), parser.Active)
	}
	before := &viewer.Servers{Revision: 1, List: list}
	for revision := uint64(2); revision < 40; revision++ {
		changed := append([]viewer.BackendServer(nil), before.List...)
		for i := range 3000 {
			changed[(int(revision)*2500+i)%len(list)].StartedAt = int64(revision)
		}
		after := &viewer.Servers{Revision: revision, List: changed}
		history.add(before, after)
		before = after
		total := 0
		for _, delta := range history.deltas {
			total += delta.Len()
		}
		assert.Assert(t, total <= maxHistorySize, "%d servers in the history", total)
	}
	assert.Assert(t, len(history.after(viewer.Revision{Number: 38})) > 0)
	history.add(before, &viewer.Servers{Revision: 50, List: list[:2000]})
	assert.Equal(t, len(history.deltas), 0, "the full list is shorter")
}
