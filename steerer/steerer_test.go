package steerer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/estimator"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/viewer"
)

var (
	start   = time.Unix(1_000_000, 0)
	address = netip.MustParseAddrPort("198.18.0.1:443")
	caller  = netip.MustParseAddrPort("100.64.0.7:40001")
)

// shortResponse is the length in bytes below which harness calls a response short.
const shortResponse = 150

// harness is the steerer of one instance with a real placer; it records what the
// steerer reports to its observer and its examiner.
type harness struct {
	*Steerer
	justResumed     bool
	viewer          *viewer.Viewer
	decided         []Reason
	ended           []FlowSummary
	ejected         []string
	readmitted      []string
	reset           []string // silent servers, with the number of their flows that are reset
	responseLengths []uint32
	responseTimes   []time.Duration
	lost            []string // servers of which a request was reported as lost
}

func (harness *harness) RecordLostRequest(server *viewer.BackendServer) {
	harness.lost = append(harness.lost, server.Name)
}

func (harness *harness) RecordResponse(_ netip.AddrPort, _ *viewer.BackendServer, bytes uint32, duration time.Duration, _ time.Time) {
	harness.responseLengths = append(harness.responseLengths, bytes)
	harness.responseTimes = append(harness.responseTimes, duration)
}

func (harness *harness) IsShort(_ netip.AddrPort, bytes uint32) bool { return bytes < shortResponse }

func (harness *harness) Decided(verdict *Verdict, _ *viewer.View) {
	harness.decided = append(harness.decided, verdict.Reason)
}

func (harness *harness) FlowEnded(summary *FlowSummary) {
	harness.ended = append(harness.ended, *summary)
}

func (harness *harness) ServerEjected(server *viewer.BackendServer) {
	harness.ejected = append(harness.ejected, server.Name)
}

func (harness *harness) ServerReadmitted(server *viewer.BackendServer, _ time.Duration) {
	harness.readmitted = append(harness.readmitted, server.Name)
}

func (harness *harness) FlowsReset(server *viewer.BackendServer, flows int) {
	harness.reset = append(harness.reset, fmt.Sprint(server.Name, " ", flows))
}

func newHarness(names ...string) *harness {
	harness := &harness{viewer: viewer.NewViewer()}
	random := rand.New(rand.NewPCG(1, 2))
	neverFailing := func(*viewer.BackendServer, time.Time) bool { return false }
	oneInstance := func() estimator.Instances { return estimator.Instances{Fleet: 1, Domain: 1} }
	estimator := estimator.NewEstimator("dakar-1", oneInstance, harness.viewer.Current, neverFailing)
	placer := placer.NewPlacer("dakar-1", estimator, neverFailing, random)
	harness.Steerer = NewSteerer(harness.viewer.Current, func(time.Time) bool { return harness.justResumed }, placer, harness, harness)
	harness.viewer.ApplyConfiguration(&viewer.Configuration{Version: 1, Routes: []viewer.Route{{
		Name: "r", Address: address, Shares: []viewer.Share{{Service: "desk-sync", Weight: 1}},
	}}})
	harness.applyServers(1, names...)
	return harness
}

func (harness *harness) applyServers(revision uint64, names ...string) {
	list := &viewer.Servers{Revision: revision}
	for _, name := range names {
		list.List = append(list.List, viewer.BackendServer{
			Name: name, Token: tokenOf(name), Service: "desk-sync", Slots: 3, State: parser.Active,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 80),
		})
	}
	harness.viewer.ApplyServers(list, start)
}

func tokenOf(name string) uint32 { return uint32(name[0]) }

func flowOf(port uint16) FlowKey {
	return FlowKey{CallerAddress: netip.AddrPortFrom(caller.Addr(), port), ServiceAddress: address}
}

func opening(port uint16) *Packet {
	return &Packet{Flow: flowOf(port), Flags: Flags{SYN: true}, Sequence: 7, Raw: []byte("opening")}
}

func laterPacket(port uint16, token uint32, acknowledgment uint32, payloadLength int, flags Flags) *Packet {
	flags.ACK = true
	return &Packet{Flow: flowOf(port), Flags: flags, Token: token, Acknowledgment: acknowledgment, PayloadLength: payloadLength}
}

func TestOpeningGoesToServerOfItsRoute(t *testing.T) {
	verdict := newHarness("a").Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "a")
	assert.Equal(t, verdict.Reason, ReasonNewFlow)
}

func TestLaterPacketFollowsItsTokenAtAnyInstance(t *testing.T) {
	other := newHarness("a", "b")
	verdict := other.Decide(laterPacket(1, tokenOf("b"), 100, 10, Flags{}), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "b")
}

