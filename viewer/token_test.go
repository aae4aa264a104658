package viewer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testFlows = 50

// checkFlows checks that the flows of a server, whose hashes begin at 0, are found at it.
func checkFlows(t *testing.T, view *View, server BackendServer, name string) {
	t.Helper()
	for flow := range uint32(testFlows) {
		found := view.ServerOfFlow(server.FlowToken(flow), flow)
		assert.Assert(t, found != nil, "%s: no server of flow %d of %s", name, flow, server.Name)
		assert.Equal(t, found.Name, server.Name, "%s: flow %d", name, flow)
	}
}

// Guards against review/8: the elder of two servers with one token was listed second, and got the
// packets of the other's open flows; after c015edb it got them once the other's entry had lapsed.
func TestFlowsStayWithTheirServerWhateverBecomesOfAnotherWithItsToken(t *testing.T) {
	elder, younger, third := server("a", 1, 1), server("b", 1, 5), server("c", 1, 5)
	steps := []struct {
		name   string
		list   []BackendServer
		flows  []BackendServer // whose flows are open
		active []string
	}{
		{"the younger alone", []BackendServer{younger}, []BackendServer{younger}, []string{"b"}},
		{"the elder is listed", []BackendServer{elder, younger}, []BackendServer{elder, younger}, []string{"a", "b"}},
		{"the younger has lapsed", []BackendServer{elder}, []BackendServer{elder, younger}, []string{"a"}},
		{"the younger is back", []BackendServer{elder, younger}, []BackendServer{elder, younger}, []string{"a", "b"}},
		{"the elder has restarted, a third is listed", []BackendServer{server("a", 1, 9), younger, third}, []BackendServer{elder, younger, third}, []string{"a", "b", "c"}},
		{"the elder has lapsed", []BackendServer{younger, third}, []BackendServer{elder, younger, third}, []string{"b", "c"}},
		{"both others have lapsed", []BackendServer{elder}, []BackendServer{elder, younger, third}, []string{"a"}},
	}
	viewer := NewViewer()
	for i, step := range steps {
		viewer.ApplyServers(list(uint64(i+1), step.list...), start)
		view := viewer.Current()
		assert.DeepEqual(t, names(view.ActiveServers("desk-sync")), step.active)
		for _, server := range step.flows {
			checkFlows(t, view, server, step.name)
		}
		first := NewViewer()
		first.ApplyServers(list(uint64(i+1), step.list...), start)
		for _, server := range step.list {
			checkFlows(t, first.Current(), server, "first view, "+step.name)
		}
	}
}

// Guards against instances that disagree on a token, as each has seen other lists before.
func TestInstancesWithOtherHistoriesFindTheSameServer(t *testing.T) {
	random := rand.New(rand.NewPCG(40, 8))
	all := make([]BackendServer, 12)
	for i := range all {
		all[i] = server(fmt.Sprintf("i-%010x", random.Uint64()>>24), uint32(1+i%3), int64(i))
	}
	for range 200 {
		viewers := []*Viewer{NewViewer(), NewViewer(), NewViewer()}
		var last []BackendServer
		for revision := range uint64(6) {
			last = nil
			for _, server := range all {
				if random.IntN(2) == 0 {
					last = append(last, server)
				}
			}
			random.Shuffle(len(last), func(i, j int) { last[i], last[j] = last[j], last[i] })
			for _, viewer := range viewers {
				if revision == 5 || random.IntN(2) == 0 { // otherwise it misses the list
					viewer.ApplyServers(list(revision+1, last...), start)
				}
			}
		}
		for _, viewer := range viewers {
			for _, server := range last {
				checkFlows(t, viewer.Current(), server, "last list")
			}
		}
	}
}

// Guards against a change of what all programs, those of other versions too, read in packets.
func TestFormatOfFlowTokens(t *testing.T) {
	cases := []struct {
		name string
		flow uint32
		want uint32
	}{
		{"i-7f3a91c2", 0, 0xbdbef384},
		{"i-7f3a91c2", 0x9e3779b9, 0xbdbeb5cf},
		{"i-e1ca167df0", 0x9e3779b9, 0x8c34597a},
	}
	for _, c := range cases {
		assert.Equal(t, fmt.Sprintf("%#x", (&BackendServer{Name: c.name}).FlowToken(c.flow)), fmt.Sprintf("%#x", c.want))
	}
}

// sharedFlow returns two servers and the hash of a flow for which they have the same token.
func sharedFlow() (BackendServer, BackendServer, uint32) {
	known := map[uint32]BackendServer{}
	for number := uint32(1); ; number++ {
		found := server(fmt.Sprint("i-", number), number, 1)
		half := found.FlowToken(0) >> flowBits
		other, ok := known[half]
		known[half] = found
		for flow := range uint32(1 << 18) {
			if ok && found.FlowToken(flow) == other.FlowToken(flow) {
				return other, found, flow
			}
		}
	}
}

func TestTokenThatTwoServersHaveNamesNeither(t *testing.T) {
	one, other, flow := sharedFlow()
	viewer := NewViewer()
	viewer.ApplyServers(list(1, one), start)
	assert.Equal(t, viewer.Current().ServerOfFlow(one.FlowToken(flow), flow).Name, one.Name)
	viewer.ApplyServers(list(2, one, other), start)
	view := viewer.Current()
	assert.Assert(t, view.ServerOfFlow(one.FlowToken(flow), flow) == nil)
	assert.Assert(t, view.SharesToken(one.FlowToken(flow), flow))
	assert.Equal(t, view.ServerOfFlow(one.FlowToken(flow+1), flow+1).Name, one.Name)
	assert.Assert(t, !view.SharesToken(one.FlowToken(flow+1), flow+1))
}

func TestTokensOfOlderProgramsAreUnderstood(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(1, server("a", 1, 1), server("b", 2, 1), server("c", 2, 5)), start)
	viewer.ApplyServers(list(2, server("b", 2, 1), server("c", 2, 5)), start.Add(time.Second))
	view := viewer.Current()
	assert.Equal(t, view.ServerOfFlow(1, 7).Name, "a")
	assert.Assert(t, view.ServerOfFlow(2, 7) == nil, "two share it")
	assert.Assert(t, view.SharesToken(2, 7))
	assert.Assert(t, view.ServerOfFlow(3, 7) == nil)
	assert.Assert(t, !view.SharesToken(3, 7))
}
