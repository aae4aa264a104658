package detector

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	openingRetried = 60 * time.Millisecond // from an opening to its caller's packet to the next server
	handshakeTime  = 10 * time.Millisecond
	ejectedAfter   = 2 // openings in a row
	ejectionTime   = 500 * time.Millisecond
)

// opener plays openings of a fleet's callers, with what each instance does alone.
type opener struct {
	*fleet
	waiting    []testOpening
	ejections  map[[2]int]*testEjection // by instance and server
	sent       map[int][]time.Time      // openings that reached no server, by server
	lateBy     time.Duration            // of the servers' answers
	isMoved    bool                     // the routers take the callers' packets to other instances
	held       int                      // openings that instances held back
	readmitted int
}

type testOpening struct {
	instance, server int
	sentAt           time.Time
	flow             uint32
	isAnswered       bool
}

type testEjection struct {
	unanswered int
	sentAt     time.Time // of the last unanswered opening
	until      time.Time
}

func newOpener(seed uint64) *opener {
	fleet := newFleet(seed)
	fleet.warmUp()
	return &opener{fleet: fleet, ejections: map[[2]int]*testEjection{}, sent: map[int][]time.Time{}}
}

func (opener *opener) ejection(instance, server int) *testEjection {
	key := [2]int{instance, server}
	if opener.ejections[key] == nil {
		opener.ejections[key] = &testEjection{}
	}
	return opener.ejections[key]
}

// open makes a caller open a flow, unless the instance keeps openings from the server.
func (opener *opener) open(instance, server int) {
	found := opener.instances[instance]
	if found.paused || opener.now.Before(opener.ejection(instance, server).until) {
		return
	}
	if known := NewServer(&opener.servers[server].server); found.detector.IsHeld(known, opener.now) || found.detector.IsSilent(known, opener.now) {
		opener.held++
		return
	}
	opener.lastFlow++
	isAnswered := opener.reaches(instance, server)
	if !isAnswered {
		opener.fleetSent(server)
	}
	opener.waiting = append(opener.waiting, testOpening{instance: instance, server: server, sentAt: opener.now, flow: opener.lastFlow, isAnswered: isAnswered})
}

func (opener *opener) fleetSent(server int) {
	opener.sent[server] = append(opener.sent[server], opener.now)
}

// run plays the time from now on, in steps, with openings by open in each of them.
func (opener *opener) run(duration time.Duration, open func(step int)) {
	for step := range int(duration / testStep) {
		open(step)
		opener.advance(testStep)
		opener.settle()
	}
}

// settle tells the instances what callers show of the openings.
func (opener *opener) settle() {
	var open []testOpening
	for _, opening := range opener.waiting {
		instance, server := opener.instances[opening.instance], &opener.servers[opening.server].server
		waited, ejection := opener.now.Sub(opening.sentAt), opener.ejection(opening.instance, opening.server)
		switch {
		case opener.isMoved || instance.paused:
		case opening.isAnswered && waited >= handshakeTime+opener.lateBy && opener.lateBy < openingRetried:
			instance.detector.RecordLife(server, opening.sentAt)
			*ejection = testEjection{}
		case waited >= openingRetried:
			ejection.unanswered++
			isEjected := ejection.unanswered >= ejectedAfter
			if isEjected {
				ejection.until = opener.now.Add(ejectionTime)
			}
			ejection.sentAt = opening.sentAt
			instance.detector.RecordUnansweredOpening(server, opening.flow, waited, isEjected, opener.now)
		default:
			open = append(open, opening)
		}
	}
	opener.waiting = open
	for key, ejection := range opener.ejections {
		if opener.now.Before(ejection.until) {
			if _, isAlive := opener.instances[key[0]].detector.AnsweredSince(&opener.servers[key[1]].server, ejection.sentAt, opener.now); isAlive {
				opener.readmitted++
				ejection.until = opener.now
			}
		}
	}
}

