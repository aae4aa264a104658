package admitter

import (
	"cmp"
	"fmt"
)

// Class is a kind of request that a route states.
type Class struct {
	Priority     int  // lower numbers are more urgent
	IsRepeatable bool // callers may repeat a request that may have run
}

// Compare returns a negative number if class is more urgent than other, 0 if they are equal.
func (class Class) Compare(other Class) int {
	if byPriority := cmp.Compare(class.Priority, other.Priority); byPriority != 0 {
		return byPriority
	}
	switch {
	case class.IsRepeatable == other.IsRepeatable:
		return 0
	case other.IsRepeatable:
		return -1
	default:
		return 1
	}
}

// String returns the class's name for logs and counters.
func (class Class) String() string {
	if class.IsRepeatable {
		return fmt.Sprintf("priority_%d_repeatable", class.Priority)
	}
	return fmt.Sprintf("priority_%d", class.Priority)
}
