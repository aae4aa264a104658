package decider

import "encoding/binary"

const (
	pinLength      = 12   // bytes
	maxPinsMessage = 1200 // pins in one message
)

// AppendPin packs a pin into twelve bytes.
func AppendPin(buffer []byte, pin Pin) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, pin.Flow)
	return binary.BigEndian.AppendUint32(buffer, pin.Server)
}

// eachPin calls use for every whole pin in packed.
func eachPin(packed []byte, use func(Pin)) {
	for len(packed) >= pinLength {
		use(Pin{Flow: binary.BigEndian.Uint64(packed), Server: binary.BigEndian.Uint32(packed[8:])})
		packed = packed[pinLength:]
	}
}

// queuePin adds a pin to what the next flush sends to one member.
func (decider *Decider) queuePin(member *member, pin Pin) {
	member.pins = AppendPin(member.pins, pin)
	decider.pinsQueued = true
	if len(member.pins) >= maxPinsMessage*pinLength {
		decider.flushMember(member)
	}
}

// broadcastPin adds a pin to what the next flush sends to every live member.
func (decider *Decider) broadcastPin(pin Pin) {
	for _, member := range decider.roster {
		if member.alive {
			decider.queuePin(member, pin)
		}
	}
}

// pin tells every instance the backend server of a flow that this one is home of.
func (decider *Decider) pin(key uint64, flow *flow) {
	flow.pinned = true
	decider.broadcastPin(Pin{Flow: key, Server: flow.server})
}

// unpinEverywhere lets the instances forget the pin of a flow that has ended; it can wait for a heartbeat.
func (decider *Decider) unpinEverywhere(key uint64) {
	decider.counters.add(CountUnpins, 1)
	for _, member := range decider.roster {
		if member.alive {
			member.unpins = AppendPin(member.unpins, Pin{Flow: key})
		}
	}
}

// flushPins sends the queued pins, which others wait for.
func (decider *Decider) flushPins() {
	if !decider.pinsQueued {
		return
	}
	decider.pinsQueued = false
	for _, member := range decider.roster {
		decider.flushMember(member)
	}
}

func (decider *Decider) flushMember(member *member) {
	if len(member.pins) > 0 {
		decider.send(member, Message{Pins: member.pins})
		member.pins = nil
	}
}

func (decider *Decider) flushFlows(member *member) {
	if len(member.flows) > 0 {
		decider.send(member, Message{Flows: member.flows})
		member.flows = nil
	}
}

// receivePins stores the pins that an instance has sent to everybody.
func (decider *Decider) receivePins(packed []byte) {
	eachPin(packed, func(pin Pin) {
		decider.counters.add(CountPinsReceived, 1)
		if pin.Server == 0 {
			decider.unpin(pin.Flow)
			return
		}
		decider.takePin(pin)
	})
}

// receiveFlows stores flows that this instance has become home of without
// knowing them.
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
		taken := newFlow(established)
		taken.server = pin.Server
		taken.generation = server.service.generation
		taken.seen = decider.seconds(decider.now)
		if decider.isHome(pin.Flow) {
			decider.tellExceptions(pin.Flow, server, &taken)
		}
		decider.countFlow(&taken)
		decider.putFlow(pin.Flow, taken)
	})
}

// takePin stores a pin.
func (decider *Decider) takePin(pin Pin) {
	if _, ok := decider.servers[pin.Server]; !ok {
		decider.counters.add(CountPinUnknownServer, 1)
		return
	}
	flow, known := decider.flows.get(pin.Flow)
	if known && flow.server != pin.Server && flow.counted && flow.state != opening && decider.isHome(pin.Flow) {
		// The backend server accepted the flow that this home opened.
		decider.counters.add(CountPinConflicts, 1)
		return
	}
	if known && flow.server != pin.Server {
		decider.dropFlow(pin.Flow, flow)
		flow, known = newFlow(established), false
	}
	if !known {
		flow = newFlow(established)
	}
	if flow.state == opening {
		flow.state = established
	}
	flow.server = pin.Server
	flow.pinned = true
	flow.orphan = false
	flow.seen = decider.seconds(decider.now)
	decider.putFlow(pin.Flow, flow)
}

func (decider *Decider) unpin(key uint64) {
	flow, known := decider.flows.get(key)
	if !known || !flow.pinned {
		return
	}
	decider.dropFlow(key, flow)
}
