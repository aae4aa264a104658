package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/viewer"
)

// fakeAdmission decides as the test says, and records the responses.
type fakeAdmission struct {
	decision  admitter.Decision
	results   []admitter.Result
	openings  []admitter.Opening
	responses []admitter.Response
	requests  int // outstanding
}

func (fakeAdmission *fakeAdmission) Decide(opening admitter.Opening, _ time.Time) admitter.Decision {
	fakeAdmission.openings = append(fakeAdmission.openings, opening)
	return fakeAdmission.decision
}

func (fakeAdmission *fakeAdmission) Next(time.Time) (admitter.Result, bool) {
	if len(fakeAdmission.results) == 0 {
		return admitter.Result{}, false
	}
	result := fakeAdmission.results[0]
	fakeAdmission.results = fakeAdmission.results[1:]
	return result, true
}

func (fakeAdmission *fakeAdmission) WakeTime() time.Time { return time.Time{} }

func (fakeAdmission *fakeAdmission) RecordResponse(_ string, response admitter.Response, _ time.Time) {
	fakeAdmission.responses = append(fakeAdmission.responses, response)
}

func (fakeAdmission *fakeAdmission) RequestBegan(string, time.Time) { fakeAdmission.requests++ }
func (fakeAdmission *fakeAdmission) RequestEnded(string, time.Time) { fakeAdmission.requests-- }

func newAdmissionHarness(decision admitter.Decision) (*harness, *fakeAdmission) {
	harness, admission := newHarness("a", "b"), &fakeAdmission{decision: decision}
	harness.viewer.ApplyConfiguration(&viewer.Configuration{Version: 2, Routes: []viewer.Route{{
		Name: "r", Address: address, Shares: []viewer.Share{{Service: "desk-sync", Weight: 1}}, Priority: 1, Objective: 600 * time.Millisecond,
	}}})
	harness.UseAdmission(admission)
	return harness, admission
}

func TestRouteStatesTheClassOfAnOpening(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	assert.Equal(t, harness.Decide(opening(1), start).Action, Send)
	assert.Equal(t, admission.openings[0].Class, admitter.Class{Priority: 1})
	assert.Equal(t, admission.openings[0].Objective, 600*time.Millisecond)
}

func TestHeldOpeningIsSentOnceWhenReleased(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Hold)
	assert.Equal(t, harness.Decide(opening(1), start).Reason, ReasonHeld)
	copied := opening(1)
	copied.Acknowledgment = 1
	assert.Equal(t, harness.Decide(copied, start.Add(50*time.Millisecond)).Reason, ReasonHeldCopy)
	now := start.Add(80 * time.Millisecond)
	admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Admit, Waited: 80 * time.Millisecond}}
	verdict, ok := harness.Next(now, now)
	assert.Assert(t, ok)
	assert.Equal(t, verdict.Reason, ReasonReleased)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, string(verdict.Raw), "opening")
	_, again := harness.Next(now, now)
	assert.Assert(t, !again)
	assert.Equal(t, len(admission.openings), 1, "the copy is no second opening")
}

func TestRefusedOpeningIsReset(t *testing.T) {
	refusedAtOnce, _ := newAdmissionHarness(admitter.Refuse)
	verdict := refusedAtOnce.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Reset)
	assert.Equal(t, verdict.Reason, ReasonNoRoom)
	assert.Equal(t, len(refusedAtOnce.flows), 0)

	refusedLater, admission := newAdmissionHarness(admitter.Hold)
	refusedLater.Decide(opening(1), start)
	admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Refuse}}
	verdict, ok := refusedLater.Next(start, start)
	assert.Assert(t, ok)
	assert.Equal(t, verdict.Action, Reset)
	assert.Equal(t, len(refusedLater.flows), 0)
}

// An opening that some instance may have sent to a server is never refused: the server may
// have accepted it.
func TestOpeningThatMayHaveBeenSentIsNotRefused(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	harness.Decide(opening(1), start)
	admission.decision = admitter.Refuse
	assert.Equal(t, harness.Decide(opening(1), start.Add(200*time.Millisecond)).Action, Send)
	fromElsewhere := opening(2)
	fromElsewhere.Acknowledgment = 1
	assert.Equal(t, harness.Decide(fromElsewhere, start).Action, Send)
	harness.justResumed = true
	assert.Equal(t, harness.Decide(opening(3), start).Action, Send)
}

func TestResponseIsReportedOnceAndSoon(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	token := harness.Decide(opening(1), start).Server.Token
	harness.Decide(laterPacket(1, token, 100, 0, Flags{}), start)
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	answered := start.Add(200 * time.Millisecond)
	harness.Decide(laterPacket(1, token, 226, 0, Flags{}), answered)
	soon := answered.Add(completionTime)
	harness.Next(soon.Add(-1), soon.Add(-1))
	assert.Equal(t, len(admission.responses), 0, "more of the response may come")
	harness.Next(soon, soon)
	harness.Decide(laterPacket(1, token, 226, 0, Flags{FIN: true}), soon)
	assert.DeepEqual(t, admission.responses, []admitter.Response{{Class: admitter.Class{Priority: 1}, Duration: 200 * time.Millisecond, Objective: 600 * time.Millisecond, IsShort: true}})
}

func TestPrematureEndOfAHeldFlowLeavesNothing(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Hold)
	harness.Decide(opening(1), start)
	harness.viewer.ApplyConfiguration(&viewer.Configuration{Version: 3})
	admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Admit}}
	verdict, ok := harness.Next(start, start)
	assert.Assert(t, ok)
	assert.Equal(t, verdict.Action, Reset)
	assert.Equal(t, verdict.Reason, ReasonNoRoute)
	assert.Equal(t, len(harness.held), 0)
}

func TestOutstandingRequestsAreCounted(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	token := harness.Decide(opening(1), start).Server.Token
	harness.Decide(laterPacket(1, token, 100, 0, Flags{}), start)
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	assert.Equal(t, admission.requests, 1)
	now := start.Add(100 * time.Millisecond)
	harness.Decide(laterPacket(1, token, 100+shortResponse, 0, Flags{}), now)
	harness.Decide(laterPacket(1, token, 150+shortResponse, 0, Flags{}), now)
	harness.Decide(laterPacket(1, token, 150+shortResponse, 0, Flags{FIN: true}), now)
	assert.Equal(t, admission.requests, 0)
}
