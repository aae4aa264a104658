package relayer

import "github.com/pimentowind/pimentowind/viewer"

const (
	// historyLength is how many deltas of the list of servers are kept for
	// instances with an older list.
	historyLength = 64
	// maxDeltaLength is the largest number of servers in a delta that is kept. After a
	// larger change, as at a start, instances with an older list fetch the full list.
	maxDeltaLength = 200
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
}

// add appends the delta between two consecutive lists.
func (deltaHistory *deltaHistory) add(before, after *viewer.Servers) {
	if before == nil {
		return
	}
	if last := len(deltaHistory.deltas) - 1; last >= 0 && deltaHistory.deltas[last].Revision != before.Revision {
		deltaHistory.deltas = nil // two lists were applied concurrently, so this delta does not follow the last one
	}
	delta := viewer.DiffServers(before, after)
	if delta.Len() > maxDeltaLength {
		deltaHistory.deltas = nil
		return
	}
	if len(deltaHistory.deltas) == historyLength {
		deltaHistory.deltas = deltaHistory.deltas[1:]
	}
	deltaHistory.deltas = append(deltaHistory.deltas, delta)
}

// after returns the deltas from a revision to the newest one, none when there is no delta
// from that revision in the history. The result does not change with the history.
func (deltaHistory *deltaHistory) after(revision uint64) []*viewer.ServerDelta {
	for i, first := range deltaHistory.deltas {
		if first.Base == revision {
			return deltaHistory.deltas[i:]
		}
	}
	return nil
}