// holders returns the instances that hold back openings to a server.
func (opener *opener) holders(server int) []int {
	var holders []int
	for i, instance := range opener.instances {
		if instance.detector.IsHeld(NewServer(&opener.servers[server].server), opener.now) {
			holders = append(holders, i)
		}
	}
	return holders
}

// everywhere opens a flow at server 0 at some instances in turn, every 50 ms.
func (opener *opener) everywhere(instances []int) func(step int) {
	return func(step int) {
		if step%5 == 0 {
			opener.open(instances[step/5%len(instances)], 0)
		}
	}
}

func TestOpeningsAreHeldBack(t *testing.T) {
	first, all := []int{0, 1, 2, 3}, []int{0, 1, 2, 3, 4, 5, 6, 7}
	cases := []struct {
		name string
		play func(opener *opener)
		want []int // instances that hold back openings to server 0

		isHeldBefore bool // some were held back before
	}{
		{"from a server that answers nobody", func(opener *opener) {
			opener.servers[0].down = true
			opener.run(500*time.Millisecond, opener.everywhere(first))
		}, first, false},
		{"not from one that answers", func(opener *opener) { opener.run(2*time.Second, opener.everywhere(first)) }, nil, false},
		{"not for one unanswered opening", func(opener *opener) {
			opener.servers[0].down = true
			opener.open(0, 0)
			opener.run(time.Second, func(int) {})
		}, nil, false},
		{"not from a server that answers others", func(opener *opener) {
			opener.instances[2].cutFromServers = true
			opener.run(2*time.Second, opener.everywhere(first))
		}, nil, false},
		{"for two openings of one instance, if nobody has seen life since", func(opener *opener) {
			opener.servers[0].down = true
			opener.run(500*time.Millisecond, opener.everywhere([]int{2}))
		}, first, false},
		{"not after the routers have changed their set", func(opener *opener) {
			opener.run(100*time.Millisecond, opener.everywhere(first))
			opener.isMoved = true
			opener.run(100*time.Millisecond, opener.everywhere(first))
			opener.isMoved = false
			opener.run(300*time.Millisecond, opener.everywhere(first))
		}, nil, false},
		{"not by signs of an instance that is cut off", func(opener *opener) {
			opener.instances[2].cutFromServers = true
			opener.run(600*time.Millisecond, func(step int) { opener.open(2, step%10) })
		}, nil, false},
		{"not by an instance that was paused", func(opener *opener) {
			opener.open(2, 0)
			opener.open(2, 0)
			opener.instances[2].paused = true
			opener.run(time.Second, opener.everywhere([]int{0, 1, 3}))
			opener.instances[2].detector.Forget()
			opener.instances[2].paused = false
			opener.run(300*time.Millisecond, func(int) {})
		}, nil, false},
		{"not while most servers look silent", func(opener *opener) {
			for i := range 8 {
				opener.servers[i].down = true
			}
			opener.run(600*time.Millisecond, func(step int) { opener.open(step%4, step%10) })
		}, nil, true},
		{"not from one that is late under a burst", func(opener *opener) {
			opener.lateBy = 70 * time.Millisecond // openings are retried elsewhere before it answers
			opener.run(600*time.Millisecond, func(step int) {
				if step%10 == 0 {
					opener.open(step/10%4, 0)
				}
				if step%4 == 0 {
					opener.send(step/4%4, 0) // on open flows
				}
			})
		}, nil, false},
		{"not by an instance that is slow", func(opener *opener) { // it reads its callers' packets late
			opener.run(2*time.Second, func(step int) {
				opener.everywhere([]int{0, 1, 3})(step)
				if step%20 == 0 {
					opener.instances[2].detector.RecordUnansweredOpening(&opener.servers[0].server, uint32(5000+step), openingRetried, step >= 20, opener.now)
				}
			})
		}, nil, false},
		{"not from a server that restarts", func(opener *opener) {
			opener.servers[0].down = true
			opener.run(500*time.Millisecond, opener.everywhere(first))
			opener.servers[0].down = false
			opener.servers[0].server.StartedAt++
			opener.run(200*time.Millisecond, opener.everywhere(first))
		}, nil, true},
		{"with a dead leader too", func(opener *opener) {
			opener.instances[0].paused = true
			opener.servers[0].down = true
			opener.run(500*time.Millisecond, opener.everywhere([]int{1, 2, 3}))
		}, []int{1, 2, 3}, false},
		{"by one sign in another failure domain, if the first holds them back", func(opener *opener) {
			opener.servers[0].down = true
			opener.run(350*time.Millisecond, opener.everywhere(first))
			opener.open(6, 0)
			opener.run(300*time.Millisecond, func(int) {})
		}, all, false},
		{"until a sign of life", func(opener *opener) {
			opener.servers[0].down = true
			opener.run(500*time.Millisecond, opener.everywhere(first))
			opener.instances[2].detector.RecordLife(&opener.servers[0].server, opener.now)
			opener.run(250*time.Millisecond, func(int) {})
		}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			opener := newOpener(1)
			c.play(opener)
			assert.Assert(t, c.want != nil || c.isHeldBefore || opener.held == 0, "%d openings were held back", opener.held)
			assert.DeepEqual(t, opener.holders(0), c.want)
		})
	}
}

