package relayer

import (
	"cmp"
	"net/netip"
	"slices"
)

// Member is one instance of the fleet.
type Member struct {
	Name           string         `json:"name"`
	FailureDomain  string         `json:"failure_domain"`
	PeerAddress    netip.AddrPort `json:"peer"`    // takes heartbeats, over UDP
	ControlAddress netip.AddrPort `json:"control"` // serves the view, over HTTP
	ProcessorShare float64        `json:"share"`   // of a processor core; the strongest read first
}

// leadersPerDomain is how many instances lead a failure domain: those of the
// others are told directly and tell the rest of theirs.
const leadersPerDomain = 2

// rankMembers sorts members so that the strongest of each failure domain come before
// the second ones, and returns for each its position within its failure domain.
func rankMembers(members []Member) ([]Member, map[string]int) {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.Name, b.Name))
	})
	positions := map[string]int{}
	counts := map[string]int{}
	for _, member := range sorted {
		positions[member.Name] = counts[member.FailureDomain]
		counts[member.FailureDomain]++
	}
	slices.SortStableFunc(sorted, func(a, b Member) int {
		return cmp.Compare(positions[a.Name], positions[b.Name])
	})
	return sorted, positions
}
