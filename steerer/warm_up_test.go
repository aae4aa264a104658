package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/viewer"
)

// countingPacer allows openings to servers up to a number by name, or any number if it has
// none for the server, and counts them.
type countingPacer struct {
	allowed  map[string]int
	sent     map[string]int
	requests map[string]int
	observed int // calls of ObserveView
}

func (pacer *countingPacer) Share(server *viewer.BackendServer, _ time.Time) float64 {
	if allowed, ok := pacer.allowed[server.Name]; ok && pacer.sent[server.Name] >= allowed {
		return 0
	}
	return 1
}

func (pacer *countingPacer) OpeningSent(server *viewer.BackendServer, _ time.Time) {
	pacer.sent[server.Name]++
}

func (pacer *countingPacer) RequestSent(server *viewer.BackendServer, _ time.Time) {
	pacer.requests[server.Name]++
}
func (pacer *countingPacer) Reserved(*viewer.BackendServer, time.Time) bool { return false }
func (pacer *countingPacer) Shared(string) []*viewer.BackendServer          { return nil }
func (pacer *countingPacer) Sharers(*viewer.BackendServer, time.Time) int   { return 0 }
func (pacer *countingPacer) ObserveView(time.Time)                          { pacer.observed++ }
func (pacer *countingPacer) Expire(time.Time)                               {}

func newPacedHarness(allowed map[string]int, names ...string) (*harness, *countingPacer) {
	harness, pacer := newHarness(names...), &countingPacer{allowed: allowed, sent: map[string]int{}, requests: map[string]int{}}
	harness.placer.(*placer.Placer).SetPacer(pacer)
	return harness, pacer
}

func TestFlowIsRefusedWhenOnlyColdServersWithoutBudgetAreLeft(t *testing.T) {
	harness, _ := newPacedHarness(map[string]int{"a": 1}, "a")
	assert.Equal(t, harness.Decide(opening(1), start).Action, Send)
	verdict := harness.Decide(opening(2), start)
	assert.Equal(t, verdict.Action, Reset)
	assert.Equal(t, verdict.Reason, ReasonWarmingUp)
	harness.justResumed = true
	verdict = harness.Decide(opening(3), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonJustResumed)
}

func TestRetransmittedOpeningIsNotRefusedForWantOfBudget(t *testing.T) {
	harness, pacer := newPacedHarness(map[string]int{"a": 1}, "a")
	harness.Decide(opening(1), start)
	verdict := harness.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, verdict.Action, Drop, "the server may have accepted the flow")
	assert.Equal(t, verdict.Reason, ReasonWarmingUp)
	assert.Equal(t, pacer.sent["a"], 1)
}

func TestEveryCopyOfAnOpeningIsCounted(t *testing.T) {
	harness, pacer := newPacedHarness(nil, "a", "b", "c")
	total := func() int { return pacer.sent["a"] + pacer.sent["b"] + pacer.sent["c"] }
	harness.Decide(opening(1), start)
	assert.Equal(t, total(), 1)
	later := start.Add(answerTimeout)
	_, retried := harness.Next(later, later)
	assert.Assert(t, retried)
	assert.Equal(t, total(), 2)
	harness.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, total(), 3)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), start.Add(210*time.Millisecond))
	assert.Equal(t, total(), 3)
	before := pacer.sent["a"]
	harness.Decide(opening(1), start.Add(220*time.Millisecond))
	assert.Equal(t, pacer.sent["a"], before+1, "a late copy of the opening of an established flow")
}

func TestLateCopyOfAnOpeningIsDroppedWithoutBudget(t *testing.T) {
	harness, pacer := newPacedHarness(map[string]int{"a": 1}, "a")
	harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), start.Add(10*time.Millisecond))
	verdict := harness.Decide(opening(1), start.Add(20*time.Millisecond))
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, pacer.sent["a"], 1)
	verdict = harness.Decide(laterPacket(1, tokenOf("a"), 100, 10, Flags{}), start.Add(30*time.Millisecond))
	assert.Equal(t, verdict.Action, Send, "an open flow stays")
}

func TestOverdueOpeningIsNotRetriedAtAServerWithoutBudget(t *testing.T) {
	harness, pacer := newPacedHarness(map[string]int{"a": 0}, "a", "b")
	assert.Equal(t, harness.Decide(opening(1), start).Server.Name, "b")
	later := start.Add(answerTimeout)
	_, retried := harness.Next(later, later)
	assert.Assert(t, !retried)
	assert.Equal(t, pacer.sent["a"], 0)
}

func TestRequestsAfterTheFirstAreReported(t *testing.T) {
	harness, pacer := newPacedHarness(nil, "a")
	harness.Decide(opening(1), start)
	for i, acknowledgment := range []uint32{100, 100, 300, 300, 500} { // two packets of a request, two of the next, and one
		harness.Decide(laterPacket(1, tokenOf("a"), acknowledgment, 10, Flags{}), start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, pacer.requests["a"], 2)
	assert.Equal(t, pacer.sent["a"], 1)
}

func TestChangesOfTheViewAreObservedWithoutPackets(t *testing.T) {
	harness, pacer := newPacedHarness(nil, "a")
	harness.Next(start, start)
	assert.Equal(t, pacer.observed, 1)
}