func TestSilentServerGetsNoOpeningsSoon(t *testing.T) {
	for seed := range uint64(50) {
		opener := newOpener(seed)
		opener.advance(time.Duration(seed) * testStep)
		opener.servers[0].down = true
		opener.run(time.Second, func(int) {
			if opener.random.IntN(4) == 0 {
				opener.open(opener.random.IntN(domainSize), 0)
			}
		})
		sent := opener.sent[0]
		confirmed := sent[1].Add(openingRetried)
		last := confirmed
		for _, at := range sent {
			if at.Before(confirmed.Add(baseHoldTime)) { // then it is tried again
				last = at
			}
		}
		assert.Assert(t, last.Sub(confirmed) <= 300*time.Millisecond, "seed %d: an opening %s after the second was unanswered", seed, last.Sub(confirmed))
	}
}

func TestEjectionByOneInstanceEndsBySignsOfOthers(t *testing.T) {
	opener := newOpener(1)
	opener.instances[2].cutFromServers = true
	opener.run(200*time.Millisecond, opener.everywhere([]int{2}))
	opener.instances[2].cutFromServers = false
	ejectedAt := opener.ejection(2, 0).until.Add(-ejectionTime)
	opener.run(350*time.Millisecond, opener.everywhere([]int{0, 1, 3}))
	assert.Equal(t, opener.readmitted, 1)
	assert.Assert(t, opener.ejection(2, 0).until.Sub(ejectedAt) < ejectionTime, "it ended by time")
}

func TestOpeningsAloneDeclareNoServerSilent(t *testing.T) {
	opener := newOpener(1)
	opener.servers[0].down = true
	opener.run(5*time.Second, opener.everywhere([]int{0, 1, 2, 3}))
	for i, instance := range opener.instances {
		assert.Equal(t, len(*instance.detector.Silences()), 0, "instance %d", i)
	}
	opener.send(1, 0)
	opener.run(1500*time.Millisecond, opener.everywhere([]int{0, 1, 2, 3}))
	assert.Equal(t, len(*opener.instances[3].detector.Silences()), 0, "nor with data of one flow")
	opener.send(1, 0)
	opener.send(1, 0)
	opener.run(1500*time.Millisecond, opener.everywhere([]int{0, 1, 2, 3}))
	assert.Equal(t, len(*opener.instances[3].detector.Silences()), 1, "with data of two flows they do")
}

func TestNothingIsSentWhileOpeningsAreAnswered(t *testing.T) {
	opener := newOpener(1)
	opener.fleet.sent = 0
	opener.run(5*time.Second, func(step int) { opener.open(step%8, step%10) })
	assert.Equal(t, opener.fleet.sent, 0)
}

