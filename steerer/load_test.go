package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFlowBetweenRequestsIsNoLoad(t *testing.T) {
	harness := newHarness("a")
	loadCounter := harness.countLoad()
	token := tokenOf("a")
	steps := []struct {
		name   string
		packet *Packet
		want   int // outstanding
	}{
		{"the opening", opening(1), 1},
		{"the handshake", laterPacket(1, token, 100, 0, Flags{}), 1},
		{"the first request", laterPacket(1, token, 100, 50, Flags{}), 1},
		{"its response", laterPacket(1, token, 1100, 0, Flags{}), 0},
		{"the rest of it", laterPacket(1, token, 2100, 0, Flags{}), 0},
		{"the second request", laterPacket(1, token, 2100, 50, Flags{}), 1},
		{"its response", laterPacket(1, token, 3100, 0, Flags{}), 0},
		{"the end", laterPacket(1, token, 3100, 0, Flags{FIN: true}), 0},
	}
	for _, step := range steps {
		harness.Decide(step.packet, start)
		assert.Equal(t, loadCounter.outstanding["a"], step.want, step.name)
	}
	assert.Equal(t, loadCounter.openFlows["a"], 0)
	assert.DeepEqual(t, loadCounter.first, []bool{true, false})
}

// The routers move flows when the set of instances changes; their requests then load servers
// through this instance although it opened none of them.
func TestRequestsOfFlowsFromOtherInstancesAreCounted(t *testing.T) {
	harness := newHarness("a")
	loadCounter := harness.countLoad()
	token := tokenOf("a")
	harness.Decide(laterPacket(1, token, 500, 0, Flags{}), start)
	assert.Equal(t, loadCounter.outstanding["a"], 0, "an acknowledgment is no request")
	harness.Decide(laterPacket(1, token, 500, 50, Flags{}), start)
	assert.Equal(t, loadCounter.outstanding["a"], 1)
	harness.Decide(laterPacket(1, token, 900, 0, Flags{}), start.Add(20*time.Millisecond))
	assert.Equal(t, loadCounter.outstanding["a"], 0)
	assert.Equal(t, len(harness.responseTimes), 0, "the request may have begun elsewhere")
	harness.Decide(laterPacket(1, token, 900, 50, Flags{}), start.Add(time.Second))
	harness.Decide(laterPacket(1, token, 1700, 0, Flags{}), start.Add(1030*time.Millisecond))
	harness.Decide(laterPacket(1, token, 1700, 0, Flags{FIN: true}), start.Add(1040*time.Millisecond))
	assert.DeepEqual(t, harness.responseTimes, []time.Duration{30 * time.Millisecond})
	assert.Equal(t, len(harness.ended), 0, "the instance that opened the flow reports it")
	assert.Equal(t, loadCounter.openFlows["a"], 0)
	assert.DeepEqual(t, loadCounter.first, []bool{false, false})
}

func TestRequestsThatMovedAwayAreNoLoad(t *testing.T) {
	request := func(harness *harness) *loadCounter {
		loadCounter := harness.countLoad()
		harness.Decide(opening(1), start)
		harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), start)
		harness.Decide(laterPacket(1, tokenOf("a"), 100, 50, Flags{}), start)
		return loadCounter
	}
	later := start.Add(movedRequestTimeout)
	waiting := newHarness("a")
	loadCounter := request(waiting)
	waiting.Next(later, later)
	assert.Equal(t, loadCounter.outstanding["a"], 1)

	moved := newHarness("a")
	loadCounter = request(moved)
	moved.Decide(laterPacket(2, tokenOf("a"), 700, 50, Flags{}), start.Add(10*time.Millisecond))
	moved.Next(later, later)
	assert.Equal(t, loadCounter.outstanding["a"], 1, "of the flow that moved here")
	assert.Equal(t, loadCounter.openFlows["a"], 2)
}

func TestLoadStaysBoundedOnBusyFlow(t *testing.T) {
	harness := newHarness("a")
	harness.Decide(opening(1), start)
	for i := range uint32(1000) {
		harness.Decide(laterPacket(1, tokenOf("a"), 100+i, 50, Flags{}), start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(harness.outstanding), 1)
}

func TestLoadExpiresWithoutPackets(t *testing.T) {
	harness := newHarness("a")
	loadCounter := harness.countLoad()
	harness.Decide(opening(1), start)
	harness.Next(start, start)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), start)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 50, Flags{}), start)
	wakes := 0
	for now := harness.WakeTime(); !now.IsZero() && wakes < 100; now = harness.WakeTime() {
		harness.Next(now, start)
		wakes++
	}
	assert.Equal(t, loadCounter.outstanding["a"], 0)
	assert.Assert(t, wakes <= 5, "%d", wakes)
}

func TestRetriedOpeningIsOneRequest(t *testing.T) {
	harness := newHarness("a", "b")
	loadCounter := harness.countLoad()
	harness.Decide(opening(1), start)
	later := start.Add(answerTimeout)
	_, retried := harness.Next(later, later)
	assert.Assert(t, retried)
	harness.Decide(opening(1), after(200))
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), after(210))
	harness.Decide(laterPacket(1, tokenOf("b"), 100, 0, Flags{}), after(210))
	assert.DeepEqual(t, loadCounter.first, []bool{true})
	assert.Equal(t, loadCounter.outstanding["a"]+loadCounter.outstanding["b"], 1)
}
