package relayer

import "github.com/pimentowind/pimentowind/viewer"

const (
	// historyLength is how many steps of the list of servers are kept for
	// instances that lag.
	historyLength = 64
	// maxStep bounds a step that is kept; after a longer one, as at a start, those
	// that lag take the whole list.
	maxStep = 200
	// pushLength is how many servers a heartbeat carries at most.
	pushLength = 6
	// maxHeartbeat bounds a heartbeat with changes, so that it fits one datagram.
	maxHeartbeat = 1200 // bytes
)

// history is the last steps of the list of servers, oldest first; each begins
// at the revision where the one before it ends.
type history struct {
	steps []*viewer.ServerDelta
}

// add appends the step between two lists.
func (history *history) add(before, after *viewer.Servers) {
	if before == nil {
		return
	}
	if last := len(history.steps) - 1; last >= 0 && history.steps[last].Revision != before.Revision {
		history.steps = nil // two lists were taken at once
	}
	step := viewer.DiffServers(before, after)
	if step.Len() > maxStep {
		history.steps = nil
		return
	}
	if len(history.steps) == historyLength {
		history.steps = history.steps[1:]
	}
	history.steps = append(history.steps, step)
}

// since returns the delta from a revision to the newest one, or nil when the
// steps do not reach back that far.
func (history *history) since(revision uint64) *viewer.ServerDelta {
	for i, step := range history.steps {
		if step.Base != revision {
			continue
		}
		delta := step
		for _, next := range history.steps[i+1:] {
			delta = delta.Compose(next)
		}
		return delta
	}
	return nil
}
