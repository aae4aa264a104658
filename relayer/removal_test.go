package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that start while an entry is gone, and drop the packets of its server's open
// flows although the others send them on.
func TestInstanceThatStartsWhileAnEntryIsGoneFindsItsServer(t *testing.T) {
	cases := []struct {
		name      string
		restarted func(nodes []*node) []*node
		isAway    bool // the store, during the restart
	}{
		{"one, from the saved snapshot", func(nodes []*node) []*node { return nodes[4:5] }, false},
		{"a leader", func(nodes []*node) []*node { return nodes[:1] }, false},
		{"all at once", func(nodes []*node) []*node { return nodes }, false},
		{"some, from their peers", func(nodes []*node) []*node { return nodes[4:8] }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithFleet(t, 4, func(simulation *fleetSimulation, nodes []*node) {
				simulation.addServers(20)
				server := simulation.servers[7]
				simulation.update(func() { simulation.servers = append(simulation.servers[:7:7], simulation.servers[8:]...) })
				advance(applyTimeLimit + 2*saveInterval)
				simulation.update(func() { simulation.storeDown = c.isAway })
				restarted := c.restarted(nodes)
				simulation.restart(t, restarted, 500*time.Millisecond, func() {})
				advance(4 * time.Second)
				for _, node := range restarted {
					view := node.viewer.Current()
					found := view.ServerOfFlow(server.FlowToken(1), 1)
					assert.Assert(t, found != nil, "%s does not know it", node.member.Name)
					assert.Equal(t, found.Name, server.Name)
					assert.Equal(t, len(view.ActiveServers("desk-sync")), len(simulation.servers))
				}
			})
		})
	}
}
