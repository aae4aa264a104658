package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/detector"
)

// Guards against review/11 and its like: an instance takes its own delay, or the network's, for a
// server's silence. Callers send data at 0 and copies 200, 600, 1400 and 3000 ms later; a server that
// lives acknowledges the first copy that reaches it.
func TestOnlyACopyWithoutAnswerIsASignOfSilence(t *testing.T) {
	cases := []struct {
		name      string
		data      []int // when an instance reads the data and its copies, in milliseconds
		exchanges []int // when other servers answer here
		asked     []int // the copies that had no answer
	}{
		{"copies without an answer", []int{0, 200, 600}, []int{500}, []int{200}},
		{"each of them", []int{0, 200, 600, 1400}, []int{500, 1300}, []int{200, 600}},
		{"of a flow that the routers moved here", []int{600, 1400, 3000}, []int{2000}, []int{1400}},
		{"not a copy that may be the first that reached the server", []int{0, 200}, []int{100, 190}, nil},
		{"not copies that waited while the instance stood still for 0.9 s", []int{0, 900, 900}, []int{100, 950}, nil},
		{"not with one that is sent afterwards", []int{0, 900, 900, 1400}, []int{1300}, nil},
		{"not copies that it reads one by one as it is starved", []int{0, 850, 1050}, []int{100, 1040}, nil},
		{"not if all that arrives is late", []int{700, 900, 1300}, nil, nil},
		{"not if no exchange began since the copy was sent", []int{0, 200, 600}, []int{150}, nil},
		{"not before the copy was sent again", []int{0, 200, 600}, []int{390}, nil},
		{"not a late copy after the next one", []int{0, 600, 850}, []int{750}, nil},
		{"not copies that come a little too early for each other", []int{400, 600, 930}, []int{900}, nil},
		{"not a copy that is late alone", []int{0, 200, 750}, []int{600}, nil},
		{"not a copy that the network repeats", []int{0, 200, 230, 600}, []int{215}, nil},
		{"not one that it repeats late", []int{0, 200, 450}, []int{400}, nil},
		{"not if the copies come too close", []int{0, 400, 700}, []int{600}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			reads, exchanges := c.data, c.exchanges
			for at := range 4000 {
				for ; len(reads) > 0 && reads[0] == at; reads = reads[1:] {
					harness.Decide(data(1, 7, 100), after(at))
				}
				if len(exchanges) > 0 && exchanges[0] == at {
					exchanges = exchanges[1:]
					harness.exchange(at)
				}
			}
			var asked []time.Time
			for _, at := range c.asked {
				asked = append(asked, after(at))
			}
			assert.DeepEqual(t, signs.unanswered, asked)
		})
	}
}

// Guards against an exchange with the very server that is in question, or with a second one that was
// forgotten for it.
func TestOnlyExchangesWithOtherServersCompare(t *testing.T) {
	a, b, c := detector.Server{Token: 1}, detector.Server{Token: 2}, detector.Server{Token: 3}
	var roundTrips roundTrips
	assert.Assert(t, !roundTrips.othersSince(a, start))
	roundTrips.record(a, after(20))
	assert.Assert(t, !roundTrips.othersSince(a, start) && roundTrips.othersSince(b, start))
	roundTrips.record(b, after(10))
	roundTrips.record(c, after(5))
	roundTrips.record(a, after(15))
	assert.Assert(t, roundTrips.othersSince(a, after(9)) && !roundTrips.othersSince(a, after(10)))
	assert.Assert(t, roundTrips.othersSince(b, after(19)) && !roundTrips.othersSince(b, after(20)))
}

// Guards against review/12: one packet that is lost, the answer to a copy, passed for a server's silence.
func TestCopyIsSentAgainUntilItsFlowGoesOn(t *testing.T) {
	cases := []struct {
		name    string
		answers bool
		want    int
	}{
		{"a copy without an answer", false, 1 + questionRepeats},
		{"a copy that was answered", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness("a", "b")
			harness.SetDetector(&signs{silences: &detector.Silences{}})
			harness.Decide(data(1, 7, 100), start)
			copied := data(1, 7, 100)
			copied.Raw = []byte("copy")
			sent := 0
			if harness.Decide(copied, after(200)).Action == Send {
				sent++
			}
			copied.Raw[0] = 'x' // the buffer is used again
			if c.answers {
				harness.Decide(laterPacket(1, tokenOf("a"), 900, 0, Flags{}), after(210))
			}
			for at := 200; at < 600; at += 10 {
				for verdict, ok := harness.Next(after(at), after(at)); ok; verdict, ok = harness.Next(after(at), after(at)) {
					assert.Equal(t, string(verdict.Raw), "copy")
					assert.Equal(t, verdict.Token, copied.Token)
					sent++
				}
			}
			assert.Equal(t, sent, c.want)
		})
	}
}

// Guards against a late packet that passes for an answer of a few bytes, as of a server that is full: it
// acknowledges less than the one that has overtaken it.
func TestOvertakenPacketIsNoResponse(t *testing.T) {
	harness := newHarness("a", "b")
	harness.Decide(opening(1), start)
	flow := harness.flows[flowOf(1)]
	token := flow.server.Token
	harness.Decide(laterPacket(1, token, 100, 50, Flags{}), after(10))
	harness.Decide(laterPacket(1, token, 900, 0, Flags{}), after(50))
	for _, late := range []*Packet{laterPacket(1, token, 300, 0, Flags{}), laterPacket(1, token, 100, 50, Flags{})} {
		harness.Decide(late, after(700))
		assert.Equal(t, flow.lastAcknowledgment, uint32(900))
		assert.Equal(t, flow.responseTime(), 40*time.Millisecond)
	}
}

// Guards against packets that the network repeats late, which look like further copies: the other callers
// of the server, which have stopped, tell that it answers.
func TestCallerThatStopsHasAnAnswer(t *testing.T) {
	cases := []struct {
		name  string
		later map[int]*Packet // after data at 0 and its copy at 200
		want  []time.Time
	}{
		{"one that stops", nil, []time.Time{after(600)}},
		{"not one that goes on", map[int]*Packet{600: data(1, 7, 100)}, nil},
		{"not one whose answer shows itself", map[int]*Packet{500: laterPacket(1, tokenOf("a"), 900, 0, Flags{})}, nil},
		{"not one whose flow the routers may have moved", map[int]*Packet{300: laterPacket(7, tokenOf("b"), 900, 0, Flags{})}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			harness, signs := newHarness("a", "b"), &signs{silences: &detector.Silences{}}
			harness.SetDetector(signs)
			harness.Decide(data(1, 7, 100), start)
			harness.Decide(data(1, 7, 100), after(200))
			for at := 210; at < 1000; at += 10 {
				if packet := c.later[at]; packet != nil {
					harness.Decide(packet, after(at))
				}
				for _, ok := harness.Next(after(at), after(at)); ok; _, ok = harness.Next(after(at), after(at)) {
				}
			}
			assert.DeepEqual(t, signs.stopped, c.want)
		})
	}
}
