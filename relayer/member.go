package relayer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"
)

// Member describes one instance of the fleet to the others.
type Member struct {
	Name           string         `json:"name"`
	FailureDomain  string         `json:"failure_domain"`
	PeerAddress    netip.AddrPort `json:"peer"`    // receives heartbeats over UDP
	ControlAddress netip.AddrPort `json:"control"` // serves snapshots over HTTP
	ProcessorShare float64        `json:"share"`   // of a processor core; instances with a larger share rank first
}

// check returns an error if no message can be sent to the member.
func (member *Member) check() error {
	switch {
	case member.Name == "":
		return errors.New("instance has no name")
	case !member.PeerAddress.IsValid() || !member.ControlAddress.IsValid():
		return errors.Errorf("instance %q has no address", member.Name)
	}
	return nil
}

// leadersPerDomain is the number of leaders of each failure domain. Announcements
// from other failure domains go to the leaders, which forward them to their own domain.
const leadersPerDomain = 2

// rankMembers returns the members in the order in which they read the store: the
// strongest of each failure domain, then the second of each, and so on. It also
// returns the position of each, by name, within its failure domain.
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
