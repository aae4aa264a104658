package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

// data is a packet with data of a flow at server a.
func data(port uint16, sequence, acknowledgment uint32) *Packet {
	packet := laterPacket(port, tokenOf("a"), acknowledgment, 50, Flags{})
	packet.Sequence = sequence
	return packet
}

// exchange plays a request that server b answers within a millisecond, some milliseconds after the start.
func (harness *harness) exchange(at int) {
	acknowledgment := uint32(100_000 + at)
	harness.Decide(laterPacket(60_000, tokenOf("b"), acknowledgment, 50, Flags{}), after(at))
	harness.Decide(laterPacket(60_000, tokenOf("b"), acknowledgment+1, 0, Flags{}), after(at+1))
}

// after returns the time some milliseconds after the start, when the list changes.
func after(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// dueResets runs everything that is due until a time and returns the resets of idle flows.
func (harness *harness) dueResets(until time.Time) []Verdict {
	var resets []Verdict
	for now := start; !now.After(until); now = now.Add(10 * time.Millisecond) {
		for verdict, ok := harness.Next(now, start); ok; verdict, ok = harness.Next(now, start) {
			resets = append(resets, verdict)
		}
	}
	return resets
}

func TestDataOfAServerThatHasEndedIsReset(t *testing.T) {
	type step struct {
		at     int // milliseconds after the removal of a
		packet *Packet
		want   Action
	}
	cases := []struct {
		name    string
		prepare func(harness *harness)
		steps   []step
	}{
		{"its second copy", nil, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Reset}}},
		{"not a copy that the network makes", nil, []step{{400, data(1, 7, 100), Send}, {410, data(1, 7, 100), Send}}},
		{"at once after another flow was left unanswered", nil, []step{
			{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Reset}, {1010, data(2, 7, 900), Reset}, {1020, laterPacket(3, tokenOf("a"), 5, 0, Flags{}), Send},
		}},
		{"not while it serves other flows", nil, []step{
			{400, data(2, 7, 100), Send}, {450, data(2, 57, 900), Send}, {460, data(1, 7, 100), Send}, {660, data(1, 7, 100), Send}, {1060, data(1, 7, 100), Send},
		}},
		{"although a request acknowledges what came long before", nil, []step{{-500, data(2, 7, 100), Send}, {400, data(2, 57, 900), Send}, {460, data(1, 7, 100), Send}, {660, data(1, 7, 100), Send}, {1060, data(1, 7, 100), Reset}}},
		{"when it has served none for a time", nil, []step{
			{400, data(2, 7, 100), Send}, {450, data(2, 57, 900), Send}, {4000, data(1, 7, 100), Send}, {4200, data(1, 7, 100), Send}, {4600, data(1, 7, 100), Reset},
		}},
		{"an upload whose data is acknowledged", nil, []step{
			{400, data(1, 7, 100), Send}, {500, data(1, 7+windowLength, 100), Send}, {1000, data(1, 7, 100), Send},
		}},
		{"not while the store may have lost its entry", func(harness *harness) {
			harness.viewer.DoubtMissingUntil(start.Add(time.Hour))
			harness.applyServers(2, "b")
		}, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Send}}},
		{"not if most servers are missing", func(harness *harness) { harness.applyServers(2) }, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Send}}},
		{"if most servers are missing for long", func(harness *harness) { harness.applyServers(2) }, []step{{2600, data(1, 7, 100), Send}, {2800, data(1, 7, 100), Send}, {3200, data(1, 7, 100), Reset}}},
		{"not if its entry exists and cannot be read", func(harness *harness) {
			list := *harness.viewer.Current().Servers
			list.Revision, list.List, list.Unreadable = 2, list.List[1:], []string{"a"}
			harness.viewer.ApplyServers(&list, start)
		}, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Send}}},
		{"listed again", func(harness *harness) {
			harness.applyServers(2, "b")
			harness.applyServers(3, "a", "b")
		}, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Send}}},
		{"just after a pause", func(harness *harness) { harness.justResumed = true }, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}, {1000, data(1, 7, 100), Send}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness("a", "b")
			if c.prepare != nil {
				c.prepare(harness)
			}
			harness.applyServers(2, "b") // has no effect if prepare has removed it
			for _, step := range c.steps {
				harness.exchange(step.at - 10)
				harness.Next(after(step.at), start)
				verdict := harness.Decide(step.packet, after(step.at))
				assert.Equal(t, verdict.Action, step.want, "at %d ms", step.at)
				if step.want == Reset {
					assert.Equal(t, verdict.ResetSequence, step.packet.Acknowledgment)
				}
			}
		})
	}
}

