package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// evacuate evacuates the failure domains; applyServers leaves all servers in the one without a name.
func (harness *harness) evacuate(revision uint64, domains ...string) {
	harness.viewer.ApplyEvacuations(&viewer.Evacuations{Revision: revision, Domains: domains})
}

func TestOpeningIsResetWhenAllServersAreEvacuated(t *testing.T) {
	for _, justResumed := range []bool{false, true} {
		harness := newHarness("a", "b")
		first := harness.Decide(opening(1), start)
		harness.evacuate(2, "")
		harness.justResumed = justResumed
		action, reason := Reset, ReasonEvacuated
		if justResumed {
			action, reason = Drop, ReasonJustResumed
		}
		for port := range uint16(2) { // the first is a retransmission
			verdict := harness.Decide(opening(1+port), start.Add(200*time.Millisecond))
			assert.Equal(t, verdict.Action, action)
			assert.Equal(t, verdict.Reason, reason)
		}
		now := start.Add(time.Second)
		_, retried := harness.Next(now, now)
		assert.Assert(t, !retried, "the opening must not be retried at another evacuated server")
		kept := harness.Decide(laterPacket(1, tokenOf(first.Server.Name), 1, 0, Flags{}), now)
		assert.Equal(t, kept.Action, Send)
		assert.Equal(t, kept.Reason, ReasonEvacuatedFlow)
		harness.justResumed = false
		harness.evacuate(3)
		assert.Equal(t, harness.Decide(opening(3), now).Action, Send)
		assert.Equal(t, harness.Decide(laterPacket(1, tokenOf(first.Server.Name), 1, 0, Flags{}), now).Reason, ReasonExistingFlow)
	}
}

func TestOpeningsOfEvacuatedServersGoElsewhere(t *testing.T) {
	harness := newHarness()
	servers := &viewer.Servers{Revision: 5}
	for _, name := range []string{"a", "b", "c"} {
		servers.List = append(servers.List, viewer.BackendServer{
			Name: name, Token: tokenOf(name), Service: "desk-sync", Slots: 3, State: parser.Active, FailureDomain: name,
		})
	}
	harness.viewer.ApplyServers(servers, start)
	harness.evacuate(6, "a", "b")
	for port := range uint16(20) {
		assert.Equal(t, harness.Decide(opening(port), start).Server.Name, "c")
	}
	retransmitted := harness.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, retransmitted.Server.Name, "c", "not to a server that gets no new flows, although c did not answer")
	now := start.Add(time.Second)
	for verdict, ok := harness.Next(now, now); ok; verdict, ok = harness.Next(now, now) {
		assert.Equal(t, verdict.Server.Name, "c")
	}
	harness.evacuate(7, "c")
	for range 3 {
		assert.Assert(t, harness.Decide(opening(2), start.Add(600*time.Millisecond)).Server.Name != "c")
	}
}
