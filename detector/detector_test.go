package detector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

// sendRequests makes callers send one request each through some instances in turn, every 100 ms,
// which server 0 is to answer.
func (fleet *fleet) sendRequests(instances []int, duration time.Duration) {
	for i := range int(duration / (100 * time.Millisecond)) {
		fleet.send(instances[i%len(instances)], 0)
		fleet.advance(100 * time.Millisecond)
	}
}

func TestServerIsDeclaredSilent(t *testing.T) {
	first, second := []int{0, 1, 2, 3}, []int{4, 5, 6, 7}
	cases := []struct {
		name string
		play func(fleet *fleet)
		want []int // instances for which it is silent
	}{
		{"one that answers nobody, for the failure domain whose callers wait", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 2*time.Second)
		}, first},
		{"not one that answers", func(fleet *fleet) { fleet.sendRequests(first, 2*time.Second) }, nil},
		{"not while callers wait at one instance only", func(fleet *fleet) {
			fleet.instances[2].cutFromServers = true
			fleet.sendRequests([]int{2}, 2*time.Second)
		}, nil},
		{"not one that answers another instance, whose callers are few", func(fleet *fleet) {
			fleet.instances[1].cutFromServers, fleet.instances[2].cutFromServers = true, true
			for range 10 {
				fleet.sendRequests([]int{1, 2}, 400*time.Millisecond)
				fleet.sendRequests([]int{3}, 100*time.Millisecond)
			}
		}, nil},
		{"not one that answers the leaders of another domain", func(fleet *fleet) {
			for _, i := range first {
				fleet.instances[i].cutFromServers = true
			}
			for range 10 {
				fleet.sendRequests(first, 400*time.Millisecond)
				fleet.sendRequests([]int{4}, 100*time.Millisecond)
			}
		}, nil},
		{"one behind a cut between the domains, for one side", func(fleet *fleet) {
			for _, i := range first {
				fleet.instances[i].cutFromServers, fleet.instances[i].cutFromDomains = true, true
			}
			for range 20 {
				fleet.sendRequests(first, 400*time.Millisecond)
				fleet.sendRequests(second, 100*time.Millisecond)
			}
		}, first},
		{"also for a domain with one caller that waits, after the other has found it", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 900*time.Millisecond)
			fleet.sendRequests([]int{6}, 100*time.Millisecond)
			fleet.advance(900 * time.Millisecond)
		}, append(first, second...)},
		{"not for a domain without one", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 1900*time.Millisecond)
		}, first},
		{"not by leaders that are paused", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.instances[0].paused, fleet.instances[1].paused = true, true
			fleet.sendRequests([]int{2, 3}, 2*time.Second)
		}, nil},
		{"one that falls silent while the routers change their set", func(fleet *fleet) {
			fleet.servers[0].down = true
			for range 4 {
				fleet.sendRequests(first, 500*time.Millisecond)
				fleet.moveFlows()
			}
		}, first},
		{"not for one caller whose flow the routers move", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.send(0, 0)
			for _, next := range []int{2, 3} {
				fleet.advance(500 * time.Millisecond)
				fleet.requests[0].instance = next
			}
			fleet.advance(time.Second)
		}, nil},
		{"not one that restarts", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 300*time.Millisecond)
			fleet.servers[0].down, fleet.servers[0].server.StartedAt = false, 1
			fleet.sendRequests(first, 2*time.Second)
		}, nil},
		{"not when most servers look silent", func(fleet *fleet) {
			for i := range fleet.servers {
				fleet.servers[i].down = true
			}
			for range 40 {
				for i := range fleet.servers {
					fleet.send(first[fleet.random.IntN(4)], i)
				}
				fleet.advance(50 * time.Millisecond)
			}
		}, nil},
		{"not once it answers again", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 2*time.Second)
			fleet.servers[0].down = false
			fleet.instances[2].detector.RecordLife(&fleet.servers[0].server, fleet.now) // of a flow that was not reset yet
			fleet.advance(300 * time.Millisecond)
		}, nil},
		{"not for longer than callers wait", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.sendRequests(first, 2*time.Second)
			fleet.advance(silenceTime)
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(1)
			fleet.warmUp()
			c.play(fleet)
			var silent []int
			for i, instance := range fleet.instances {
				if instance.detector.IsSilent(NewServer(&fleet.servers[0].server), fleet.now) {
					silent = append(silent, i)
				}
			}
			assert.DeepEqual(t, silent, c.want)
		})
	}
}

