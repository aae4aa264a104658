package relayer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnconfirmedViewConfirmsNoOther(t *testing.T) {
	relayer := newMuteRelayer(nil)
	relayer.mutex.Lock()
	heartbeat := relayer.newHeartbeat(time.Now(), false)
	relayer.mutex.Unlock()
	heartbeat.Sender = backendMember("lb-1")
	assert.NilError(t, relayer.Receive(t.Context(), encode(heartbeat)))
	assert.Assert(t, relayer.schedule.freshAt.IsZero(), "confirmed at %s", relayer.schedule.freshAt)
	assert.Assert(t, !relayer.Confirmed(time.Now()))
	heartbeat.Age = time.Second
	assert.NilError(t, relayer.Receive(t.Context(), encode(heartbeat)))
	assert.Assert(t, relayer.Confirmed(time.Now()))
}

// longestConfirmation returns how long the nodes wait from now on until the views of all are
// confirmed.
func longestConfirmation(nodes []*node) time.Duration {
	startedAt := time.Now()
	for slices.ContainsFunc(nodes, func(node *node) bool { return !node.Confirmed(time.Now()) }) {
		advance(5 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// A fleet that starts is confirmed by the leaders' first read of the store, a part of it by the
// answers of the others.
func TestStartsAreConfirmedSoon(t *testing.T) {
	cases := map[string]struct {
		disturb             func(simulation *fleetSimulation)
		maxFleet, maxDomain time.Duration
	}{
		"calm":                            {func(*fleetSimulation) {}, 50 * time.Millisecond, 20 * time.Millisecond},
		"calls of 300 ms":                 {func(simulation *fleetSimulation) { simulation.callDelay = 300 * time.Millisecond }, 1250 * time.Millisecond, 320 * time.Millisecond},
		"calls longer than a start waits": {func(simulation *fleetSimulation) { simulation.callDelay = 1500 * time.Millisecond }, confirmationTimeout + 10*time.Millisecond, retryInterval + 20*time.Millisecond},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for _, count := range []int{90, 30} {
				runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
					simulation.addServers(600)
					simulation.restart(t, nodes[:count], 2*time.Second, func() { test.disturb(simulation) })
					limit := test.maxFleet
					if count == 30 {
						limit = test.maxDomain
					}
					longest := longestConfirmation(nodes[:count])
					assert.Assert(t, longest <= limit, "%d instances were confirmed after %s", count, longest)
				})
			}
		})
	}
}

// After a start there was no outage that the view could have lived through, so servers that
// have left since the snapshot was saved are not kept for the time after an outage.
func TestStartDoesNotKeepServersThatLeft(t *testing.T) {
	runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(20)
		simulation.restart(t, nodes, 2*time.Second, func() { simulation.servers = simulation.servers[:10] })
		advance(time.Second)
		for _, node := range nodes {
			assert.Equal(t, len(node.viewer.Current().ActiveServers("desk-sync")), 10, "%s", node.member.Name)
		}
	})
}