// TestHoldsAreOfServersThatNobodySawAlive plays random openings while servers, paths, cuts, pauses and
// restarts change, and checks that no instance goes on holding back a server that instances of its
// failure domain, which run, have known to be alive for a time.
func TestHoldsAreOfServersThatNobodySawAlive(t *testing.T) {
	held := 0
	for seed := range uint64(100) {
		opener := newOpener(seed)
		for range 500 {
			if opener.random.IntN(2) == 0 {
				opener.change(4)
			}
			for range opener.random.IntN(4) {
				opener.open(opener.random.IntN(2*domainSize), opener.random.IntN(4))
			}
			opener.run(2*testStep, func(int) {})
			held += opener.checkHolds(t, fmt.Sprint("seed ", seed))
		}
	}
	assert.Assert(t, held > 100, "%d holds show little", held)
}

// toldFor returns how long an instance has had a hold while another of its failure domain knew of
// life since.
func (opener *opener) toldFor(instance *testInstance, hold Silence) time.Duration {
	for _, other := range opener.instances {
		refutes := other.detector.lives[hold.Server].After(hold.RefutedAfter().Add(2 * testStep)) // ages lose their time on the way
		if _, isKnown := instance.toldAt[hold]; !isKnown && refutes && other.domain == instance.domain {
			instance.toldAt[hold] = opener.now
		}
	}
	if toldAt, isKnown := instance.toldAt[hold]; isKnown {
		return opener.now.Sub(toldAt)
	}
	return 0
}

// isSettled reports whether all instances of a failure domain have run undisturbed for a time.
func (opener *opener) isSettled(domain int, duration time.Duration) bool {
	for _, instance := range opener.instances {
		if instance.domain == domain && (instance.paused || opener.now.Sub(instance.unsettledAt) < duration) {
			return false
		}
	}
	return true
}

// checkHolds returns the number of holds in force, after checking each against the signs of life that
// the instance has, and against those that the others of its failure domain have had for 0.3 s, or
// somewhat longer than reaskTime if one of them was disturbed while the hold may have been in force.
func (opener *opener) checkHolds(t *testing.T, seed string) int {
	held := 0
	for _, instance := range opener.instances {
		for server, hold := range *instance.detector.Holds() {
			if !opener.now.Before(hold.Until) {
				continue
			}
			held++
			life := instance.detector.lives[hold.Server]
			assert.Assert(t, !life.After(hold.RefutedAfter()), "%s: %s holds server %d since %s and knows of life since", seed, instance.name, server.Token, hold.Since)
			toldFor := opener.toldFor(instance, hold)
			isSoon := toldFor <= 300*time.Millisecond || !opener.isSettled(instance.domain, maxHoldTime+time.Second)
			isLate := toldFor > reaskTime+400*time.Millisecond && opener.isSettled(instance.domain, time.Second)
			assert.Assert(t, isSoon && !isLate, "%s: %s holds server %d since %s, another has known of life for %s", seed, instance.name, server.Token, hold.Since, toldFor)
		}
	}
	return held
}

func TestEvidenceForAHoldNamesItsInstances(t *testing.T) {
	opener := newOpener(1)
	opener.servers[0].down = true
	opener.run(500*time.Millisecond, opener.everywhere([]int{0, 2, 3}))
	assert.Equal(t, opener.instances[0].evidence.From, "itself lb-2 lb-3")
	assert.Equal(t, opener.instances[0].evidence.Openings, 4)
}

func TestMessagesAreFewWhileManyOpeningsStayUnanswered(t *testing.T) {
	for _, down := range []int{1, 4, 10} {
		opener := newOpener(1)
		opener.fleet.sent = 0
		for i := range down {
			opener.servers[i].down = true
		}
		opener.run(4*time.Second, func(step int) {
			opener.open(opener.random.IntN(2*domainSize), opener.random.IntN(len(opener.servers)))
		})
		rate := float64(opener.fleet.sent) / 8 / 4
		t.Logf("%d servers down: %.1f datagrams a second and instance, %d openings lost", down, rate, len(opener.sent[0]))
		assert.Assert(t, rate <= 30, "%d servers down: %.0f datagrams a second and instance", down, rate)
	}
}