func TestPacketsThatAreNotForwarded(t *testing.T) {
	unknownRoute := opening(1)
	unknownRoute.Flow.ServiceAddress = netip.MustParseAddrPort("198.18.0.9:443")
	fromServer := laterPacket(1, 0, 1, 0, Flags{SYN: true})
	cases := []struct {
		name    string
		packet  *Packet
		harness *harness
		action  Action
		reason  Reason
	}{
		{"unknown route", unknownRoute, newHarness("a"), Reset, ReasonNoRoute},
		{"no server", opening(1), newHarness(), Reset, ReasonNoServer},
		{"unknown token", laterPacket(1, 99, 1, 0, Flags{}), newHarness("a"), Drop, ReasonUnknownToken},
		{"no token", laterPacket(1, 0, 1, 0, Flags{}), newHarness("a"), Drop, ReasonUnknownToken},
		{"packet from a server", fromServer, newHarness("a"), Drop, ReasonFromServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := c.harness.Decide(c.packet, start)
			assert.Equal(t, verdict.Action, c.action)
			assert.Equal(t, verdict.Reason, c.reason)
			assert.DeepEqual(t, c.harness.decided, []Reason{c.reason})
		})
	}
}

func TestNoResetJustAfterProcessPause(t *testing.T) {
	harness := newHarness()
	harness.justResumed = true
	verdict := harness.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonJustResumed)
	unknownRoute := opening(2)
	unknownRoute.Flow.ServiceAddress = netip.MustParseAddrPort("198.18.0.9:443")
	assert.Equal(t, harness.Decide(unknownRoute, start).Action, Drop)
}

func TestNoResetWithoutView(t *testing.T) {
	empty := NewSteerer(viewer.NewViewer().Current, nil, nil, nil, &harness{})
	verdict := empty.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonNoView)
}

func TestRetransmittedUnansweredOpeningGoesToAnotherServer(t *testing.T) {
	harness := newHarness("a", "b")
	first := harness.Decide(opening(1), start)
	second := harness.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, second.Reason, ReasonRetransmitted)
	assert.Assert(t, first.Server.Name != second.Server.Name)
}

func TestRetransmittedAnsweredOpeningGoesToServerOfTheFlow(t *testing.T) {
	harness := newHarness("a", "b")
	first := harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), start)
	assert.Equal(t, harness.Decide(opening(1), start).Server.Name, first.Server.Name)
}

func TestUnansweredOpeningIsRetriedAtAnotherServer(t *testing.T) {
	harness := newHarness("a", "b")
	first := harness.Decide(opening(1), start)
	now := start.Add(answerTimeout)
	_, early := harness.Next(now, now.Add(-1))
	assert.Assert(t, !early, "the answer may still be in the receive queue")
	retry, ok := harness.Next(now, now)
	assert.Assert(t, ok)
	assert.Equal(t, retry.Reason, ReasonRetried)
	assert.Equal(t, string(retry.Raw), "opening")
	assert.Assert(t, retry.Server.Name != first.Server.Name)
	_, again := harness.Next(now, now)
	assert.Assert(t, !again)
}

func TestAnsweredOpeningIsNotRetried(t *testing.T) {
	harness := newHarness("a", "b")
	first := harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), start)
	now := start.Add(time.Second)
	_, ok := harness.Next(now, now)
	assert.Assert(t, !ok)
}

// leaveUnanswered opens flows at one time, answers none, and runs all retries that fall due.
func (harness *harness) leaveUnanswered(flows int, at time.Time) {
	for i := range flows {
		harness.Decide(opening(uint16(100+i)), at)
	}
	now := at.Add(answerTimeout)
	for {
		if _, ok := harness.Next(now, now); !ok {
			return
		}
	}
}

func TestNoServerIsEjectedWhileNoOpeningIsAnswered(t *testing.T) {
	harness := newHarness("a", "b", "c")
	harness.leaveUnanswered(30, start)
	assert.Equal(t, len(harness.ejected), 0, "the callers' packets may now reach another instance")
}

func TestUnresponsiveServerIsEjected(t *testing.T) {
	harness := newHarness("a", "b", "c")
	for i := range uint16(60) {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		verdict := harness.Decide(opening(i), at)
		if verdict.Server.Name != "a" {
			harness.Decide(laterPacket(i, verdict.Server.Token, 100, 0, Flags{}), at)
		}
		for retry, ok := harness.Next(at, at); ok; retry, ok = harness.Next(at, at) {
			if retry.Server.Name != "a" {
				harness.Decide(laterPacket(retry.Flow.CallerAddress.Port(), retry.Server.Token, 100, 0, Flags{}), at)
			}
		}
	}
	assert.DeepEqual(t, harness.ejected, []string{"a"})
}

