package decider

import (
	"cmp"
	"encoding/binary"
	"slices"
)

const (
	pinLength         = 8 // bytes of a pin in a packed group
	maxPinsPerMessage = 1200
)

// PackPins encodes pins in groups of one backend server each: four bytes of its ID, the number
// of flows as a varint, and eight bytes for each flow. Of several pins of a flow the last counts.
func PackPins(pins []Pin) []byte {
	if len(pins) == 0 {
		return nil
	}
	sorted := lastOfEachFlow(pins)
	slices.SortStableFunc(sorted, func(a, b Pin) int { return cmp.Compare(a.Server, b.Server) })
	packed := make([]byte, 0, pinLength*(len(sorted)+1))
	for len(sorted) > 0 {
		server := sorted[0].Server
		count := slices.IndexFunc(sorted, func(pin Pin) bool { return pin.Server != server })
		if count < 0 {
			count = len(sorted)
		}
		packed = binary.BigEndian.AppendUint32(packed, server)
		packed = binary.AppendUvarint(packed, uint64(count))
		for _, pin := range sorted[:count] {
			packed = binary.BigEndian.AppendUint64(packed, pin.Flow)
		}
		sorted = sorted[count:]
	}
	return packed
}

// lastOfEachFlow returns the pins by flow, without those that a later one replaces.
func lastOfEachFlow(pins []Pin) []Pin {
	sorted := slices.Clone(pins)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, func(a, b Pin) int { return cmp.Compare(a.Flow, b.Flow) })
	return slices.CompactFunc(sorted, func(a, b Pin) bool { return a.Flow == b.Flow })
}

// eachPin calls handle for every complete pin in packed.
func eachPin(packed []byte, handle func(Pin)) {
	for len(packed) > 4 {
		server := binary.BigEndian.Uint32(packed)
		count, length := binary.Uvarint(packed[4:])
		if length <= 0 {
			return
		}
		packed = packed[4+length:]
		for ; count > 0 && len(packed) >= pinLength; count-- {
			handle(Pin{Flow: binary.BigEndian.Uint64(packed), Server: server})
			packed = packed[pinLength:]
		}
		if count > 0 {
			return
		}
	}
}

// queuePin queues a pin for one member until the next flush.
func (decider *Decider) queuePin(member *member, pin Pin) {
	member.queuedPins = append(member.queuedPins, pin)
	decider.pinsQueued = true
	if len(member.queuedPins) >= maxPinsPerMessage {
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
			member.queuedUnpins = append(member.queuedUnpins, Pin{Flow: key})
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
		decider.send(member, Message{Pins: PackPins(member.queuedPins)})
		member.queuedPins = nil
	}
}

func (decider *Decider) flushMemberFlows(member *member) {
	if len(member.queuedFlows) > 0 {
		decider.send(member, Message{Flows: PackPins(member.queuedFlows)})
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
