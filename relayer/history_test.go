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
			relayer.announcedRevision = 1
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