func TestNoFlowIsResetIfFlowsAreKept(t *testing.T) {
	harness := newHarness("a", "b")
	harness.KeepFlows(true)
	harness.Decide(data(1, 7, 100), start)
	harness.applyServers(2, "b")
	for _, at := range []int{400, 600, 1000, 1800} {
		harness.Next(after(at), start)
		assert.Equal(t, harness.Decide(data(1, 7, 100), after(at)).Action, Send, "at %d ms", at)
	}
}

func TestResetsOfIdleFlowsAreSpread(t *testing.T) {
	harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	for port := range uint16(200) {
		harness.Decide(laterPacket(port, tokenOf("a"), 900, 0, Flags{}), start)
	}
	signs.declare(0, after(10_000))
	early := len(harness.dueResets(after(100)))
	assert.Assert(t, early > 0 && early <= 100, "%d flows in 0.1 s", early)
	assert.Equal(t, early+len(harness.dueResets(after(5000))), 200)
	assert.DeepEqual(t, harness.reset, []string{"a 200"})
	assert.Equal(t, harness.WakeTime(), after(10_000), "the end of the declaration")
	assert.Equal(t, len(harness.dueResets(after(11_000))), 0)
	assert.Assert(t, harness.WakeTime().IsZero())
}

func TestFollowedFlowsAreBounded(t *testing.T) {
	follower := newFollower()
	for number := range maxFollowedFlows + 10 {
		follower.observe(laterPacket(uint16(number), 1, 1, 0, Flags{}), &viewer.BackendServer{Token: 1}, start)
	}
	assert.Equal(t, len(follower.flows), maxFollowedFlows)
	follower.expire(start.Add(followTime + 1))
	assert.Equal(t, len(follower.flows), 0)
}

// signs is a detector that records the signs passed to it and declares what a test sets.
type signs struct {
	stopped    []time.Time // until when callers have stopped to retransmit
	silences   *detector.Silences
	alive      []time.Time
	unanswered []time.Time // when the copies were sent that had no answer
	openings   []string    // servers that left them unanswered
	holds      *detector.Silences
	answered   bool // elsewhere
}

func (signs *signs) RecordLife(_ *viewer.BackendServer, at time.Time) {
	signs.alive = append(signs.alive, at)
}

func (signs *signs) RecordUnanswered(_ *viewer.BackendServer, _ uint32, askedAt time.Time, _ time.Duration, _ time.Time) {
	signs.unanswered = append(signs.unanswered, askedAt)
}

func (signs *signs) RecordAnswered(_ *viewer.BackendServer, until time.Time) {
	signs.stopped = append(signs.stopped, until)
}

func (signs *signs) RecordUnansweredOpening(server *viewer.BackendServer, _ uint32, _ time.Duration, _ bool, _ time.Time) {
	signs.openings = append(signs.openings, server.Name)
}

func (signs *signs) AnsweredSince(*viewer.BackendServer, time.Time, time.Time) (time.Duration, bool) {
	return 0, signs.answered
}

func (signs *signs) Holds() *detector.Silences { return signs.holds }

func (signs *signs) Silences() *detector.Silences { return signs.silences }

// declare declares server a silent for a time.
func (signs *signs) declare(startedAt int64, until time.Time) {
	server := detector.Server{Token: tokenOf("a"), StartedAt: startedAt}
	signs.silences = &detector.Silences{server: {Server: server, Since: after(-600), Until: until}}
}

func TestFlowsOfASilentServerAreReset(t *testing.T) {
	cases := []struct {
		name   string
		change func(harness *harness, signs *signs)
		resets int // of flows
		data   Action
	}{
		{"all of them, and further data at once", func(_ *harness, signs *signs) { signs.declare(0, after(3000)) }, 2, Reset},
		{"none of an earlier incarnation", func(_ *harness, signs *signs) { signs.declare(7, after(3000)) }, 0, Send},
		{"none after the declaration has ended", func(_ *harness, signs *signs) { signs.declare(0, after(0)) }, 0, Send},
		{"none after it was taken back", func(harness *harness, signs *signs) {
			signs.declare(0, after(3000))
			harness.Next(start, start) // the first of them is reset here
			signs.silences = &detector.Silences{}
		}, 0, Send},
		{"none of a server that answers here", func(harness *harness, signs *signs) {
			signs.declare(0, after(3000))
			harness.Next(start, start)
			harness.Decide(laterPacket(1, tokenOf("a"), 900, 0, Flags{}), start)
			harness.Decide(laterPacket(2, tokenOf("a"), 1800, 0, Flags{}), start)
		}, 0, Send},
		{"none just after a pause", func(harness *harness, signs *signs) {
			signs.declare(0, after(3000))
			harness.justResumed = true
		}, 0, Send},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			harness.Decide(data(1, 7, 100), after(-600))
			harness.Decide(laterPacket(2, tokenOf("a"), 900, 0, Flags{}), after(-600))
			harness.Decide(laterPacket(5, tokenOf("b"), 900, 0, Flags{}), after(-600))
			c.change(harness, signs)
			assert.Equal(t, len(harness.dueResets(after(1000))), c.resets)
			assert.Equal(t, harness.Decide(data(4, 7, 100), after(1000)).Action, c.data)
		})
	}
}

