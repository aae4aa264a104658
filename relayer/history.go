package relayer

import "github.com/pimentowind/pimentowind/viewer"

const (
	// historyLength is how many steps of the list of servers are kept for
	// instances that lag.
	historyLength = 64
	// maxDeltaLength bounds a step that is kept; after a longer one, as at a start, those
	// that lag take the whole list.
	maxDeltaLength = 200
	// maxHeartbeatChanges is how many servers a heartbeat carries at most.
	maxHeartbeatChanges = 6
	// maxHeartbeatSize bounds a heartbeat with changes, so that it fits one datagram.
	maxHeartbeatSize = 1200 // bytes
)

// deltaHistory is the last steps of the list of servers, oldest first; each begins
// at the revision where the one before it ends.
type deltaHistory struct {
	deltas []*viewer.Delta
}

// add appends the step between two lists.
func (deltaHistory *deltaHistory) add(before, after *viewer.Servers) {
	if before == nil {
		return
	}
	if last := len(deltaHistory.deltas) - 1; last >= 0 && deltaHistory.deltas[last].Revision != before.Revision {
		deltaHistory.deltas = nil // two lists were taken at once
	}
	step := viewer.Difference(before, after)
	if step.Len() > maxDeltaLength {
		deltaHistory.deltas = nil
		return
	}
	if len(deltaHistory.deltas) == historyLength {
		deltaHistory.deltas = deltaHistory.deltas[1:]
	}
	deltaHistory.deltas = append(deltaHistory.deltas, step)
}

// since returns the delta from a revision to the newest one, or nil when the
// steps do not reach back that far.
func (deltaHistory *deltaHistory) since(revision uint64) *viewer.Delta {
	for i, step := range deltaHistory.deltas {
		if step.Base != revision {
			continue
		}
		delta := step
		for _, next := range deltaHistory.deltas[i+1:] {
			delta = delta.Join(next)
		}
		return delta
	}
	return nil
}
