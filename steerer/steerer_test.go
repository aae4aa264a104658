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
	resumed bool
	viewer  *viewer.Viewer
	decided []Reason
	ended   []Summary
	held    []string
	lengths []uint32 // of responses
}

func (rig *rig) Answered(_ netip.AddrPort, _ *viewer.BackendServer, bytes uint32) {
	rig.lengths = append(rig.lengths, bytes)
}

func (rig *rig) Decided(verdict *Verdict, _ *viewer.View) {
	rig.decided = append(rig.decided, verdict.Reason)
}
func (rig *rig) Ended(summary *Summary)            { rig.ended = append(rig.ended, *summary) }
func (rig *rig) Held(server *viewer.BackendServer) { rig.held = append(rig.held, server.Name) }

func newRig(names ...string) *rig {
	rig := &rig{viewer: viewer.NewViewer()}
	random := rand.New(rand.NewPCG(1, 2))
	rig.Steerer = NewSteerer(rig.viewer.Current, func(time.Time) bool { return rig.resumed }, placer.NewPlacer("dakar-1", func() int { return 1 }, func(uint32, time.Time) bool { return false }, random), rig, rig, random)
	rig.viewer.ApplyConfiguration(&viewer.Configuration{Version: 1, Routes: []viewer.Route{{
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
	rig.viewer.ApplyServers(list, start)
}

func tokenOf(name string) uint32 { return uint32(name[0]) }

func flowOf(port uint16) Flow {
	return Flow{Caller: netip.AddrPortFrom(caller.Addr(), port), Service: address}
}

func opening(port uint16) *Packet {
	return &Packet{Flow: flowOf(port), Flags: Flags{SYN: true}, Sequence: 7, Raw: []byte("opening")}
}

func later(port uint16, token uint32, acknowledge uint32, length int, flags Flags) *Packet {
	flags.ACK = true
	return &Packet{Flow: flowOf(port), Flags: flags, Token: token, Acknowledge: acknowledge, Length: length}
}

func TestAnOpeningGoesToAServerOfItsRoute(t *testing.T) {
	verdict := newRig("a").Packet(opening(1), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "a")
	assert.Equal(t, verdict.Reason, Opened)
}

func TestALaterPacketFollowsItsTokenAtAnyInstance(t *testing.T) {
	other := newRig("a", "b")
	verdict := other.Packet(later(1, tokenOf("b"), 100, 10, Flags{}), start)
	assert.Equal(t, verdict.Action, Send)
	assert.Equal(t, verdict.Server.Name, "b")
}

func TestVerdictsOnPacketsThatAreNotForwarded(t *testing.T) {
	elsewhere := opening(1)
	elsewhere.Flow.Service = netip.MustParseAddrPort("198.18.0.9:443")
	fromServer := later(1, 0, 1, 0, Flags{SYN: true})
	cases := []struct {
		name   string
		packet *Packet
		rig    *rig
		action Action
		reason Reason
	}{
		{"no such route", elsewhere, newRig("a"), Reset, NoRoute},
		{"no server", opening(1), newRig(), Reset, NoServer},
		{"unknown token", later(1, 99, 1, 0, Flags{}), newRig("a"), Drop, UnknownToken},
		{"no token", later(1, 0, 1, 0, Flags{}), newRig("a"), Drop, UnknownToken},
		{"answer of a server", fromServer, newRig("a"), Drop, FromServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := c.rig.Packet(c.packet, start)
			assert.Equal(t, verdict.Action, c.action)
			assert.Equal(t, verdict.Reason, c.reason)
			assert.DeepEqual(t, c.rig.decided, []Reason{c.reason})
		})
	}
}

func TestAfterAPauseNothingIsReset(t *testing.T) {
	rig := newRig()
	rig.resumed = true
	verdict := rig.Packet(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, JustResumed)
	elsewhere := opening(2)
	elsewhere.Flow.Service = netip.MustParseAddrPort("198.18.0.9:443")
	assert.Equal(t, rig.Packet(elsewhere, start).Action, Drop)
}

func TestWithoutAViewNothingIsReset(t *testing.T) {
	empty := NewSteerer(viewer.NewViewer().Current, nil, nil, nil, &rig{}, nil)
	verdict := empty.Packet(opening(1), start)
	assert.Equal(t, verdict.Action, Drop)
	assert.Equal(t, verdict.Reason, NoView)
}

func TestACopyOfAnUnansweredOpeningGoesToAnotherServer(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Packet(opening(1), start)
	second := rig.Packet(opening(1), start.Add(200*time.Millisecond))
	assert.Equal(t, second.Reason, Repeated)
	assert.Assert(t, first.Server.Name != second.Server.Name)
}

func TestACopyOfAnAnsweredOpeningGoesWhereTheFlowIs(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Packet(opening(1), start)
	rig.Packet(later(1, first.Server.Token, 100, 0, Flags{}), start)
	assert.Equal(t, rig.Packet(opening(1), start).Server.Name, first.Server.Name)
}

func TestASilentServersOpeningIsSentToAnother(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Packet(opening(1), start)
	now := start.Add(answerTimeout)
	_, early := rig.Overdue(now, now.Add(-1))
	assert.Assert(t, !early, "an answer may still wait to be read")
	retry, ok := rig.Overdue(now, now)
	assert.Assert(t, ok)
	assert.Equal(t, retry.Reason, Retried)
	assert.Equal(t, string(retry.Raw), "opening")
	assert.Assert(t, retry.Server.Name != first.Server.Name)
	_, again := rig.Overdue(now, now)
	assert.Assert(t, !again)
}

func TestAnAnsweredOpeningIsNotRetried(t *testing.T) {
	rig := newRig("a", "b")
	first := rig.Packet(opening(1), start)
	rig.Packet(later(1, first.Server.Token, 100, 0, Flags{}), start)
	now := start.Add(time.Second)
	_, ok := rig.Overdue(now, now)
	assert.Assert(t, !ok)
}

// silence opens flows that nobody answers, all at one time, and lets them become overdue.
func (rig *rig) silence(flows int, at time.Time) {
	for i := range flows {
		rig.Packet(opening(uint16(100+i)), at)
	}
	now := at.Add(answerTimeout)
	for {
		if _, ok := rig.Overdue(now, now); !ok {
			return
		}
	}
}

func TestSilenceIsNoEvidenceWhileNoAnswersCome(t *testing.T) {
	rig := newRig("a", "b", "c")
	rig.silence(30, start)
	assert.Equal(t, len(rig.held), 0, "the callers' packets may go to another instance now")
}

func TestSilenceOfOneServerHoldsItOff(t *testing.T) {
	rig := newRig("a", "b", "c")
	for i := range uint16(60) {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		verdict := rig.Packet(opening(i), at)
		if verdict.Server.Name != "a" {
			rig.Packet(later(i, verdict.Server.Token, 100, 0, Flags{}), at)
		}
		for retry, ok := rig.Overdue(at, at); ok; retry, ok = rig.Overdue(at, at) {
			if retry.Server.Name != "a" {
				rig.Packet(later(retry.Flow.Caller.Port(), retry.Server.Token, 100, 0, Flags{}), at)
			}
		}
	}
	assert.DeepEqual(t, rig.held, []string{"a"})
}

func TestAFlowsEndIsSummed(t *testing.T) {
	rig := newRig("a")
	rig.Packet(opening(1), start)
	token := tokenOf("a")
	rig.Packet(later(1, token, 100, 0, Flags{}), start.Add(10*time.Millisecond))
	rig.Packet(later(1, token, 100, 50, Flags{}), start.Add(10*time.Millisecond))
	rig.Packet(later(1, token, 1100, 0, Flags{}), start.Add(60*time.Millisecond))
	rig.Packet(later(1, token, 1100, 0, Flags{FIN: true}), start.Add(60*time.Millisecond))
	assert.Equal(t, len(rig.ended), 1)
	summary := rig.ended[0]
	assert.Equal(t, summary.Opening, 10*time.Millisecond)
	assert.Equal(t, summary.Response, 50*time.Millisecond)
	assert.Equal(t, summary.Bytes, uint32(1000))
	assert.Equal(t, summary.End, Finished)
	assert.Equal(t, len(rig.flows), 0)
	assert.DeepEqual(t, rig.lengths, []uint32{1000})
}

func TestTheLastResponseOfAFlowIsExamined(t *testing.T) {
	rig := newRig("a")
	rig.Packet(opening(1), start)
	token := tokenOf("a")
	rig.Packet(later(1, token, 100, 0, Flags{}), start)
	for _, acknowledged := range []uint32{100, 1100} {
		rig.Packet(later(1, token, acknowledged, 50, Flags{}), start)
	}
	rig.Packet(later(1, token, 1300, 0, Flags{FIN: true}), start.Add(time.Millisecond))
	assert.DeepEqual(t, rig.lengths, []uint32{200})
}

// load counts the flows that are open at each server, as the placer is told.
type load struct {
	*placer.Placer
	open map[string]int
}

func (load *load) Opened(server *viewer.BackendServer, now time.Time) {
	load.open[server.Name]++
	load.Placer.Opened(server, now)
}

func (load *load) Closed(server *viewer.BackendServer, now time.Time) {
	load.open[server.Name]--
	load.Placer.Closed(server, now)
}

func TestAFlowThatPausesIsNoLoad(t *testing.T) {
	rig := newRig("a")
	load := &load{Placer: rig.placer.(*placer.Placer), open: map[string]int{}}
	rig.placer = load
	token := tokenOf("a")
	rig.Packet(opening(1), start)
	rig.Packet(opening(1), start.Add(200*time.Millisecond))
	rig.Packet(later(1, token, 100, 50, Flags{}), start.Add(300*time.Millisecond))
	assert.Equal(t, load.open["a"], 1)
	pause := start.Add(5 * time.Second)
	rig.Overdue(pause, start)
	assert.Equal(t, load.open["a"], 0)
	rig.Packet(later(1, token, 1100, 50, Flags{}), pause)
	assert.Equal(t, load.open["a"], 1)
	rig.Packet(later(1, token, 2100, 0, Flags{FIN: true}), pause)
	assert.Equal(t, load.open["a"], 0)
}

func TestForgottenFlowsAreNoLoad(t *testing.T) {
	rig := newRig("a")
	rig.Packet(opening(1), start)
	now := start.Add(time.Minute)
	rig.Overdue(now, start)
	assert.Equal(t, len(rig.flows), 0)
	assert.Equal(t, len(rig.ended), 1)
	assert.Assert(t, !rig.ended[0].Accepted)
	assert.Equal(t, rig.ended[0].End, FellQuiet)
}

func TestRoutesAreDividedByWeight(t *testing.T) {
	rig := newRig("a")
	route := &viewer.Route{Shares: []viewer.Share{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	drawn := map[string]int{}
	for range 1000 {
		drawn[rig.service(route)]++
	}
	assert.Assert(t, drawn["y"] > 60 && drawn["y"] < 140, "%v", drawn)
	assert.Equal(t, drawn["x"]+drawn["y"], 1000)
}
