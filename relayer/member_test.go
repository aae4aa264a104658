package relayer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStrongestOfEachFailureDomainRankFirst(t *testing.T) {
	members := []Member{
		{Name: "a1", FailureDomain: "a", ProcessorShare: 0.1},
		{Name: "a2", FailureDomain: "a", ProcessorShare: 0.8},
		{Name: "a3", FailureDomain: "a", ProcessorShare: 0.1},
		{Name: "b1", FailureDomain: "b", ProcessorShare: 0.2},
		{Name: "b2", FailureDomain: "b", ProcessorShare: 0.2},
	}
	sorted, positions := rankMembers(members)
	var names []string
	for _, member := range sorted {
		names = append(names, member.Name)
	}
	assert.DeepEqual(t, names, []string{"a2", "b1", "b2", "a1", "a3"})
	assert.Equal(t, positions["a3"], 2)
	assert.Equal(t, positions["b2"], 1)
}