// Guards against review/11 and review/6: data that callers had retransmitted once, as those of a queue
// do, counted as a sign of silence, also for servers that were removed from the list.
func TestServerIsSilentOnceCopiesOfDataHadNoAnswer(t *testing.T) {
	const onceOnly, again = 590 * time.Millisecond, 1100 * time.Millisecond // for which callers retransmit
	cases := []struct {
		name string
		play func(fleet *fleet)
		want int // instances for which it is silent
	}{
		{"two callers that retransmit again, in their failure domain", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.send(2, 0)
			fleet.send(3, 0)
			fleet.advance(again)
		}, domainSize},
		{"not many that retransmit once", func(fleet *fleet) {
			fleet.servers[0].down = true
			for i := range 4 * domainSize {
				fleet.send(i%domainSize, 0)
			}
			fleet.advance(onceOnly)
		}, 0},
		{"not with one", func(fleet *fleet) {
			fleet.servers[0].down = true
			fleet.send(2, 0)
			fleet.advance(again)
		}, 0},
		{"not without one", func(fleet *fleet) { fleet.servers[0].down = true; fleet.advance(5 * time.Second) }, 0},
		{"not if it lives and nobody uses it", func(fleet *fleet) { fleet.advance(5 * time.Second) }, 0},
		{"not if it answers others", func(fleet *fleet) {
			fleet.instances[2].cutFromServers = true
			fleet.instances[3].cutFromServers = true
			fleet.send(2, 0)
			fleet.send(3, 0)
			fleet.sendRequests([]int{1}, again)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFleet(1)
			fleet.warmUp()
			fleet.advance(2 * time.Second)
			c.play(fleet)
			silent := 0
			for _, instance := range fleet.instances {
				if instance.detector.IsSilent(NewServer(&fleet.servers[0].server), fleet.now) {
					silent++
				}
			}
			assert.Equal(t, silent, c.want)
		})
	}
}

func TestServersThatFallSilentAreKnownSoon(t *testing.T) {
	fleet := newFleet(1)
	fleet.warmUp()
	fleet.servers[0].down = true
	downAt := fleet.now
	for !fleet.instances[3].detector.IsSilent(NewServer(&fleet.servers[0].server), fleet.now) {
		fleet.sendRequests([]int{0, 1, 2, 3}, 400*time.Millisecond)
		assert.Assert(t, fleet.now.Sub(downAt) < 1500*time.Millisecond, "not known after %s", fleet.now.Sub(downAt))
	}
}

func TestNothingIsSentWhileAllIsCalm(t *testing.T) {
	fleet := newFleet(1)
	fleet.warmUp()
	fleet.sent = 0
	fleet.sendRequests([]int{0, 1, 2, 3, 4, 5, 6, 7}, 10*time.Second)
	assert.Equal(t, fleet.sent, 0)
}

func TestMessagesAreFewWhileManyServersAreSilent(t *testing.T) {
	fleet := newFleet(1)
	fleet.warmUp()
	fleet.sent = 0
	for i := range fleet.servers[:4] {
		fleet.servers[i].down = true
	}
	for range 200 {
		fleet.send(fleet.random.IntN(8), fleet.random.IntN(len(fleet.servers)))
		fleet.advance(20 * time.Millisecond)
	}
	rate := float64(fleet.sent) / 8 / 4
	assert.Assert(t, rate <= 30, "%.0f datagrams a second and instance", rate)
}

func TestPausedInstanceForgetsWhatItKnew(t *testing.T) {
	fleet := newFleet(1)
	fleet.warmUp()
	fleet.servers[0].down = true
	fleet.sendRequests([]int{0, 1, 2, 3}, 2*time.Second)
	instance := fleet.instances[0].detector
	server := NewServer(&fleet.servers[0].server)
	assert.Assert(t, instance.IsSilent(server, fleet.now))
	instance.Forget()
	assert.Assert(t, !instance.IsSilent(server, fleet.now))
	assert.Assert(t, !instance.Sweep(fleet.now))
}

// TestNoServerIsSilentThatHasJustAnswered plays random requests while servers, paths, cuts and
// instances change, and checks each declaration that an instance puts in force: no other
// instance of the failure domain that runs has seen the server answer since callers began to wait,
// up to the last question.
func TestNoServerIsSilentThatHasJustAnswered(t *testing.T) {
	declared := 0
	for seed := range uint64(300) {
		fleet := newFleet(seed)
		fleet.warmUp()
		servers := 3 + 5*int(seed%2) // more than half of all may look silent with 8
		for range 400 {
			fleet.change(servers)
			for range fleet.random.IntN(2 * servers) {
				fleet.send(fleet.random.IntN(len(fleet.instances)), fleet.random.IntN(servers))
			}
			fleet.advance(20 * time.Millisecond)
			declared += fleet.checkNewSilences(t, seed)
		}
	}
	assert.Assert(t, declared > 100, "%d declarations show little", declared)
}

