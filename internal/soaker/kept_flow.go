package soaker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// openingTime is how long flows are opened until enough are at a certain server.
	openingTime = 4 * time.Second
	// openingPause is the time between two attempts, so that no instance lacks room.
	openingPause = 15 * time.Millisecond
)

// keptFlow is a flow that its caller uses again and again until its server has ended.
type keptFlow struct {
	*callerFlow
	requests int // answered ones
}

// openKept opens flows to a route and returns those of which a server with this name answered the
// first request, count at most; the others are closed. It gives up after openingTime.
func (soak *soak) openKept(route netip.AddrPort, server string, count int) []*keptFlow {
	var kept []*keptFlow
	deadline := time.Now().Add(openingTime)
	for i := 0; len(kept) < count && time.Now().Before(deadline); i++ {
		time.Sleep(openingPause)
		flow, _ := soak.callers[i%len(soak.callers)].open(route)
		if flow == nil {
			continue
		}
		opened := &keptFlow{callerFlow: flow}
		if opened.use() == served && opened.server == server {
			kept = append(kept, opened)
			continue
		}
		flow.send(packet{flags: flagACK | flagFIN})
		flow.close()
	}
	return kept
}

// use sends the next request of the flow, or the last one again if it was not answered.
func (flow *keptFlow) use() outcome {
	result := flow.sendRequest(fmt.Sprintf("%s/%d", flow.key[0], flow.requests))
	if result == served || result == shed {
		flow.requests++
	}
	return result
}

// closeEnded closes the flow and returns true if its server does not have it open any more.
func (flow *keptFlow) closeEnded() bool {
	soak := flow.caller.soak
	soak.mutex.Lock()
	server := soak.servers[flow.server]
	soak.mutex.Unlock()
	if server.hasFlow(flow.key) {
		return false
	}
	flow.close()
	return true
}

// useAll uses all flows, no more than slots of a server at the same time if it answers. It returns
// those that were not reset, and how many requests were answered.
func useAll(flows []*keptFlow) (remaining []*keptFlow, answered int) {
	var group sync.WaitGroup
	results, begun := make([]outcome, len(flows)), map[string]int{}
	for i, flow := range flows {
		wait := time.Duration(begun[flow.server]/slots) * 2 * processingTime
		begun[flow.server]++
		group.Go(func() {
			time.Sleep(wait)
			results[i] = flow.use()
		})
	}
	group.Wait()
	for i, flow := range flows {
		if results[i] == served || results[i] == shed {
			answered++
		}
		if flow.isReset {
			flow.close()
			continue
		}
		remaining = append(remaining, flow)
	}
	return remaining, answered
}

// useFor uses all flows again and again for a time, and returns those that were not reset.
func useFor(flows []*keptFlow, duration time.Duration) []*keptFlow {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(useInterval) {
		flows, _ = useAll(flows)
	}
	return flows
}