func TestFlowSummary(t *testing.T) {
	harness := newHarness("a")
	harness.Decide(opening(1), start)
	token := tokenOf("a")
	harness.Decide(laterPacket(1, token, 100, 0, Flags{}), start.Add(10*time.Millisecond))
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start.Add(10*time.Millisecond))
	harness.Decide(laterPacket(1, token, 1100, 0, Flags{}), start.Add(60*time.Millisecond))
	harness.Decide(laterPacket(1, token, 1100, 0, Flags{FIN: true}), start.Add(60*time.Millisecond))
	assert.Equal(t, len(harness.ended), 1)
	summary := harness.ended[0]
	assert.Equal(t, summary.HandshakeTime, 10*time.Millisecond)
	assert.Equal(t, summary.ResponseTime, 50*time.Millisecond)
	assert.Equal(t, summary.ResponseBytes, uint32(1000))
	assert.Equal(t, summary.EndReason, EndClosedByCaller)
	assert.Equal(t, len(harness.flows), 0)
	assert.DeepEqual(t, harness.responseLengths, []uint32{1000})
}

func TestLastResponseOfAFlowIsExamined(t *testing.T) {
	harness := newHarness("a")
	harness.Decide(opening(1), start)
	token := tokenOf("a")
	harness.Decide(laterPacket(1, token, 100, 0, Flags{}), start)
	for _, acknowledged := range []uint32{100, 1100} {
		harness.Decide(laterPacket(1, token, acknowledged, 50, Flags{}), start)
	}
	harness.Decide(laterPacket(1, token, 1300, 0, Flags{FIN: true}), start.Add(time.Millisecond))
	assert.DeepEqual(t, harness.responseLengths, []uint32{200})
}

// loadCounter counts the flows and the requests that the steerer reports to the placer, by server.
type loadCounter struct {
	*placer.Placer
	openFlows   map[string]int
	outstanding map[string]int
	first       []bool // of each request, whether it was the first of its flow
}

// countLoad makes the harness count what its steerer reports to the placer.
func (harness *harness) countLoad() *loadCounter {
	loadCounter := &loadCounter{Placer: harness.placer.(*placer.Placer), openFlows: map[string]int{}, outstanding: map[string]int{}}
	harness.placer = loadCounter
	return loadCounter
}

func (loadCounter *loadCounter) FlowOpened(server *viewer.BackendServer, now time.Time) {
	loadCounter.openFlows[server.Name]++
	loadCounter.Placer.FlowOpened(server, now)
}

func (loadCounter *loadCounter) FlowClosed(server *viewer.BackendServer, now time.Time) {
	loadCounter.openFlows[server.Name]--
	loadCounter.Placer.FlowClosed(server, now)
}

func (loadCounter *loadCounter) RequestBegan(server *viewer.BackendServer, isFirst bool, now time.Time) {
	loadCounter.outstanding[server.Name]++
	loadCounter.first = append(loadCounter.first, isFirst)
	loadCounter.Placer.RequestBegan(server, isFirst, now)
}

func (loadCounter *loadCounter) RequestMoved(server *viewer.BackendServer, now time.Time) {
	loadCounter.outstanding[server.Name]++
	loadCounter.Placer.RequestMoved(server, now)
}

func (loadCounter *loadCounter) RequestEnded(server *viewer.BackendServer, now time.Time) {
	loadCounter.outstanding[server.Name]--
	loadCounter.Placer.RequestEnded(server, now)
}

func TestIdleFlowIsNotCountedAsLoad(t *testing.T) {
	harness := newHarness("a")
	loadCounter := harness.countLoad()
	token := tokenOf("a")
	harness.Decide(opening(1), start)
	harness.Decide(opening(1), start.Add(200*time.Millisecond))
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start.Add(300*time.Millisecond))
	assert.Equal(t, loadCounter.outstanding["a"], 1)
	afterIdle := start.Add(5 * time.Second)
	harness.Next(afterIdle, start)
	assert.Equal(t, loadCounter.outstanding["a"], 0)
	assert.Equal(t, loadCounter.openFlows["a"], 1)
	harness.Decide(laterPacket(1, token, 1100, 50, Flags{}), afterIdle)
	assert.Equal(t, loadCounter.outstanding["a"], 1)
	harness.Decide(laterPacket(1, token, 2100, 0, Flags{FIN: true}), afterIdle)
	assert.Equal(t, loadCounter.outstanding["a"], 0)
	assert.Equal(t, loadCounter.openFlows["a"], 0)
}

func TestUnansweredFlowExpires(t *testing.T) {
	harness := newHarness("a")
	harness.Decide(opening(1), start)
	now := start.Add(time.Minute)
	harness.Next(now, start)
	assert.Equal(t, len(harness.flows), 0)
	assert.Equal(t, len(harness.ended), 1)
	assert.Assert(t, !harness.ended[0].Established)
	assert.Equal(t, harness.ended[0].EndReason, EndIdle)
}

