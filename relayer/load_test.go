package relayer

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
)

// fakeMonitor reports a fixed load while isShort is set, and keeps what it was last given.
type fakeMonitor struct {
	mutex     sync.Mutex
	isShort   bool
	applied   admitter.Load
	appliedAt time.Time
}

func (fakeMonitor *fakeMonitor) Report(time.Time) admitter.Load {
	fakeMonitor.mutex.Lock()
	defer fakeMonitor.mutex.Unlock()
	if !fakeMonitor.isShort {
		return nil
	}
	return admitter.Load{{Service: "desk-sync", Answered: 10, Shed: 4, Offered: 20, Admitted: 5}}
}

func (fakeMonitor *fakeMonitor) ApplyShared(load admitter.Load, now time.Time) {
	fakeMonitor.mutex.Lock()
	defer fakeMonitor.mutex.Unlock()
	fakeMonitor.applied, fakeMonitor.appliedAt = load, now
}

// shed returns the shed responses per second that were last applied, 0 if that is long ago.
func (fakeMonitor *fakeMonitor) shed() int {
	fakeMonitor.mutex.Lock()
	defer fakeMonitor.mutex.Unlock()
	if len(fakeMonitor.applied) == 0 || time.Since(fakeMonitor.appliedAt) > admitter.SharedLifetime {
		return 0
	}
	return int(fakeMonitor.applied[0].Shed)
}

func (fakeMonitor *fakeMonitor) setShort(isShort bool) {
	fakeMonitor.mutex.Lock()
	defer fakeMonitor.mutex.Unlock()
	fakeMonitor.isShort = isShort
}

// monitorAll gives every node a monitor.
func monitorAll(nodes []*node) []*fakeMonitor {
	monitors := make([]*fakeMonitor, len(nodes))
	for i, node := range nodes {
		monitors[i] = &fakeMonitor{}
		node.mutex.Lock()
		node.loads.monitor = monitors[i]
		node.mutex.Unlock()
	}
	return monitors
}

// settleTime is how long the sums may take to follow a change.
const settleTime = 2 * time.Second

func TestLoadsAreAddedUpOverTheFleet(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		monitors := monitorAll(nodes)
		assertShed := func(step string, from, to, want int) {
			t.Helper()
			advance(settleTime)
			for i, monitor := range monitors[from:to] {
				assert.Equal(t, monitor.shed(), want, "%s: %s", step, nodes[from+i].member.Name)
			}
		}
		for i := range 30 {
			monitors[i].setShort(i%10 < 5)
		}
		assertShed("half of all report", 0, 30, 15*4)
		for _, monitor := range monitors {
			monitor.setShort(true)
		}
		assertShed("all report", 0, 30, 30*4)
		simulation.update(func() { simulation.partitioned["dakar-2"] = true })
		assertShed("a failure domain is cut off", 0, 20, 20*4)
		assertShed("within it", 20, 30, 10*4)
		simulation.update(func() { simulation.partitioned["dakar-2"] = false })
		assertShed("it is back", 0, 30, 30*4)
		nodes[0].kill()
		nodes[1].kill()
		assertShed("the leaders of one are killed", 10, 30, 20*4)
		for _, monitor := range monitors {
			monitor.setShort(false)
		}
		assertShed("calm", 0, 30, 0)
	})
}

func TestLoadsCostNothingWhileCalm(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		datagrams := func() int {
			simulation.update(func() { simulation.heartbeatBytes = 0 })
			advance(10 * time.Second)
			return simulation.heartbeatBytes
		}
		monitors := monitorAll(nodes)
		without := datagrams()
		for i, node := range nodes {
			node.mutex.Lock()
			assert.Equal(t, len(node.loads.byInstance)+len(node.loads.byDomain), 0)
			node.mutex.Unlock()
			assert.Assert(t, monitors[i].appliedAt.IsZero())
		}
		for _, monitor := range monitors {
			monitor.setShort(true)
		}
		perInstance := (datagrams() - without) / len(nodes) / 10
		assert.Assert(t, perInstance < controlBytesPerSecondLimit, "%d bytes per second and instance", perInstance)
		assert.Assert(t, simulation.longestHeartbeat <= maxHeartbeatSize)
	})
}
