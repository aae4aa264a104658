package steerer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/viewer"
)

// fakeAdmission decides as the test says, and records the responses.
type fakeAdmission struct {
	disabled  bool
	calls     int // of any method but IsEnabled
	withdrawn []admitter.Opening
	decision  admitter.Decision
	results   []admitter.Result
	openings  []admitter.Opening
	responses []admitter.Response
	requests  int // outstanding
}

func (fakeAdmission *fakeAdmission) Decide(opening admitter.Opening, _ time.Time) admitter.Decision {
	fakeAdmission.calls++
	fakeAdmission.openings = append(fakeAdmission.openings, opening)
	return fakeAdmission.decision
}

func (fakeAdmission *fakeAdmission) IsEnabled() bool { return !fakeAdmission.disabled }

func (fakeAdmission *fakeAdmission) Withdraw(opening admitter.Opening, _ time.Time) {
	fakeAdmission.withdrawn = append(fakeAdmission.withdrawn, opening)
}

func (fakeAdmission *fakeAdmission) Next(time.Time) (admitter.Result, bool) {
	fakeAdmission.calls++
	if len(fakeAdmission.results) == 0 {
		return admitter.Result{}, false
	}
	result := fakeAdmission.results[0]
	fakeAdmission.results = fakeAdmission.results[1:]
	return result, true
}

func (fakeAdmission *fakeAdmission) WakeTime() time.Time {
	fakeAdmission.calls++
	return time.Time{}
}

func (fakeAdmission *fakeAdmission) RecordResponse(_ string, response admitter.Response, _ time.Time) {
	fakeAdmission.calls++
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
	cases := []struct {
		name    string
		bytes   uint32
		isShort bool
		after   time.Duration // the last acknowledgment
	}{
		{"usual", shortResponse, false, completionTime},
		{"short, as if its first packet were the last", shortResponse - 24, true, shortCompletionTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, admission := newAdmissionHarness(admitter.Admit)
			token := harness.Decide(opening(1), start).Server.Token
			harness.Decide(laterPacket(1, token, 100, 0, Flags{}), start)
			harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
			answered := start.Add(200 * time.Millisecond)
			harness.Decide(laterPacket(1, token, 100+c.bytes, 0, Flags{}), answered)
			soon := answered.Add(c.after)
			for at := answered; at.Before(soon); at = at.Add(time.Millisecond) {
				harness.Next(at, at)
				assert.Assert(t, !harness.heldWakeTime().After(soon))
			}
			assert.Equal(t, len(admission.responses), 0, "more of the response may come")
			harness.Next(soon, soon)
			harness.Decide(laterPacket(1, token, 100+c.bytes, 0, Flags{FIN: true}), soon)
			assert.DeepEqual(t, admission.responses, []admitter.Response{{Class: admitter.Class{Priority: 1}, Duration: 200 * time.Millisecond, Objective: 600 * time.Millisecond, IsShort: c.isShort}})
		})
	}
}

// The second packet of a response is lost, and sent again after 200 ms.
func TestFirstPartOfAResponseIsNoShortResponse(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	token := harness.Decide(opening(1), start).Server.Token
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	now := start.Add(50 * time.Millisecond)
	harness.Decide(laterPacket(1, token, 200, 0, Flags{}), now)
	for range 210 {
		now = now.Add(time.Millisecond)
		harness.Next(now, now)
	}
	harness.Decide(laterPacket(1, token, 20_000, 0, Flags{}), now)
	now = now.Add(completionTime)
	harness.Next(now, now)
	assert.DeepEqual(t, admission.responses, []admitter.Response{{Class: admitter.Class{Priority: 1}, Duration: 260 * time.Millisecond, Objective: 600 * time.Millisecond}})
}

