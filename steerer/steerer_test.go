package steerer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/viewer"
)

var (
	start   = time.Unix(1_000_000, 0)
	address = netip.MustParseAddrPort("198.18.0.1:443")
	caller  = netip.MustParseAddrPort("100.64.0.7:40001")
)

// rig is one instance's steerer with what it observed.
type rig struct {
	*Steerer
	justResumed bool
	viewer  *viewer.Viewer
	decided []Reason
	ended   []FlowSummary
	ejected    []string
	responseLengths []uint32 // of responses
}

func (rig *rig) RecordResponse(_ netip.AddrPort, _ *viewer.BackendServer, bytes uint32) {
	rig.responseLengths = append(rig.responseLengths, bytes)
}

func (rig *rig) Decided(verdict *Verdict, _ *viewer.View) {
	rig.decided = append(rig.decided, verdict.Reason)
}
func (rig *rig) FlowEnded(summary *FlowSummary)            { rig.ended = append(rig.ended, *summary) }
func (rig *rig) ServerEjected(server *viewer.BackendServer) { rig.ejected = append(rig.ejected, server.Name) }

func newRig(names ...string) *rig {
	rig := &rig{viewer: viewer.NewViewer()}
	random := rand.New(rand.NewPCG(1, 2))
	rig.Steerer = NewSteerer(rig.viewer.Current, func(time.Time) bool { return rig.justResumed }, placer.NewPlacer("dakar-1", func() int { return 1 }, func(uint32, time.Time) bool { return false }, random), rig, rig, random)
	rig.viewer.TakeConfiguration(&viewer.Configuration{Version: 1, Routes: []viewer.Route{{
		Name: "r", Address: address, Shares: []viewer.Share{{Service: "desk-sync", Weight: 1}},
	}}})
	rig.servers(1, names...)
	return rig
}

func (rig *rig) servers(revision uint64, names ...string) {
	list := &viewer.Servers{Revision: revision}
	for _, name := range names {
		list.List = append(list.List, viewer.BackendServer{
			Name: name, Token: tokenOf(name), Service: "desk-sync", Slots: 3, State: parser.Active,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 80),
		})
	}
	rig.viewer.TakeServers(list, start)
}

func tokenOf(name string) uint32 { return uint32(name[0]) }

func flowOf(port uint16) FlowKey {
	return FlowKey{CallerAddress: netip.AddrPortFrom(caller.Addr(), port), ServiceAddress: address}
}

func opening(port uint16) *Packet {
	return &Packet{Flow: flowOf(port), Flags: Flags{SYN: true}, Sequence: 7, Raw: []byte("opening")}
}

func laterPacket(port uint16, token uint32, acknowledge uint32, length int, flags Flags) *Packet {
	flags.ACK = true
	return &Packet{Flow: flowOf(port), Flags: flags, Token: token, Acknowledgment: acknowledge, PayloadLength: length}
}

func TestAnOpeningGoesToAServerOfItsRoute(t *testing.T) {
	verdict := newRig("a").Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "a")
	assert.Equal(t, verdict.Reason, ReasonNewFlow)
}

func TestALaterPacketFollowsItsTokenAtAnyInstance(t *testing.T) {
	other := newRig("a", "b")
	verdict := other.Decide(laterPacket(1, tokenOf("b"), 100, 10, Flags{}), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "b")
}

func TestVerdictsOnPacketsThatAreNotForwarded(t *testing.T) {
	elsewhere := opening(1)
	elsewhere.Flow.ServiceAddress = netip.MustParseAddrPort("198.18.0.9:443")
	fromServer := laterPacket(1, 0, 1, 0, Flags{SYN: true})
	cases := []struct {
		name   string
		packet *Packet
		rig    *rig
		action Action
		reason Reason
	}{
		{"no such route", elsewhere, newRig("a"), Reset, ReasonNoRoute},
		{"no server", opening(1), newRig(), Reset, ReasonNoServer},
		{"unknown token", laterPacket(1, 99, 1, 0, Flags{}), newRig("a"), Drop, ReasonUnknownToken},
		{"no token", laterPacket(1, 0, 1, 0, Flags{}), newRig("a"), Drop, ReasonUnknownToken},
		{"answer of a server", fromServer, newRig("a"), Drop, ReasonFromServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := c.rig.Decide(c.packet, start)
			assert.Equal(t, verdict.Action, c.action)
			assert.Equal(t, verdict.Reason, c.reason)
			assert.DeepEqual(t, c.rig.decided, []Reason{c.reason})
		})
	}
}

