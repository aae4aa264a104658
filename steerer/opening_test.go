package steerer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
)

// play opens flows every 10 ms from a time on, and runs the retries that fall due. Servers that
// answer do so at once, unless the routers have taken the answer to another instance.
func (harness *harness) play(from, flows int, answers func(server string, flow int) bool) {
	reply := func(verdict Verdict, flow int, at time.Time) {
		if verdict.Action == Send && answers(verdict.Server.Name, flow) {
			harness.Decide(laterPacket(verdict.Flow.CallerAddress.Port(), verdict.Server.Token, 100, 0, Flags{}), at)
		}
	}
	for i := range flows + 30 {
		at := after(from + 10*i)
		if i < flows {
			reply(harness.Decide(opening(uint16(from+i)), at), i, at)
		}
		for retry, ok := harness.Next(at, at); ok; retry, ok = harness.Next(at, at) {
			reply(retry, int(retry.Flow.CallerAddress.Port())-from, at)
		}
		if flow := i - 20; flow >= 0 && flow < flows && harness.isWaiting(uint16(from+flow)) {
			if answers("", flow) { // its caller retransmits here
				reply(harness.Decide(opening(uint16(from+flow)), at), flow, at)
			}
		}
	}
}

func (harness *harness) isWaiting(port uint16) bool {
	flow := harness.flows[flowOf(port)]
	return flow != nil && !flow.established
}

func TestOwnOpeningsEjectOnlyServersThatAnswerNoCaller(t *testing.T) {
	never := func(string, int) bool { return false }
	cases := []struct {
		name    string
		play    func(harness *harness)
		ejected []string
	}{
		{"one that answers no caller", func(harness *harness) {
			harness.play(0, 40, func(server string, _ int) bool { return server != "a" })
		}, []string{"a"}},
		{"none whose callers the routers moved", func(harness *harness) {
			harness.play(0, 40, func(_ string, flow int) bool { return flow >= 20 })
		}, nil},
		{"none after flows of another instance have come", func(harness *harness) {
			harness.Decide(laterPacket(9000, tokenOf("b"), 100, 10, Flags{}), start)
			harness.play(0, 40, func(server string, _ int) bool { return server != "a" })
		}, nil},
		{"one that falls silent a second later", func(harness *harness) {
			harness.Decide(laterPacket(9000, tokenOf("b"), 100, 10, Flags{}), after(-1100))
			harness.Decide(laterPacket(9000, tokenOf("b"), 200, 0, Flags{}), start)
			harness.play(0, 40, func(server string, _ int) bool { return server != "a" })
		}, []string{"a"}},
		{"none while nobody answers", func(harness *harness) {
			for i := range 10 {
				harness.Decide(opening(uint16(i)), start)
			}
			for at := 0; at <= 400; at += 10 {
				for _, ok := harness.Next(after(at), after(at)); ok; _, ok = harness.Next(after(at), after(at)) {
				}
				if at == 200 || at == 400 {
					for i := range 10 {
						harness.Decide(opening(uint16(i)), after(at))
					}
				}
			}
		}, nil},
		{"none whose callers are gone", func(harness *harness) { harness.play(0, 40, never) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b", "c", "d", "e"), &signs{silences: &detector.Silences{}}
			harness.spreadServers()
			harness.SetDetector(signs)
			c.play(harness)
			assert.DeepEqual(t, harness.ejected, c.ejected)
		})
	}
}

// Guards against an instance that gets to run now and then, reads openings and their copies one after the
// other, and ejects servers whose answers wait behind them.
func TestStarvedInstanceEjectsNoServer(t *testing.T) {
	for _, hasRead := range []bool{false, true} { // an answer to something that was sent after the openings
		harness := newHarness("a", "b")
		harness.SetDetector(&signs{silences: &detector.Silences{}})
		harness.exchange(-2000) // so that its flow is known here
		for port := range uint16(8) {
			harness.Decide(opening(port), start)
		}
		if hasRead {
			harness.exchange(80)
		}
		for port := range uint16(8) {
			harness.Decide(opening(port), after(95))
		}
		assert.Equal(t, len(harness.ejected) > 0, hasRead, "%v", harness.ejected)
	}
}

