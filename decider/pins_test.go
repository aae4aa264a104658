package decider

import (
	"testing"

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
