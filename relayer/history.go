package relayer

import "github.com/pimentowind/pimentowind/viewer"

const (
	// historyLength is how many deltas of the list of servers are kept for
	// instances with an older list.
	historyLength = 64
	// minDeltaLimit is the number of servers up to which a delta is kept. One of a longer list
	// is kept up to half its length; after a larger change, as at a start, instances with an older
	// list fetch the full list.
	minDeltaLimit = 200
	// maxHistorySize is the largest number of servers in all deltas that are kept.
	maxHistorySize = historyLength * minDeltaLimit
	// maxHeartbeatChanges is the largest number of servers, and of routes, in a
	// heartbeat.
	maxHeartbeatChanges = 6
	// maxHeartbeatSize limits a heartbeat with deltas, so that it fits one datagram.
	maxHeartbeatSize = 1200 // bytes
)

// deltaHistory holds the latest deltas of the list of servers, oldest first. Each starts
// at the revision that the one before it leads to.
type deltaHistory struct {
	deltas []*viewer.ServerDelta
	size   int // servers in all deltas
}

// add appends the delta between two consecutive lists.
func (deltaHistory *deltaHistory) add(before, after *viewer.Servers) {
	if before == nil {
		return
	}
	if last := len(deltaHistory.deltas) - 1; last >= 0 && deltaHistory.deltas[last].At() != before.At() {
		deltaHistory.clear() // two lists were applied concurrently, so this delta does not follow the last one
	}
	delta := viewer.DiffServers(before, after)
	if delta.Len() > min(max(minDeltaLimit, len(after.List)/2), maxHistorySize) {
		deltaHistory.clear()
		return
	}
	for len(deltaHistory.deltas) == historyLength || deltaHistory.size+delta.Len() > maxHistorySize {
		deltaHistory.size -= deltaHistory.deltas[0].Len()
		deltaHistory.deltas = deltaHistory.deltas[1:]
	}
	deltaHistory.deltas = append(deltaHistory.deltas, delta)
	deltaHistory.size += delta.Len()
}

// clear forgets all deltas.
func (deltaHistory *deltaHistory) clear() { deltaHistory.deltas, deltaHistory.size = nil, 0 }

// after returns the deltas from a revision to the newest one, none when there is no delta
// from that revision in the history. The result does not change with the history.
func (deltaHistory *deltaHistory) after(revision viewer.Revision) []*viewer.ServerDelta {
	for i, first := range deltaHistory.deltas {
		if first.BaseAt() == revision {
			return deltaHistory.deltas[i:]
		}
	}
	return nil
}
