package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/framer"
)

// flowState is how far the life of a flow has come.
type flowState uint8

const (
	opening flowState = iota + 1
	established
	closing // one side has sent FIN
	closed
	datagram
)

// flow is what an instance remembers of a flow; 28 bytes with its padding.
type flow struct {
	server     uint32
	seen       uint32 // seconds since the start of the decider
	expect     uint32 // acknowledgement number that the response to the pending request carries
	sent       uint32 // microseconds, wrapping, at which the pending request or opening passed
	generation uint16 // of the service when the entry was last found valid
	state      flowState
	pending    bool // a request waits for its response
	pinned     bool // the home has told every instance
	orphan     bool // the home may not know it
	counted    bool // in the home's count of open flows
	callerFIN  bool
	serverFIN  bool
	moved      bool // others may remember an earlier flow of the tuple
	replica    bool // the home showed its acceptance to this instance, and will show its end
}

// end follows the closing of a TCP flow.
func (flow *flow) end(flags uint8, fromCaller bool) {
	if flags&framer.FlagFIN != 0 {
		flow.callerFIN = flow.callerFIN || fromCaller
		flow.serverFIN = flow.serverFIN || !fromCaller
		flow.state = closing
	}
	if flags&framer.FlagRST != 0 || (flow.callerFIN && flow.serverFIN) {
		flow.state = closed
	}
}

func newFlow(state flowState) flow { return flow{state: state} }

// idle returns the time without packets after which a flow is forgotten. One
// that was only met on its way may have ended unseen, so it is kept shortly.
func (flow *flow) idle(decider *Decider, key uint64) time.Duration {
	kept := flow.pinned || flow.counted || flow.replica
	if !kept && flow.state != closed && !decider.isHome(key) {
		if flow.orphan {
			return oldViewsLifetime
		}
		return cacheTimeout
	}
	switch flow.state {
	case opening:
		return openingTimeout
	case closed:
		return closedTimeout
	case datagram:
		return datagramTimeout
	default:
		return establishedTimeout
	}
}

func (decider *Decider) seconds(now time.Time) uint32 {
	return uint32(now.Sub(decider.started) / time.Second)
}

func (decider *Decider) microseconds(now time.Time) uint32 {
	return uint32(now.Sub(decider.started) / time.Microsecond)
}

// putFlow stores a flow and keeps the count of open flows of its backend server.
func (decider *Decider) putFlow(key uint64, flow flow) {
	open := flow.state == opening || flow.state == established || flow.state == datagram
	server := decider.servers[flow.server]
	if flow.counted && !open {
		flow.counted = false
		server.open--
	}
	if !decider.flows.put(key, flow) {
		decider.counters.add(CountFlowTableFull, 1)
	}
}

// countFlow marks a flow that this instance opened as open at its backend server.
func (decider *Decider) countFlow(flow *flow) {
	if !flow.counted {
		flow.counted = true
		decider.servers[flow.server].open++
	}
}

func (decider *Decider) dropFlow(key uint64, flow flow) {
	if flow.counted {
		decider.servers[flow.server].open--
	}
	decider.flows.remove(key)
}

// expire forgets the idle flows of one shard.
func (decider *Decider) expire(now time.Time) {
	shard := &decider.flows.shards[decider.expireCursor]
	decider.expireCursor = (decider.expireCursor + 1) % flowShards
	seconds := decider.seconds(now)
	var idle []uint64
	shard.each(func(key uint64, flow *flow) bool {
		silent := time.Duration(seconds-flow.seen) * time.Second
		if silent > cacheTimeout && silent > flow.idle(decider, key) {
			idle = append(idle, key)
		}
		return true
	})
	for _, key := range idle {
		flow, _ := decider.flows.get(key)
		if flow.pinned && decider.isHome(key) {
			decider.unpinEverywhere(key)
		}
		decider.dropFlow(key, flow)
		decider.counters.add(CountFlowsExpired, 1)
	}
}