func TestServerWhoseQueueIsLongIsNotDeclaredSilent(t *testing.T) {
	const copied, copiedAgain = 200 * time.Millisecond, 600 * time.Millisecond
	cases := []struct {
		name string
		sign Unanswered // of two flows at another instance, beside openings that are unanswered here
		want bool
	}{
		{"openings that the queue does not take", Unanswered{For: copied, Opening: true}, false},
		{"callers that retransmit, as a program from before questions reports them", Unanswered{For: copied}, false},
		{"callers that such a program has read late", Unanswered{For: copiedAgain}, false},
		{"callers whose copies had no answer", Unanswered{For: copiedAgain, Asked: copiedAgain - copied}, true},
		{"a single one, whose copies may have been lost", Unanswered{For: copiedAgain, Asked: copiedAgain - copied, Flow: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			leader := NewDetector(&testInstance{})
			server := &viewer.BackendServer{Token: 1}
			leader.RecordLife(server, now.Add(-2*time.Second))
			var signs Message
			for flow := range uint32(2) {
				leader.RecordUnansweredOpening(server, flow, 300*time.Millisecond, false, now)
				sign := c.sign
				sign.Server = NewServer(server)
				if sign.Flow == 0 {
					sign.Flow = 10 + flow
				}
				signs.Unanswered = append(signs.Unanswered, sign)
			}
			place := Place{IsLeader: true, DomainInstances: 2, Servers: 9}
			leader.Receive("lb-2", &signs, true, place, now, now)
			for range 8 {
				leader.Next(place, now, now)
				now = now.Add(100 * time.Millisecond)
			}
			assert.Equal(t, leader.IsSilent(NewServer(server), now), c.want)
		})
	}
}

// Guards against a sign that outlives its caller's wait: a server that was back for longer than a second was
// declared silent by a copy from before.
func TestSignOfSilenceLapsesOnceTheNextCopyIsOverdue(t *testing.T) {
	for gap, want := range map[time.Duration]bool{800 * time.Millisecond: true, 1400 * time.Millisecond: false} {
		now := time.Now()
		server := &viewer.BackendServer{Token: 1}
		leader, place := NewDetector(&testInstance{}), Place{IsLeader: true, DomainInstances: 2, Servers: 9}
		leader.RecordLife(server, now.Add(-2*time.Second))
		leader.RecordUnanswered(server, 1, now.Add(-400*time.Millisecond), 600*time.Millisecond, now)
		leader.Next(place, now, now)
		now = now.Add(gap)
		sign := Unanswered{Server: NewServer(server), Flow: 2, For: 600 * time.Millisecond, Asked: 400 * time.Millisecond}
		leader.Receive("lb-2", &Message{Unanswered: []Unanswered{sign}}, true, place, now, now)
		for range 4 {
			leader.Next(place, now, now)
			now = now.Add(100 * time.Millisecond)
		}
		assert.Equal(t, leader.IsSilent(NewServer(server), now), want, "%s later", gap)
	}
}

// newLeader returns a leader that has reason to ask who has seen a server alive, and asks.
func newLeader(server *viewer.BackendServer, now time.Time) (*Detector, Place) {
	leader, place := NewDetector(&testInstance{}), Place{IsLeader: true, DomainInstances: 2, Servers: 9}
	leader.RecordLife(server, now.Add(-2*time.Second))
	leader.RecordUnanswered(server, 1, now.Add(-400*time.Millisecond), 600*time.Millisecond, now)
	sign := Unanswered{Server: NewServer(server), Flow: 2, For: 600 * time.Millisecond, Asked: 400 * time.Millisecond}
	leader.Receive("lb-2", &Message{Unanswered: []Unanswered{sign}}, true, place, now, now)
	leader.Next(place, now, now)
	return leader, place
}

// Guards against a leader that stands still for less than a second after its question, and takes the
// answers that wait in its socket for none.
func TestLeaderDeclaresNothingBeforeItHasReadTheAnswers(t *testing.T) {
	for _, isRead := range []bool{false, true} {
		now := time.Now()
		server := &viewer.BackendServer{Token: 1}
		leader, place := newLeader(server, now)
		for range 2 {
			now = now.Add(150 * time.Millisecond)
			drained := now
			if !isRead {
				drained = now.Add(-280 * time.Millisecond)
			}
			leader.Next(place, now, drained)
		}
		assert.Equal(t, leader.IsSilent(NewServer(server), now), isRead)
	}
}