// The service that the admission decided about gets the opening.
func TestServiceOfAnOpeningIsDrawnOnce(t *testing.T) {
	for _, decision := range []admitter.Decision{admitter.Admit, admitter.Hold} {
		harness, admission := newAdmissionHarness(decision)
		list := &viewer.Servers{Revision: 5, List: append([]viewer.BackendServer(nil), harness.viewer.Current().Servers.List[:2]...)}
		list.List[1].Service = "other"
		harness.viewer.ApplyServers(list, start)
		shares := []viewer.Share{{Service: "desk-sync", Weight: 1}, {Service: "other", Weight: 1}}
		harness.viewer.ApplyConfiguration(&viewer.Configuration{Version: 3, Routes: []viewer.Route{{Name: "r", Address: address, Shares: shares}}})
		differ := 0
		for port := range uint16(200) {
			verdict := harness.Decide(opening(port+1), start)
			if decision == admitter.Hold {
				admission.results = []admitter.Result{{Flow: flowID(flowOf(port + 1)), Decision: admitter.Admit}}
				verdict, _ = harness.Next(start, start)
			}
			if verdict.Server.Service != admission.openings[port].Service {
				differ++
			}
		}
		assert.Equal(t, differ, 0, "of 200 openings")
	}
}

// After a pause the caller may have opened the flow through another instance.
func TestHeldOpeningIsDroppedAfterAPause(t *testing.T) {
	cases := []struct {
		name        string
		justResumed bool
		isLate      bool
	}{{"just resumed", true, false}, {"held for too long", false, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, admission := newAdmissionHarness(admitter.Hold)
			harness.Decide(opening(1), start)
			harness.justResumed = c.justResumed
			admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Refuse, IsLate: c.isLate}}
			verdict, ok := harness.Next(start, start)
			assert.Assert(t, ok)
			assert.Equal(t, verdict.Action, Drop)
			assert.Equal(t, verdict.Reason, ReasonJustResumed)
			assert.Equal(t, len(harness.held), 0)
		})
	}
}

func TestDisabledAdmissionIsNotAsked(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Refuse)
	admission.disabled = true
	verdict := harness.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Send)
	token := verdict.Server.Token
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	now := start.Add(50 * time.Millisecond)
	harness.Decide(laterPacket(1, token, 200, 0, Flags{}), now)
	harness.dropAnswered()
	assert.Assert(t, harness.heldWakeTime().IsZero())
	now = now.Add(time.Second)
	harness.Next(now, now)
	assert.Assert(t, !harness.wasShed(harness.flows[flowOf(1)]), "the response time of a short response counts")
	harness.Decide(laterPacket(1, token, 200, 0, Flags{FIN: true}), now)
	assert.Equal(t, admission.calls, 0)
}

func TestNextAsksTheAdmissionOnlyWhileAnOpeningIsHeld(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	harness.Next(start, start)
	harness.WakeTime()
	assert.Equal(t, admission.calls, 0)
}

// An opening that placement refuses takes no place.
func TestAdmissionOfAnOpeningThatIsNotSentIsWithdrawn(t *testing.T) {
	for _, decision := range []admitter.Decision{admitter.Admit, admitter.Hold} {
		harness, admission := newAdmissionHarness(decision)
		harness.placer = refusingSelector{harness.placer}
		verdict := harness.Decide(opening(1), start)
		if decision == admitter.Hold {
			admission.results = []admitter.Result{{Flow: flowID(flowOf(1)), Decision: admitter.Admit}}
			verdict, _ = harness.Next(start, start)
		}
		assert.Equal(t, verdict.Reason, ReasonWarmingUp)
		assert.Assert(t, slices.Equal(admission.withdrawn, admission.openings))
	}
}

// refusingSelector selects no server, as if all were cold.
type refusingSelector struct{ serverSelector }

func (refusingSelector) Select(_, _ []*viewer.BackendServer, _ time.Time) *viewer.BackendServer {
	return nil
}

// A copy of an opening that is not tracked is not known as such.
func TestNoOpeningIsRefusedWhileFlowsAreUntracked(t *testing.T) {
	harness, admission := newAdmissionHarness(admitter.Admit)
	for port := range maxFlows {
		harness.flows[flowOf(uint16(port+1))] = &flow{}
	}
	admission.decision = admitter.Refuse
	assert.Equal(t, harness.Decide(opening(maxFlows+1), start).Action, Send)
	assert.Equal(t, harness.Decide(opening(maxFlows+1), start.Add(200*time.Millisecond)).Action, Send)
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
