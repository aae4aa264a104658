package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func unpackPins(packed []byte) map[uint64]uint32 {
	pins := map[uint64]uint32{}
	eachPin(packed, func(pin Pin) { pins[pin.Flow] = pin.Server })
	return pins
}

func TestPackedPinsAreUnpacked(t *testing.T) {
	pins := []Pin{{Flow: 9, Server: 5}, {Flow: 3, Server: 7}, {Flow: 4}, {Flow: 8, Server: 5}}
	assert.DeepEqual(t, unpackPins(PackPins(pins)), map[uint64]uint32{9: 5, 3: 7, 4: 0, 8: 5})
	assert.Equal(t, len(PackPins(nil)), 0)
}

func TestLastPinOfFlowCounts(t *testing.T) {
	assert.DeepEqual(t, unpackPins(PackPins([]Pin{{Flow: 9, Server: 7}, {Flow: 9, Server: 5}})), map[uint64]uint32{9: 5})
}

func TestPinsOfOneServerTakeLittleMoreThanTheirKeys(t *testing.T) {
	var pins []Pin
	for flow := range uint64(1000) {
		pins = append(pins, Pin{Flow: flow << 40, Server: 7})
	}
	assert.Assert(t, len(PackPins(pins)) < 1000*8+8)
}

func TestTruncatedPinsAreReadAsFarAsTheyGo(t *testing.T) {
	packed := PackPins([]Pin{{Flow: 1, Server: 5}, {Flow: 2, Server: 5}, {Flow: 3, Server: 7}})
	for length := range packed {
		for flow, server := range unpackPins(packed[:length]) {
			assert.Equal(t, server, map[uint64]uint32{1: 5, 2: 5, 3: 7}[flow])
		}
	}
	eachPin([]byte{0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, func(Pin) {
		t.Error("a count that does not fit was read")
	})
}

// pinsToJoiners sums the pins that instances sent to those that became reachable.
func (fleet *fleet) pinsToJoiners() uint64 {
	sum := uint64(0)
	for _, name := range fleet.names {
		sum += fleet.deciders[name].Counters()["pins_to_joiners"]
	}
	return sum
}

func TestPinsReceivedBeforePartitionAreNotSentAgain(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(200)
	fleet.applySheet(2, testSheet(2))
	fleet.run(10 * time.Second)
	before := fleet.pinsToJoiners()
	fleet.isolatedDomain = "c"
	fleet.run(10 * time.Second)
	fleet.isolatedDomain = ""
	fleet.run(6 * time.Second)
	assert.Equal(t, fleet.pinsToJoiners()-before, uint64(0))
	fleet.checkFlows(servers)
}

func TestPinsMadeDuringPartitionReachOtherSide(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(200)
	fleet.run(10 * time.Second)
	fleet.isolatedDomain = "c"
	fleet.run(3 * time.Second)
	fleet.applySheet(2, testSheet(2))
	fleet.run(5 * time.Second)
	before := fleet.pinsToJoiners()
	fleet.isolatedDomain = ""
	fleet.run(6 * time.Second)
	assert.Assert(t, fleet.pinsToJoiners() > before)
	fleet.checkFlows(servers)
}

func TestPausedInstanceSendsNoPinsThatOthersHave(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(200)
	fleet.applySheet(2, testSheet(2))
	fleet.run(10 * time.Second)
	before := fleet.deciders["b1"].Counters()["pins_to_joiners"]
	fleet.stopped["b1"] = true
	fleet.run(5 * time.Second)
	fleet.stopped["b1"] = false
	fleet.run(6 * time.Second)
	assert.Equal(t, fleet.deciders["b1"].Counters()["pins_to_joiners"]-before, uint64(0))
	fleet.checkFlows(servers)
}
