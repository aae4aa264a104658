package relayer

import (
	"testing"

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
