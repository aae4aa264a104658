package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/framer"
)

// flowState is the stage of a flow between its opening and its end.
type flowState uint8

const (
	opening flowState = iota + 1
	established
	closing // one side has sent FIN
	closed
	datagram // a UDP flow, from its first datagram on
)

// flow is the entry of a flow in the flow table; 28 bytes with its padding.
type flow struct {
	serverID        uint32
	lastSeen        uint32 // seconds since the start of the decider
	expectedAck     uint32 // acknowledgment number that the pending response will carry
	sentAt          uint32 // uptime in microseconds, wrapping, when the pending request or opening was forwarded
	generation      uint16 // of the service when the entry was last found valid
	state           flowState
	responsePending bool // a request has been forwarded but not its response
	pinned          bool // the home has broadcast its backend server
	orphan          bool // the home has changed, and the current one may not know the flow
	counted         bool // counted in openFlows of its backend server
	callerFIN       bool
	serverFIN       bool
	serverChanged   bool // opened again at another backend server; other instances may still know the earlier flow
	replica         bool // the home has sent this instance a notice of its acceptance, and will send one of its end
}

// applyFlags updates the state of a TCP flow from the FIN and RST flags of a packet.
func (flow *flow) applyFlags(flags uint8, fromCaller bool) {
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

// idleTimeout returns the time without packets after which a flow is removed. A flow
// that was only forwarded for another home may end unseen, so it is kept for less time;
// an orphan is kept for longer, since its home may not know it.
func (flow *flow) idleTimeout(decider *Decider, key uint64) time.Duration {
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

func (decider *Decider) uptimeSeconds(now time.Time) uint32 {
	return uint32(now.Sub(decider.started) / time.Second)
}

func (decider *Decider) uptimeMicroseconds(now time.Time) uint32 {
	return uint32(now.Sub(decider.started) / time.Microsecond)
}

// putFlow stores a flow, and updates the number of open flows of its backend server.
func (decider *Decider) putFlow(key uint64, flow flow) {
	open := flow.state == opening || flow.state == established || flow.state == datagram
	server := decider.servers[flow.serverID]
	if flow.counted && !open {
		flow.counted = false
		server.openFlows--
	}
	if !decider.flows.put(key, flow) {
		decider.counters.add(CountFlowTableFull, 1)
	}
}

// countFlow counts a flow that this instance is home of as open at its backend server.
func (decider *Decider) countFlow(flow *flow) {
	if !flow.counted {
		flow.counted = true
		decider.servers[flow.serverID].openFlows++
	}
}

func (decider *Decider) dropFlow(key uint64, flow flow) {
	if flow.counted {
		decider.servers[flow.serverID].openFlows--
	}
	decider.flows.remove(key)
}

// expireFlows removes the idle flows of the next shard.
func (decider *Decider) expireFlows(now time.Time) {
	shard := &decider.flows.shards[decider.expireCursor]
	decider.expireCursor = (decider.expireCursor + 1) % flowShards
	seconds := decider.uptimeSeconds(now)
	var idle []uint64
	shard.forEach(func(key uint64, flow *flow) bool {
		unused := time.Duration(seconds-flow.lastSeen) * time.Second
		if unused > cacheTimeout && unused > flow.idleTimeout(decider, key) {
			idle = append(idle, key)
		}
		return true
	})
	for _, key := range idle {
		flow, _ := decider.flows.get(key)
		if flow.pinned && decider.isHome(key) {
			decider.broadcastUnpin(key)
		}
		decider.dropFlow(key, flow)
		decider.counters.add(CountFlowsExpired, 1)
	}
}
