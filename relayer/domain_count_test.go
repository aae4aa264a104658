package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestInstancesKnowTheSizeOfTheirFailureDomain(t *testing.T) {
	runWithFleet(t, 30, func(simulation *fleetSimulation, nodes []*node) {
		for _, node := range nodes {
			assert.Equal(t, node.DomainInstances(), 30, "%s", node.member.Name)
		}
		for i := range byte(6) {
			nodes = append(nodes, simulation.startNode(t, "added-"+string('a'+rune(i)), 1, 100+i))
		}
		advance(3 * membersReadInterval)
		for _, node := range nodes {
			want := 30
			if node.member.FailureDomain == "dakar-1" {
				want = 36
			}
			assert.Equal(t, node.DomainInstances(), want, "%s", node.member.Name)
		}
	})
}

func TestInstanceAloneIsItsFailureDomain(t *testing.T) {
	assert.Equal(t, (&Relayer{}).DomainInstances(), 1)
}

// After a power loss all instances start at once, and callers come before the leaders know the fleet.
func TestInstancesThatStartTogetherKnowTheSizeOfTheirFailureDomain(t *testing.T) {
	runWithFleet(t, 60, func(simulation *fleetSimulation, nodes []*node) {
		simulation.addServers(600)
		simulation.restart(t, nodes, 2*time.Second, func() {})
		advance(100 * time.Millisecond)
		for _, node := range nodes {
			assert.Equal(t, node.DomainInstances(), 60, "%s", node.member.Name)
		}
		advance(5 * time.Second)
		for _, node := range nodes {
			assert.Equal(t, node.DomainInstances(), 60, "%s", node.member.Name)
		}
	})
}
