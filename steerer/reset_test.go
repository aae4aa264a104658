package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// data is a packet with data of a flow at server a.
func data(port uint16, sequence, acknowledgment uint32) *Packet {
	packet := laterPacket(port, tokenOf("a"), acknowledgment, 50, Flags{})
	packet.Sequence = sequence
	return packet
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
		{"its first copy", nil, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Reset}}},
		{"not a copy that the network makes", nil, []step{{400, data(1, 7, 100), Send}, {410, data(1, 7, 100), Send}}},
		{"at once after another flow was left unanswered", nil, []step{
			{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Reset}, {610, data(2, 7, 900), Reset}, {620, laterPacket(3, tokenOf("a"), 5, 0, Flags{}), Send},
		}},
		{"not while it serves other flows", nil, []step{
			{400, data(2, 7, 100), Send}, {450, data(2, 57, 900), Send}, {460, data(1, 7, 100), Send}, {660, data(1, 7, 100), Send},
		}},
		{"when it has served none for a time", nil, []step{
			{400, data(2, 7, 100), Send}, {450, data(2, 57, 900), Send}, {4000, data(1, 7, 100), Send}, {4200, data(1, 7, 100), Reset},
		}},
		{"an upload whose data is acknowledged", nil, []step{
			{400, data(1, 7, 100), Send}, {500, data(1, 7+windowLength, 100), Send}, {600, data(1, 7, 100), Send},
		}},
		{"listed again", func(harness *harness) { harness.applyServers(3, "a", "b") }, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}}},
		{"just after a pause", func(harness *harness) { harness.justResumed = true }, []step{{400, data(1, 7, 100), Send}, {600, data(1, 7, 100), Send}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness("a", "b")
			harness.applyServers(2, "b")
			if c.prepare != nil {
				c.prepare(harness)
			}
			for _, step := range c.steps {
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

func TestIdleFlowsOfAServerThatHasEndedAreReset(t *testing.T) {
	cases := []struct {
		name   string
		change func(harness *harness)
		want   []uint16 // ports of the flows that are reset
	}{
		{"those that wait for nothing, or in vain", func(harness *harness) { harness.applyServers(2, "b") }, []uint16{1, 4}},
		{"none of listed servers", func(*harness) {}, nil},
		{"none while the store may have lost entries", func(harness *harness) {
			harness.viewer.DoubtMissingUntil(start.Add(time.Hour))
			harness.applyServers(2, "b")
		}, nil},
		{"none if most servers are missing", func(harness *harness) { harness.applyServers(2) }, nil},
		{"none of a server that comes back at once", func(harness *harness) {
			harness.applyServers(2, "b")
			harness.applyServers(3, "a", "b")
		}, nil},
		{"none of a server that still answers", func(harness *harness) {
			harness.applyServers(2, "b")
			harness.Next(start, start)
			harness.Decide(data(3, 7, 900), start)
		}, nil},
		{"none if the entry exists and cannot be read", func(harness *harness) {
			list := *harness.viewer.Current().Servers
			list.Revision, list.List, list.Unreadable = 2, list.List[1:], []string{"a"}
			harness.viewer.ApplyServers(&list, start)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness("a", "b")
			for port, packet := range map[uint16]*Packet{1: data(1, 7, 100), 3: data(3, 7, 100), 4: data(4, 7, 100)} {
				harness.Decide(packet, after(-800))
				if port == 1 {
					harness.Decide(laterPacket(1, packet.Token, 900, 0, Flags{}), after(-700))
				}
			}
			harness.Decide(data(4, 7, 100), after(-600)) // copied, so the server does not answer
			harness.Decide(laterPacket(5, tokenOf("b"), 900, 0, Flags{}), after(-500))
			harness.Decide(laterPacket(6, tokenOf("a"), 900, 0, Flags{}), after(-500))
			harness.Decide(laterPacket(6, tokenOf("a"), 900, 0, Flags{FIN: true}), after(-400))
			c.change(harness)
			got := map[uint16]uint32{}
			for _, verdict := range harness.dueResets(after(1000)) {
				assert.Equal(t, verdict.Action, Reset)
				got[verdict.Flow.CallerAddress.Port()] = verdict.ResetSequence
			}
			want := map[uint16]uint32{}
			for _, port := range c.want {
				want[port] = map[uint16]uint32{1: 900, 4: 100}[port]
			}
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestResetsOfIdleFlowsAreSpread(t *testing.T) {
	harness := newHarness("a", "b")
	for port := range uint16(200) {
		harness.Decide(laterPacket(port, tokenOf("a"), 900, 0, Flags{}), start)
	}
	harness.applyServers(2, "b")
	early := len(harness.dueResets(start.Add(idleResetDelay + 100*time.Millisecond)))
	assert.Assert(t, early > 0 && early <= 100, "%d flows in 0.1 s", early)
	assert.Equal(t, early+len(harness.dueResets(start.Add(5*time.Second))), 200)
	assert.DeepEqual(t, harness.gone, []string{"a 200 false"})
	assert.Assert(t, harness.WakeTime().IsZero())
}

func TestFollowedFlowsAreBounded(t *testing.T) {
	follower := newFollower()
	for number := range maxFollowedFlows + 10 {
		follower.observe(laterPacket(uint16(number), 1, 1, 0, Flags{}), start)
	}
	assert.Equal(t, len(follower.flows), maxFollowedFlows)
	follower.expire(start.Add(followTime + 1))
	assert.Equal(t, len(follower.flows), 0)
}