func TestAfterAPauseNothingIsReset(t *testing.T) {
	rig := newRig()
	rig.justResumed = true
	verdict := rig.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonJustResumed)
	elsewhere := opening(2)
	elsewhere.Flow.ServiceAddress = netip.MustParseAddrPort("198.18.0.9:443")
	assert.Equal(t, rig.Decide(elsewhere, start).Action, Drop)
}

func TestWithoutAViewNothingIsReset(t *testing.T) {
	empty := NewSteerer(viewer.NewViewer().Current, nil, nil, nil, &rig{}, nil)
	verdict := empty.Decide(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, ReasonNoView)
}

func TestACopyOfAnUnansweredOpeningGoesToAnotherServer(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Decide(opening(1), start)
	second := rig.Decide(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, second.Reason, ReasonRetransmitted)
	assert.Assert(t, first.Server.Name != second.Server.Name)
}

func TestACopyOfAnAnsweredOpeningGoesWhereTheFlowIs(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Decide(opening(1), start)
	rig.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), start)
	assert.Equal(t, rig.Decide(opening(1), start).Server.Name, first.Server.Name)
}

func TestASilentServersOpeningIsSentToAnother(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Decide(opening(1), start)
	now := start.Add(answerTimeout)
	_, early := rig.NextRetry(now, now.Add(-1))
	assert.Assert(t, !early, "an answer may still wait to be read")
	retry, ok := rig.NextRetry(now, now)
	assert.Assert(t, ok)
	assert.Equal(t, retry.Reason, ReasonRetried)
	assert.Equal(t, string(retry.Raw), "opening")
	assert.Assert(t, retry.Server.Name != first.Server.Name)
	_, again := rig.NextRetry(now, now)
	assert.Assert(t, !again)
}

func TestAnAnsweredOpeningIsNotRetried(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Decide(opening(1), start)
	rig.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), start)
	now := start.Add(time.Second)
	_, ok := rig.NextRetry(now, now)
	assert.Assert(t, !ok)
}

// leaveUnanswered opens flows that nobody answers, all at one time, and lets them become overdue.
func (rig *rig) leaveUnanswered(flows int, at time.Time) {
	for i := range flows {
		rig.Decide(opening(uint16(100+i)), at)
	}
	now := at.Add(answerTimeout)
	for {
		if _, ok := rig.NextRetry(now, now); !ok {
			return
		}
	}
}

func TestSilenceIsNoEvidenceWhileNoAnswersCome(t *testing.T) {
	rig := newRig("a", "b", "c")
	rig.leaveUnanswered(30, start)
	assert.Equal(t, len(rig.ejected), 0, "the callers' packets may go to another instance now")
}

func TestSilenceOfOneServerHoldsItOff(t *testing.T) {
	rig := newRig("a", "b", "c")
	for i := range uint16(60) {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		verdict := rig.Decide(opening(i), at)
		if verdict.Server.Name != "a" {
			rig.Decide(laterPacket(i, verdict.Server.Token, 100, 0, Flags{}), at)
		}
		for retry, ok := rig.NextRetry(at, at); ok; retry, ok = rig.NextRetry(at, at) {
			if retry.Server.Name != "a" {
				rig.Decide(laterPacket(retry.Flow.CallerAddress.Port(), retry.Server.Token, 100, 0, Flags{}), at)
			}
		}
	}
	assert.DeepEqual(t, rig.ejected, []string{"a"})
}

