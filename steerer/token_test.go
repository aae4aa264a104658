package steerer

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// sharingServer returns a server of which others may have the token.
func sharingServer(name string, token uint32, startedAt int64, number byte) viewer.BackendServer {
	return viewer.BackendServer{
		Name: name, Token: token, Service: "desk-sync", Slots: 3, State: parser.Active, StartedAt: startedAt,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 80),
	}
}

func (harness *harness) apply(revision uint64, servers ...viewer.BackendServer) {
	harness.viewer.ApplyServers(&viewer.Servers{Revision: revision, List: servers}, start)
}

// portWithSharedToken returns the port of a flow whose token two servers share, and the servers.
func portWithSharedToken(t *testing.T) (uint16, viewer.BackendServer, viewer.BackendServer) {
	known := map[uint32]viewer.BackendServer{}
	for number := range uint32(1 << 16) {
		found := sharingServer(fmt.Sprint("i-", number), 1000+number, 1, byte(number))
		half := found.FlowToken(0) >> 16
		other, ok := known[half]
		known[half] = found
		for port := uint16(1); ok && port < 1<<15; port++ {
			if flow := hashOf(flowOf(port)); found.FlowToken(flow) == other.FlowToken(flow) {
				return port, other, found
			}
		}
	}
	t.Fatal("no servers share a token")
	return 0, viewer.BackendServer{}, viewer.BackendServer{}
}

func TestTokenOfAnOpeningLeadsBackToItsServer(t *testing.T) {
	for _, issuesServerTokens := range []bool{false, true} {
		harness := newHarness()
		harness.IssueServerTokens(issuesServerTokens)
		harness.apply(2, sharingServer("a", 7, 2, 1), sharingServer("b", 7, 1, 2), sharingServer("c", 8, 1, 3))
		sent := map[string]int{}
		for port := range uint16(200) {
			opened := harness.Decide(opening(port), start)
			assert.Equal(t, opened.Action, Send)
			sent[opened.Server.Name]++
			assert.Equal(t, issuesServerTokens && opened.Server.Name == "c", opened.Token == 8, "of a server that shares no token")
			later := harness.Decide(laterPacket(port, opened.Token, 100, 0, Flags{}), after(10))
			assert.Equal(t, later.Server, opened.Server)
			assert.Equal(t, later.Token, opened.Token)
		}
		assert.Equal(t, len(sent), 3, "%v", sent)
	}
}

func TestRetriedOpeningCarriesTheTokenOfItsServer(t *testing.T) {
	harness := newHarness("a", "b")
	harness.Decide(opening(1), start)
	retry, ok := harness.Next(after(60), after(60))
	assert.Assert(t, ok)
	assert.Equal(t, retry.Token, retry.Server.FlowToken(hashOf(retry.Flow)))
}

func TestOpeningAvoidsServersThatShareItsToken(t *testing.T) {
	port, one, other := portWithSharedToken(t)
	harness := newHarness()
	harness.apply(2, one, other, sharingServer("c", 3, 1, 3))
	for range 20 {
		assert.Equal(t, harness.Decide(opening(port), start).Server.Name, "c")
		harness.forget(flowOf(port), start)
	}
	harness.apply(3, one, other)
	verdict := harness.Decide(opening(port), start)
	assert.Equal(t, verdict.Action, Reset)
	assert.Equal(t, verdict.Reason, ReasonNoToken)
	assert.Equal(t, harness.Decide(opening(port+1), start).Action, Send)
}

// Guards against packets that go to a server which does not know their flow, and resets it.
func TestPacketWhoseTokenServersShareIsDropped(t *testing.T) {
	port, one, other := portWithSharedToken(t)
	harness := newHarness()
	harness.apply(2, one)
	opened := harness.Decide(opening(port), start)
	harness.apply(3, one, other)
	verdict := harness.Decide(laterPacket(port, opened.Token, 100, 10, Flags{}), after(10))
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonAmbiguousToken)
}

// Guards against resets of flows of a living server, as another one with its token has fallen silent.
func TestOnlyFlowsOfTheSilentServerAreReset(t *testing.T) {
	one, other := sharingServer("a", 7, 1, 1), sharingServer("b", 7, 2, 2)
	harness, signs := newHarness(), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	harness.apply(2, one, other)
	const flows, firstOfOther = 10, 100
	for i := range uint16(flows) {
		harness.Decide(laterPacket(i, one.FlowToken(hashOf(flowOf(i))), 900, 0, Flags{}), after(-600))
		port := firstOfOther + i
		harness.Decide(laterPacket(port, other.FlowToken(hashOf(flowOf(port))), 900, 0, Flags{}), after(-600))
	}
	silent := detector.NewServer(&other)
	signs.silences = &detector.Silences{silent: {Server: silent, Since: after(-600), Until: after(3000)}}
	resets := harness.dueResets(after(1000))
	assert.Equal(t, len(resets), flows)
	for _, reset := range resets {
		assert.Assert(t, reset.Flow.CallerAddress.Port() >= firstOfOther)
	}
}