func TestNewFlowsAreSplitByWeight(t *testing.T) {
	cases := []struct {
		name    string
		active  map[string]parser.State // services with active servers
		least   int                     // flows of 1000 that y gets
		most    int
		refused int
	}{
		{"both have servers", bothActive, 60, 140, 0},
		{"none has servers", nil, 0, 0, 1000},
		{"the large one has no servers", map[string]parser.State{"y": parser.Active}, 1000, 1000, 0},
		{"the small one has no servers", map[string]parser.State{"x": parser.Active}, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness()
			harness.applyShares(2, viewer.Share{Service: "x", Weight: 90}, viewer.Share{Service: "y", Weight: 10})
			harness.applyServices(2, c.active)
			placed := map[string]int{}
			for port := range uint16(1000) {
				if verdict := harness.Decide(opening(port), start); verdict.Action == Send {
					placed[verdict.Server.Service]++
				} else {
					assert.Equal(t, verdict.Action, Reset)
					assert.Equal(t, verdict.Reason, ReasonNoServer)
				}
			}
			assert.Assert(t, placed["y"] >= c.least && placed["y"] <= c.most, "%v", placed)
			assert.Equal(t, placed["x"]+placed["y"], 1000-c.refused)
		})
	}
}

// The load: routers pass the copies of an opening to another instance, with another history.
func TestAllInstancesSelectTheSameServiceForAFlow(t *testing.T) {
	first, second := newStandbyHarness(), newStandbyHarness()
	for _, harness := range []*harness{first, second} {
		harness.applyShares(3, viewer.Share{Service: "x", Weight: 1}, viewer.Share{Service: "y", Weight: 1})
	}
	second.Decide(opening(9999), start)
	for port := range uint16(200) {
		assert.Equal(t, first.Decide(opening(port), start).Server.Service, second.Decide(opening(port), start).Server.Service)
	}
}

func TestRequestAfterEmptyAcknowledgmentIsMeasuredAlone(t *testing.T) {
	harness := newHarness("a")
	token := tokenOf("a")
	harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	harness.Decide(laterPacket(1, token, 1100, 0, Flags{}), start.Add(40*time.Millisecond))
	second := start.Add(time.Second)
	harness.Decide(laterPacket(1, token, 1100, 50, Flags{}), second)
	harness.Decide(laterPacket(1, token, 1500, 0, Flags{FIN: true}), second.Add(30*time.Millisecond))
	assert.DeepEqual(t, harness.responseLengths, []uint32{1000, 400})
	assert.Equal(t, harness.ended[0].ResponseTime, 30*time.Millisecond)
}

func TestPauseBeforeTheNextRequestIsNoResponseTime(t *testing.T) {
	harness := newHarness("a")
	token := tokenOf("a")
	harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), start)
	harness.Decide(laterPacket(1, token, 2500, 0, Flags{}), start.Add(40*time.Millisecond))
	second, third := start.Add(time.Second), start.Add(2*time.Second)
	harness.Decide(laterPacket(1, token, 3000, 50, Flags{}), second) // acknowledges the rest of the first response
	harness.Decide(laterPacket(1, token, 3500, 50, Flags{}), third)  // and this all of the second one
	assert.DeepEqual(t, harness.responseLengths, []uint32{2900})
	assert.DeepEqual(t, harness.responseTimes, []time.Duration{40 * time.Millisecond})
}

func TestUploadIsOneRequest(t *testing.T) {
	harness := newHarness("a")
	token := tokenOf("a")
	harness.Decide(opening(1), start)
	for i := range 60 {
		harness.Decide(laterPacket(1, token, 100, 1200, Flags{}), start.Add(time.Duration(i)*time.Millisecond))
	}
	harness.Decide(laterPacket(1, token, 400, 0, Flags{FIN: true}), start.Add(80*time.Millisecond))
	assert.DeepEqual(t, harness.responseLengths, []uint32{300})
	assert.Equal(t, harness.ended[0].ResponseTime, 80*time.Millisecond)
}

func TestFlowsBeyondTheLimitAreNotCountedAsLoad(t *testing.T) {
	harness := newHarness("a")
	loadCounter := harness.countLoad()
	for port := range uint16(maxFlows + 10) {
		assert.Equal(t, harness.Decide(opening(port), start).Action, Send)
	}
	now := start.Add(time.Minute)
	for _, ok := harness.Next(now, start); ok; _, ok = harness.Next(now, start) {
	}
	assert.Equal(t, len(harness.flows), 0)
	assert.Equal(t, loadCounter.openFlows["a"], 0)
	assert.Equal(t, loadCounter.outstanding["a"], 0)
}
