package decider

import "encoding/binary"

const (
	pinLength         = 12 // bytes
	maxPinsPerMessage = 1200
)

// AppendPin appends the twelve bytes of a pin to buffer and returns it.
func AppendPin(buffer []byte, pin Pin) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, pin.Flow)
	return binary.BigEndian.AppendUint32(buffer, pin.Server)
}

// eachPin calls handle for every complete pin in packed.
func eachPin(packed []byte, handle func(Pin)) {
	for len(packed) >= pinLength {
		handle(Pin{Flow: binary.BigEndian.Uint64(packed), Server: binary.BigEndian.Uint32(packed[8:])})
		packed = packed[pinLength:]
	}
}

// queuePin queues a pin for one member until the next flush.
func (decider *Decider) queuePin(member *member, pin Pin) {
	member.queuedPins = AppendPin(member.queuedPins, pin)
	decider.pinsQueued = true
	if len(member.queuedPins) >= maxPinsPerMessage*pinLength {
		decider.flushMemberPins(member)
	}
}

// broadcastPin queues a pin for every reachable member until the next flush.
func (decider *Decider) broadcastPin(pin Pin) {
	for _, member := range decider.sortedMembers {
		if member.reachable {
			decider.queuePin(member, pin)
		}
	}
}

// pinFlow binds a flow of this home to its backend server on every instance.
func (decider *Decider) pinFlow(key uint64, flow *flow) {
	flow.pinned = true
	decider.broadcastPin(Pin{Flow: key, Server: flow.serverID})
}

// broadcastUnpin removes the pin of a flow that has ended from every instance; this is not
// urgent and waits for a heartbeat.
func (decider *Decider) broadcastUnpin(key uint64) {
	decider.counters.add(CountUnpins, 1)
	for _, member := range decider.sortedMembers {
		if member.reachable {
			member.queuedUnpins = AppendPin(member.queuedUnpins, Pin{Flow: key})
		}
	}
}

// flushPins sends the queued pins at once, since other instances wait for them.
func (decider *Decider) flushPins() {
	if !decider.pinsQueued {
		return
	}
	decider.pinsQueued = false
	for _, member := range decider.sortedMembers {
		decider.flushMemberPins(member)
	}
}

func (decider *Decider) flushMemberPins(member *member) {
	if len(member.queuedPins) > 0 {
		decider.send(member, Message{Pins: member.queuedPins})
		member.queuedPins = nil
	}
}

func (decider *Decider) flushMemberFlows(member *member) {
	if len(member.queuedFlows) > 0 {
		decider.send(member, Message{Flows: member.queuedFlows})
		member.queuedFlows = nil
	}
}

// receivePins applies the pins and unpins that another instance has sent.
func (decider *Decider) receivePins(packed []byte) {
	eachPin(packed, func(pin Pin) {
		decider.counters.add(CountPinsReceived, 1)
		if pin.Server == 0 {
			decider.removePin(pin.Flow)
			return
		}
		decider.storePin(pin)
	})
}

// receiveFlows adds flows that this instance has become home of and may not know.
func (decider *Decider) receiveFlows(packed []byte) {
	eachPin(packed, func(pin Pin) {
		server, ok := decider.servers[pin.Server]
		old, known := decider.flows.get(pin.Flow)
		if !ok || (known && old.state != opening) {
			return
		}
		if known {
			decider.dropFlow(pin.Flow, old)
		}
		decider.counters.add(CountFlowsTakenOver, 1)
		added := newFlow(established)
		added.serverID = pin.Server
		added.generation = server.service.generation
		added.lastSeen = decider.uptimeSeconds(decider.now)
		if decider.isHome(pin.Flow) {
			decider.pinOrReportException(pin.Flow, server, &added)
		}
		decider.countFlow(&added)
		decider.putFlow(pin.Flow, added)
	})
}

// storePin applies the pin of a flow.
func (decider *Decider) storePin(pin Pin) {
	if _, ok := decider.servers[pin.Server]; !ok {
		decider.counters.add(CountPinUnknownServer, 1)
		return
	}
	flow, known := decider.flows.get(pin.Flow)
	if known && flow.serverID != pin.Server && flow.counted && flow.state != opening && decider.isHome(pin.Flow) {
		// This home opened the flow and its backend server accepted it, so the pin is wrong.
		decider.counters.add(CountPinConflicts, 1)
		return
	}
	if known && flow.serverID != pin.Server {
		decider.dropFlow(pin.Flow, flow)
		flow, known = newFlow(established), false
	}
	if !known {
		flow = newFlow(established)
	}
	if flow.state == opening {
		flow.state = established
	}
	flow.serverID = pin.Server
	flow.pinned = true
	flow.orphan = false
	flow.lastSeen = decider.uptimeSeconds(decider.now)
	decider.putFlow(pin.Flow, flow)
}

// removePin removes a flow, which has ended, if it is pinned.
func (decider *Decider) removePin(key uint64) {
	flow, known := decider.flows.get(key)
	if !known || !flow.pinned {
		return
	}
	decider.dropFlow(key, flow)
}