// spreadServers puts the servers into three failure domains.
func (harness *harness) spreadServers() {
	list := *harness.viewer.Current().Servers
	list.Revision++
	list.List = append(list.List[:0:0], list.List...)
	for i := range list.List {
		list.List[i].FailureDomain = fmt.Sprint("dakar-", 1+i%3)
	}
	harness.viewer.ApplyServers(&list, start)
}

func TestUnansweredOpeningsAreSigns(t *testing.T) {
	cases := []struct {
		name  string
		play  func(harness *harness)
		signs int
	}{
		{"of every server before the one that answered", func(harness *harness) {
			harness.Decide(opening(1), start)
			harness.Next(after(50), after(50))
			last, _ := harness.Next(after(100), after(100))
			harness.Decide(laterPacket(1, last.Server.Token, 100, 0, Flags{}), after(110))
		}, 2},
		{"not of a server that answered late", func(harness *harness) {
			first := harness.Decide(opening(1), start)
			harness.Next(after(50), after(50))
			harness.Decide(laterPacket(1, first.Server.Token, 100, 0, Flags{}), after(60))
		}, 0},
		{"by a retransmission, once for each server", func(harness *harness) {
			harness.Decide(opening(1), start)
			harness.exchange(190)
			harness.Decide(opening(1), after(200))
			harness.Decide(opening(1), after(210)) // a copy that the network made
		}, 1},
		{"not if no server's answer came here in between", func(harness *harness) { // this instance may have stood still
			harness.exchange(-10)
			harness.Decide(opening(1), start)
			harness.Decide(opening(1), after(900))
		}, 0},
		{"not while the caller says nothing", func(harness *harness) {
			harness.Decide(opening(1), start)
			for at := 0; at < 1000; at += 10 {
				harness.Next(after(at), after(at))
			}
		}, 0},
		{"not if flows are kept", func(harness *harness) {
			harness.KeepFlows(true)
			harness.Decide(opening(1), start)
			harness.Decide(opening(1), after(200))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b", "c", "d"), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			c.play(harness)
			assert.Equal(t, len(signs.openings), c.signs, "%v", signs.openings)
		})
	}
}

func TestEjectedServerIsTakenBackOnceByLifeElsewhere(t *testing.T) {
	harness, signs := newHarness("a", "b", "c"), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	silent := func(server string, _ int) bool { return server != "a" }
	harness.play(0, 20, silent)
	assert.DeepEqual(t, harness.ejected, []string{"a"})
	signs.answered = true
	harness.play(300, 40, silent)
	assert.DeepEqual(t, harness.readmitted, []string{"a"})
	assert.DeepEqual(t, harness.ejected, []string{"a", "a"}) // the way from here to it is broken
}

func TestPlacerLooksAgainWhenHoldsChange(t *testing.T) {
	harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	counter := &reexaminations{serverSelector: harness.placer}
	harness.placer = counter
	signs.holds = &detector.Silences{}
	for at := range 50 {
		harness.Next(after(at), after(at))
	}
	assert.Equal(t, counter.count, 1)
	signs.holds = &detector.Silences{}
	harness.Next(after(50), after(50))
	assert.Equal(t, counter.count, 2)
}

// reexaminations counts how often the placer is told to look again.
type reexaminations struct {
	serverSelector
	count int
}

func (reexaminations *reexaminations) ReexamineServers() { reexaminations.count++ }

// The server has ended, and its address resets the callers at once, so they retransmit nothing.
func TestOpeningWhoseCallerGivesUpIsReportedAsLostOnce(t *testing.T) {
	harness := newHarness("a")
	harness.SetDetector(&signs{silences: &detector.Silences{}})
	harness.Decide(opening(1), start)
	harness.applyServers(2, "b")
	harness.Decide(opening(2), after(10))
	harness.Decide(laterPacket(2, tokenOf("b"), 100, 0, Flags{}), after(20))
	harness.Next(after(60), after(60))
	assert.DeepEqual(t, harness.lost, []string{"a"})
	harness.Decide(laterPacket(1, tokenOf("b"), 100, 0, Flags{}), after(200)) // the caller goes on with the copy
	assert.DeepEqual(t, harness.lost, []string{"a"})
}
