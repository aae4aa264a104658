package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/ticker"
	"github.com/pimentowind/pimentowind/viewer"
)

// reachableNode returns the node at an address, or nil when there is none or a partition
// separates the two.
func (node *node) reachableNode(address netip.AddrPort) *node {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	other := node.simulation.nodes[address]
	if other == nil || node.simulation.cutOff[node.member.Name] || node.simulation.cutOff[other.member.Name] {
		return nil
	}
	crossesDomains := other.member.FailureDomain != node.member.FailureDomain
	if crossesDomains && (node.simulation.partitioned[node.member.FailureDomain] || node.simulation.partitioned[other.member.FailureDomain]) {
		return nil
	}
	return other
}

// Drained returns the present, as datagrams are received when they arrive.
func (node *node) Drained() time.Time { return time.Now() }

func (node *node) Send(to netip.AddrPort, content []byte) {
	other := node.reachableNode(to)
	if other == nil {
		return
	}
	copied := append([]byte(nil), content...)
	if node.hasOldProgram() || other.hasOldProgram() {
		copied = withoutNewFields(copied)
	}
	node.simulation.mutex.Lock()
	node.simulation.longestHeartbeat = max(node.simulation.longestHeartbeat, len(content))
	node.simulation.heartbeatBytes += len(content)
	node.sentDatagrams++
	node.sentBytes += len(content)
	if carriesSuspicions(content) {
		other.suspicionBytes += len(content)
	}
	delay := node.simulation.datagramDelay
	node.simulation.mutex.Unlock()
	go func() {
		time.Sleep(delay)
		if err := other.Receive(other.ctx, copied); err != nil {
			panic(err)
		}
	}()
}

func (node *node) Fetch(ctx context.Context, control netip.AddrPort, version uint64, revision viewer.Revision) ([]byte, error) {
	ticker.Sleep(ctx, 2*networkDelay)
	other := node.reachableNode(control)
	if other == nil || node.isRefused() {
		return nil, errUnreachable
	}
	content := other.Snapshot(version, revision)
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	node.simulation.fetchedBytes += len(content)
	other.servedSnapshots++
	other.servedBytes += len(content)
	return content, nil
}

// isRefused reports whether the node's fetches fail.
func (node *node) isRefused() bool {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	return node.simulation.refusesFetch[node.member.Name]
}

// hasOldProgram reports whether the node's program has no short reports of suspicions.
func (node *node) hasOldProgram() bool {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	return node.simulation.oldPrograms[node.member.Name]
}