func TestAFlowsEndIsSummed(t *testing.T) {
	rig := newRig("a")
	rig.Decide(opening(1), start)
	token := tokenOf("a")
	rig.Decide(laterPacket(1, token, 100, 0, Flags{}), start.Add(10*time.Millisecond))
	rig.Decide(laterPacket(1, token, 100, 50, Flags{}), start.Add(10*time.Millisecond))
	rig.Decide(laterPacket(1, token, 1100, 0, Flags{}), start.Add(60*time.Millisecond))
	rig.Decide(laterPacket(1, token, 1100, 0, Flags{FIN: true}), start.Add(60*time.Millisecond))
	assert.Equal(t, len(rig.ended), 1)
	summary := rig.ended[0]
	assert.Equal(t, summary.HandshakeTime, 10*time.Millisecond)
	assert.Equal(t, summary.ResponseTime, 50*time.Millisecond)
	assert.Equal(t, summary.ResponseBytes, uint32(1000))
	assert.Equal(t, summary.EndReason, EndClosedByCaller)
	assert.Equal(t, len(rig.flows), 0)
	assert.DeepEqual(t, rig.responseLengths, []uint32{1000})
}

func TestTheLastResponseOfAFlowIsExamined(t *testing.T) {
	rig := newRig("a")
	rig.Decide(opening(1), start)
	token := tokenOf("a")
	rig.Decide(laterPacket(1, token, 100, 0, Flags{}), start)
	for _, acknowledged := range []uint32{100, 1100} {
		rig.Decide(laterPacket(1, token, acknowledged, 50, Flags{}), start)
	}
	rig.Decide(laterPacket(1, token, 1300, 0, Flags{FIN: true}), start.Add(time.Millisecond))
	assert.DeepEqual(t, rig.responseLengths, []uint32{200})
}

// loadCounter counts the flows that are open at each server, as the placer is told.
type loadCounter struct {
	*placer.Placer
	openFlows map[string]int
}

func (loadCounter *loadCounter) FlowOpened(server *viewer.BackendServer, now time.Time) {
	loadCounter.openFlows[server.Name]++
	loadCounter.Placer.FlowOpened(server, now)
}

func (loadCounter *loadCounter) FlowClosed(server *viewer.BackendServer, now time.Time) {
	loadCounter.openFlows[server.Name]--
	loadCounter.Placer.FlowClosed(server, now)
}

func TestAFlowThatPausesIsNoLoad(t *testing.T) {
	rig := newRig("a")
	load := &loadCounter{Placer: rig.placer.(*placer.Placer), openFlows: map[string]int{}}
	rig.placer = load
	token := tokenOf("a")
	rig.Decide(opening(1), start)
	rig.Decide(opening(1), start.Add(200*time.Millisecond))
	rig.Decide(laterPacket(1, token, 100, 50, Flags{}), start.Add(300*time.Millisecond))
	assert.Equal(t, load.openFlows["a"], 1)
	pause := start.Add(5 * time.Second)
	rig.NextRetry(pause, start)
	assert.Equal(t, load.openFlows["a"], 0)
	rig.Decide(laterPacket(1, token, 1100, 50, Flags{}), pause)
	assert.Equal(t, load.openFlows["a"], 1)
	rig.Decide(laterPacket(1, token, 2100, 0, Flags{FIN: true}), pause)
	assert.Equal(t, load.openFlows["a"], 0)
}

func TestForgottenFlowsAreNoLoad(t *testing.T) {
	rig := newRig("a")
	rig.Decide(opening(1), start)
	now := start.Add(time.Minute)
	rig.NextRetry(now, start)
	assert.Equal(t, len(rig.flows), 0)
	assert.Equal(t, len(rig.ended), 1)
	assert.Assert(t, !rig.ended[0].Established)
	assert.Equal(t, rig.ended[0].EndReason, EndIdle)
}

func TestRoutesAreDividedByWeight(t *testing.T) {
	rig := newRig("a")
	route := &viewer.Route{Shares: []viewer.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	drawn := map[string]int{}
	for range 1000 {
		drawn[rig.drawService(route)]++
	}
	assert.Assert(t, drawn["y"] > 60 && drawn["y"] < 140, "%v", drawn)
	assert.Equal(t, drawn["x"]+drawn["y"], 1000)
}
