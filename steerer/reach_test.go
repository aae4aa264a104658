package steerer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

func TestInstanceOfEvacuatedDomainLacksServersWhenItIsCutOff(t *testing.T) {
	const long, short, maxCalmAge = 10 * time.Second, 100 * time.Millisecond, 1200 * time.Millisecond
	lacksServers := func(view *viewer.View, domainLeft bool, age time.Duration, answers Answers) bool {
		reach := Reach{FailureDomain: "a", OtherDomainLeft: domainLeft, ViewAge: age, MaxCalmAge: maxCalmAge, Answers: answers}
		return reach.LacksServers(view)
	}
	cases := []struct {
		name      string
		evacuated []string
		age       time.Duration
		answers   Answers
		want      bool
	}{
		{"cut off", []string{"a"}, long, Answers{SinceLast: long}, true},
		{"the view is fresh", []string{"a"}, short, Answers{SinceLast: long}, false},
		{"openings are answered", []string{"a"}, long, Answers{SinceLast: short}, false},
		{"openings are not answered", []string{"a"}, minSilence + short, Answers{SinceLast: minSilence, SilentFor: minSilence}, true},
		{"the view was confirmed since", []string{"a"}, short, Answers{SinceLast: long, SilentFor: long}, false},
		{"openings are not answered yet", []string{"a"}, maxCalmAge, Answers{SinceLast: minSilence, SilentFor: minSilence - 1}, false},
		{"another domain is evacuated", []string{"b"}, long, Answers{SinceLast: long}, false},
		{"none is evacuated", nil, long, Answers{SinceLast: long}, false},
		{"no server is left", []string{"a", "b"}, short, Answers{SinceLast: short}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current := viewer.NewViewer()
			assert.Assert(t, !lacksServers(current.Current(), true, long, Answers{SinceLast: long}), "an instance without a view lacks more than servers")
			current.ApplyServers(&viewer.Servers{Revision: 1, List: []viewer.BackendServer{
				{Name: "1", Token: 1, Service: "desk-sync", FailureDomain: "a", State: parser.Active},
				{Name: "2", Token: 2, Service: "desk-sync", FailureDomain: "b", State: parser.Active},
			}}, time.Now())
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 1, Domains: c.evacuated})
			assert.Equal(t, lacksServers(current.Current(), true, c.age, c.answers), c.want)
			assert.Assert(t, !lacksServers(current.Current(), false, c.age, c.answers), "no other domain is left")
		})
	}
}

// The first caller's answer was on its way when the instance was cut off.
func TestAnswerToAnEarlierOpeningEndsNoSilence(t *testing.T) {
	harness := newHarness("a")
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	harness.Decide(opening(1), at(0))
	for port := range uint16(minSilentOpenings) {
		harness.Decide(opening(port+2), at(100+int(port)))
	}
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), at(300))
	assert.Equal(t, harness.Answers(at(400)).SilentFor, 300*time.Millisecond)
	harness.Decide(laterPacket(4, tokenOf("a"), 100, 0, Flags{}), at(500))
	assert.Equal(t, harness.Answers(at(500)), Answers{})
}

func TestSilenceLastsFromTheFirstOpeningToAnAnswer(t *testing.T) {
	harness := newHarness("a", "b")
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	for port := range uint16(minSilentOpenings) {
		assert.Equal(t, harness.Answers(at(90)).SilentFor, time.Duration(0))
		harness.Decide(opening(1+port), at(10*int(port)))
		harness.Decide(opening(1+port), at(10*int(port)+1))                     // a retransmission is no other flow
		harness.Decide(laterPacket(99, tokenOf("a"), 100, 50, Flags{}), at(40)) // of another instance's flow
	}
	assert.Equal(t, harness.Answers(at(100)).SilentFor, 100*time.Millisecond)
	assert.Assert(t, harness.Answers(at(100)).SinceLast > time.Hour)
	harness.Decide(laterPacket(1, tokenOf("a"), 100, 0, Flags{}), at(110))
	harness.Decide(laterPacket(1, tokenOf("a"), 900, 50, Flags{}), at(150))
	assert.Equal(t, harness.Answers(at(160)), Answers{SinceLast: 50 * time.Millisecond})
}
