package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/viewer"
)

// coldRecorder is a pacer that records what it is told of servers that are cold by their entry.
type coldRecorder struct {
	*countingPacer
	openings, requests int // to cold servers
}

func (recorder *coldRecorder) OpeningSent(server *viewer.BackendServer, _ time.Time) {
	if !server.ColdUntil.IsZero() {
		recorder.openings++
	}
}

func (recorder *coldRecorder) RequestSent(server *viewer.BackendServer, _ time.Time) {
	if !server.ColdUntil.IsZero() {
		recorder.requests++
	}
}

// turnCold applies a list in which all servers have turned cold.
func (harness *harness) turnCold(revision uint64) {
	list := &viewer.Servers{Revision: revision}
	for _, server := range harness.viewer.Current().Servers.List {
		server.ColdUntil = viewer.DeadlineAfter(start, time.Minute)
		list.List = append(list.List, server)
	}
	harness.viewer.ApplyServers(list, start)
}

func TestServerThatTurnsColdLaterIsCountedAsCold(t *testing.T) {
	harness, counting := newPacedHarness(nil, "a")
	recorder := &coldRecorder{countingPacer: counting}
	harness.placer.(*placer.Placer).SetPacer(recorder)
	harness.Decide(opening(1), start)
	harness.Decide(data(1, 7, 100), after(5))
	harness.turnCold(9)
	harness.Decide(opening(1), after(10)) // a late copy
	assert.Equal(t, recorder.openings, 1)
	harness.Decide(laterPacket(1, tokenOf("a"), 400, 0, Flags{}), after(50))
	harness.Decide(data(1, 57, 400), after(60))
	assert.Equal(t, recorder.requests, 1)
}