func TestNoFlowIsResetAfterAPauseByAnEarlierDeclaration(t *testing.T) {
	harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	for port := range uint16(2000) {
		harness.Decide(laterPacket(port, tokenOf("a"), 900, 0, Flags{}), start)
	}
	signs.declare(0, after(3000))
	assert.Assert(t, len(harness.dueResets(after(100))) > 0)
	harness.justResumed = true
	resets := 0
	for now := after(20_000); now.Before(after(20_900)); now = now.Add(10 * time.Millisecond) {
		for _, ok := harness.Next(now, start); ok; _, ok = harness.Next(now, start) {
			resets++
		}
	}
	assert.Equal(t, resets, 0)
}

// A server whose entry has lapsed lives; one flow had to wait, by a short stall, and then no packet
// that could show that it answers reached it any more.
func TestServerThatWasSlowOnceIsTriedAgain(t *testing.T) {
	harness := newHarness("a", "b")
	harness.Decide(data(1, 7, 100), start)
	harness.Decide(data(2, 7, 100), start)
	harness.applyServers(2, "b")
	harness.Next(start, start)
	harness.Decide(data(1, 7, 100), after(200))
	harness.exchange(500)
	assert.Equal(t, harness.Decide(data(1, 7, 100), after(600)).Action, Reset)
	assert.Equal(t, harness.Decide(data(2, 57, 100), after(1500)).Action, Reset)
	assert.Equal(t, harness.Decide(data(3, 7, 100), after(4000)).Action, Send)
}

func TestSignsOfServersAreReported(t *testing.T) {
	cases := []struct {
		name    string
		packets map[int]*Packet // by milliseconds
		alive   []time.Time
	}{
		{"an answer that its caller acknowledges", map[int]*Packet{0: data(1, 7, 100), 40: laterPacket(1, tokenOf("a"), 900, 0, Flags{})}, []time.Time{after(40)}},
		{"one acknowledged with the next request may be as old as the last packet", map[int]*Packet{0: data(1, 7, 100), 4000: data(1, 57, 900)}, []time.Time{after(0)}},
		{"or with the end of the flow", map[int]*Packet{0: data(1, 7, 100), 4000: laterPacket(1, tokenOf("a"), 900, 0, Flags{FIN: true})}, []time.Time{after(0)}},
		{"not of what was answered", map[int]*Packet{0: data(1, 7, 100), 40: laterPacket(1, tokenOf("a"), 900, 0, Flags{}), 200: data(1, 7, 900)}, []time.Time{after(40)}},
		{"not of another flow from the same port", map[int]*Packet{0: data(1, 7, 100), 4000: laterPacket(1, tokenOf("a"), 1<<30, 0, Flags{}), 4010: data(1, 7, 1<<30)}, nil},
		{"not the first packet that arrives here", map[int]*Packet{0: laterPacket(1, tokenOf("a"), 900, 0, Flags{})}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			for at := range 5000 {
				if packet := c.packets[at]; packet != nil {
					harness.Decide(packet, after(at))
				}
			}
			assert.DeepEqual(t, signs.alive, c.alive)
			assert.Equal(t, len(signs.unanswered), 0)
		})
	}
}

func TestAnsweredOpeningIsASignOfLife(t *testing.T) {
	harness, signs := newHarness("a"), &signs{silences: &detector.Silences{}}
	harness.SetDetector(signs)
	harness.Decide(opening(1), start)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), after(10))
	assert.DeepEqual(t, signs.alive, []time.Time{start})
}

func TestLifeSignOfARetriedFlowIsNotTooNew(t *testing.T) {
	cases := []struct {
		name     string
		servers  []string
		answered bool // by the first server, otherwise by the last
		want     []time.Time
	}{
		{"answered by the first server", []string{"a", "b"}, true, nil},
		{"answered by the last server", []string{"a", "b"}, false, []time.Time{after(200)}},
		{"answered by the only server, to either copy", []string{"a"}, false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness(c.servers...), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			first := harness.Decide(opening(1), start).Server
			last := harness.Decide(opening(1), after(200)).Server
			if c.answered {
				last = first
			}
			harness.Decide(laterPacket(1, last.Token, 100, 0, Flags{}), after(210))
			assert.DeepEqual(t, signs.alive, c.want)
		})
	}
}
