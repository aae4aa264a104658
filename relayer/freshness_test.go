package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// In a failure domain that is cut off, a view would look fresher each time that slow heartbeats
// carry its age to and fro.
func TestAgeGrowsWhileNobodyReadsTheStore(t *testing.T) {
	const datagramDelay = 100 * time.Millisecond
	runWithFleet(t, 8, func(simulation *fleetSimulation, nodes []*node) {
		simulation.update(func() { simulation.datagramDelay = datagramDelay })
		advance(5 * time.Second)
		simulation.update(func() { simulation.partitioned["dakar-0"] = true })
		partitionedAt := time.Now()
		for time.Since(partitionedAt) < 10*time.Second {
			advance(100 * time.Millisecond)
			for _, node := range nodes[:8] {
				now := time.Now()
				missing := now.Sub(partitionedAt) - node.Age(now)
				assert.Assert(t, missing <= 2*datagramDelay, "%s after the partition the view of %s counts as %s younger", now.Sub(partitionedAt), node.member.Name, missing)
			}
		}
	})
}
