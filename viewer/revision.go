package viewer

import "cmp"

// Revision is a point in the history of the platform's store. Numbers grow with every change
// within one era, and the era grows when the store returns from an older copy, after which it
// gives out numbers again: only both together say which of two states is newer.
type Revision struct {
	Era    uint64 // 0 if the store, or an instance with an older program, states none
	Number uint64 // 0 stands for none
}

// Compare returns -1 if revision is older than other, +1 if it is newer, and 0 if they are the same.
func (revision Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(revision.Era, other.Era), cmp.Compare(revision.Number, other.Number))
}

// IsNewerThan reports whether revision is newer than other.
func (revision Revision) IsNewerThan(other Revision) bool { return revision.Compare(other) > 0 }

// eraShift leaves the lower bits of an identity to the number.
const eraShift = 48

// Identity returns a number that differs between revisions also across eras; it has no order.
func (revision Revision) Identity() uint64 { return revision.Number ^ revision.Era<<eraShift }

// IsZero reports whether revision stands for none.
func (revision Revision) IsZero() bool { return revision == Revision{} }