// Guards against an instance that stands still, reads a question or a declaration late, and takes its
// age from then: it denies life that it has seen since.
func TestInstanceAnswersByWhenAQuestionArrived(t *testing.T) {
	now := time.Now()
	server := &viewer.BackendServer{Token: 1}
	member := NewDetector(&testInstance{})
	member.RecordLife(server, now.Add(-time.Second))
	asked := ServerAge{Server: NewServer(server), Age: 600 * time.Millisecond}
	sentBy := now.Add(-900 * time.Millisecond)
	answer := member.Receive("lb-1", &Message{Questions: []ServerAge{asked}}, true, Place{}, sentBy, now)
	assert.Equal(t, len(answer.Alive), 1)
	answer = member.Receive("lb-1", &Message{Silent: []ServerAge{asked}, Holds: []Hold{{ServerAge: asked, For: time.Second}}}, true, Place{}, sentBy, now)
	assert.Equal(t, len(answer.Alive), 2)
	assert.Assert(t, !member.IsSilent(NewServer(server), now) && !member.IsHeld(NewServer(server), now))
}

func TestSignOfSilenceKeepsItsAgeUntilItIsReported(t *testing.T) {
	now := time.Now()
	reporter, leader := NewDetector(&testInstance{}), NewDetector(&testInstance{})
	server := &viewer.BackendServer{Token: 1}
	reporter.RecordLife(server, now.Add(-2*time.Second))
	place := Place{IsLeader: true, DomainInstances: 2, Servers: 9}
	reporter.reportedAt = now
	reporter.RecordUnanswered(server, 1, now.Add(-600*time.Millisecond), 800*time.Millisecond, now)
	later := now.Add(reportInterval + 100*time.Millisecond)
	for _, outgoing := range reporter.Next(Place{DomainInstances: 2, Servers: 9}, later, later) {
		leader.Receive("lb-2", &outgoing.Message, true, place, later, later)
	}
	assert.Equal(t, len(leader.candidates), 1)
	for _, waiting := range leader.candidates[NewServer(server)].signs {
		assert.Assert(t, waiting.since.Equal(now.Add(-600*time.Millisecond)), "%s later", waiting.since.Sub(now.Add(-600*time.Millisecond)))
	}
}

// Guards against one declaration in place of two, and against one server's life as that of another.
func TestServersThatShareATokenAreJudgedApart(t *testing.T) {
	now := time.Now()
	member := NewDetector(&testInstance{})
	one, other := &viewer.BackendServer{Name: "a", Token: 1, StartedAt: 10}, &viewer.BackendServer{Name: "b", Token: 1, StartedAt: 20}
	silent := []ServerAge{{Server: NewServer(one), Age: time.Second}, {Server: NewServer(other), Age: time.Second}}
	member.Receive("lb-1", &Message{Silent: silent}, true, Place{}, now, now)
	member.Receive("lb-1", &Message{Holds: []Hold{{ServerAge: silent[0], For: time.Second}, {ServerAge: silent[1], For: time.Second}}}, true, Place{}, now, now)
	for _, server := range []*viewer.BackendServer{one, other} {
		assert.Assert(t, member.IsSilent(NewServer(server), now))
		assert.Assert(t, member.IsHeld(NewServer(server), now))
	}
	member.RecordLife(one, now)
	assert.Assert(t, !member.IsSilent(NewServer(one), now) && !member.IsHeld(NewServer(one), now))
	assert.Assert(t, member.IsSilent(NewServer(other), now) && member.IsHeld(NewServer(other), now))
}

// Guards against the same, as leaders see it: few callers that seem to go on among many that have stopped.
func TestServerWhoseCallersStopIsNotDeclaredSilent(t *testing.T) {
	for _, stopsElsewhere := range []bool{false, true} {
		now := time.Now()
		server := &viewer.BackendServer{Token: 1}
		leader, place := newLeader(server, now)
		other := NewDetector(&testInstance{})
		if stopsElsewhere {
			other.RecordAnswered(server, now.Add(-100*time.Millisecond))
		}
		question := Message{Questions: []ServerAge{{Server: NewServer(server), Age: 600 * time.Millisecond}}}
		answer := other.Receive("lb-1", &question, true, Place{}, now, now)
		leader.Receive("lb-2", &answer, true, place, now, now)
		for range 4 {
			now = now.Add(100 * time.Millisecond)
			leader.Next(place, now, now)
		}
		assert.Equal(t, leader.IsSilent(NewServer(server), now), !stopsElsewhere)
	}
}
