package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	testStep   = 10 * time.Millisecond  // of virtual time
	answerDue  = 30 * time.Millisecond  // from a request to the acknowledgment of its answer
	testTick   = 100 * time.Millisecond // between two calls of Next
	domainSize = 4
)

// fleet plays instances of two failure domains, the first two of each its leaders, with servers
// and callers, in virtual time.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	instances []*testInstance
	servers   []*testServer
	requests  []*request
	lastFlow  uint32
	datagrams []datagram
	sent      int
}

type testInstance struct {
	detector       *Detector
	name           string
	domain         int
	cutFromServers bool
	cutFromDomains bool // from the other failure domain
	paused         bool
	unsettledAt    time.Time            // when it last was paused, cut off or restarted
	answeredAt     map[Server]time.Time // when it last saw a server answer
	known          *Silences
	toldAt         map[Silence]time.Time // when one of the failure domain was first seen to know better than its hold
	evidence       Evidence              // for the last hold, on a leader
}

type testServer struct {
	server viewer.BackendServer
	down   bool
}

// request is a request of a caller that waits for the answer.
type request struct {
	instance, server int
	sentAt           time.Time
	copies           int
	startedAt        int64 // of the server that it was sent to
	flow             uint32
	waits            bool // not answered
}

type datagram struct {
	from, to int
	message  Message
	dueAt    time.Time
}

func (testInstance *testInstance) ServerSilent(Server, Evidence) {}
func (testInstance *testInstance) ServerAlive(Server, bool)      {}

func (testInstance *testInstance) ServerHeld(_ Server, evidence Evidence, _ time.Duration) {
	testInstance.evidence = evidence
}

func newFleet(seed uint64) *fleet {
	fleet := &fleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 5))}
	for i := range 2 * domainSize {
		instance := &testInstance{name: fmt.Sprint("lb-", i), domain: i / domainSize, answeredAt: map[Server]time.Time{}, toldAt: map[Silence]time.Time{}}
		instance.restart()
		fleet.instances = append(fleet.instances, instance)
	}
	for i := range uint32(10) {
		fleet.servers = append(fleet.servers, &testServer{server: viewer.BackendServer{Name: fmt.Sprint("s-", i), Token: i + 1}})
	}
	return fleet
}

func (testInstance *testInstance) restart() {
	testInstance.detector = NewDetector(testInstance)
	testInstance.known = testInstance.detector.Silences()
}

// warmUp lets every instance see all servers alive.
func (fleet *fleet) warmUp() {
	for i := range fleet.instances {
		for j := range fleet.servers {
			fleet.send(i, j)
		}
	}
	fleet.advance(time.Second)
}

// send makes a caller send a request through an instance, unless it is in a paused one.
func (fleet *fleet) send(instance, server int) {
	fleet.lastFlow++
	fleet.requests = append(fleet.requests, &request{flow: fleet.lastFlow, instance: instance, server: server, sentAt: fleet.now, startedAt: fleet.servers[server].server.StartedAt, waits: !fleet.reaches(instance, server)})
}

func (fleet *fleet) reaches(instance, server int) bool {
	return !fleet.instances[instance].cutFromServers && !fleet.instances[instance].paused && !fleet.servers[server].down
}

// moveFlows makes the routers send all flows to other instances of their failure domain.
func (fleet *fleet) moveFlows() {
	for _, request := range fleet.requests {
		request.instance = request.instance/domainSize*domainSize + fleet.random.IntN(domainSize)
	}
}

// advance plays the time from now on.
func (fleet *fleet) advance(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(testStep)
		fleet.playRequests()
		if fleet.now.UnixMilli()%testTick.Milliseconds() == 0 {
			fleet.tick()
		}
		fleet.deliver()
	}
}

var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second}

// playRequests ends the requests that are answered, and retransmits the others. A server that
// has restarted resets them. A retransmission that reaches its server is answered.
func (fleet *fleet) playRequests() {
	var open []*request
	for _, request := range fleet.requests {
		instance, server := fleet.instances[request.instance], fleet.servers[request.server]
		waited := fleet.now.Sub(request.sentAt)
		switch {
		case server.server.StartedAt != request.startedAt && !server.down, request.copies == len(retransmissions):
			continue
		case request.waits && !instance.paused && instance.detector.IsSilent(NewServer(&server.server), fleet.now):
			continue // it is reset
		case !request.waits && waited >= answerDue:
			if !instance.paused {
				instance.detector.RecordLife(&server.server, fleet.now)
				instance.answeredAt[NewServer(&server.server)] = fleet.now
			}
			continue
		case request.waits && waited >= retransmissions[request.copies]:
			request.copies++
			if !instance.paused {
				old := server.server
				old.StartedAt = request.startedAt
				if request.copies > 1 { // the copy before had no answer
					askedAt := request.sentAt.Add(retransmissions[request.copies-2])
					instance.detector.RecordUnanswered(&old, request.flow, askedAt, waited, fleet.now)
				}
			}
			request.waits = !fleet.reaches(request.instance, request.server)
		}
		open = append(open, request)
	}
	fleet.requests = open
}

func (fleet *fleet) place(i int) Place {
	return Place{IsLeader: i%domainSize < 2, DomainInstances: domainSize, Servers: len(fleet.servers)}
}

// tick sends the messages that are due.
func (fleet *fleet) tick() {
	for i, instance := range fleet.instances {
		if instance.paused {
			continue
		}
		if !instance.detector.Sweep(fleet.now) {
			continue
		}
		for _, outgoing := range instance.detector.Next(fleet.place(i), fleet.now, fleet.now) {
			for j, other := range fleet.instances {
				sameDomain, isLeader := other.domain == instance.domain, j%domainSize < 2
				if j != i && (sameDomain && (isLeader || outgoing.Audience != Leaders) || isLeader && outgoing.Audience == Everyone) {
					fleet.post(i, j, outgoing.Message)
				}
			}
		}
	}
}

func (fleet *fleet) post(from, to int, message Message) {
	fleet.sent++
	if sender, receiver := fleet.instances[from], fleet.instances[to]; sender.domain != receiver.domain && (sender.cutFromDomains || receiver.cutFromDomains) {
		return
	}
	fleet.datagrams = append(fleet.datagrams, datagram{from: from, to: to, message: message, dueAt: fleet.now.Add(testStep)})
}

// deliver passes the datagrams that have arrived to instances that run.
func (fleet *fleet) deliver() {
	arrived := fleet.datagrams
	fleet.datagrams = nil
	for _, datagram := range arrived {
		receiver, sender := fleet.instances[datagram.to], fleet.instances[datagram.from]
		switch {
		case datagram.dueAt.After(fleet.now):
			fleet.datagrams = append(fleet.datagrams, datagram)
		case !receiver.paused:
			answer := receiver.detector.Receive(sender.name, &datagram.message, sender.domain == receiver.domain, fleet.place(datagram.to), fleet.now, fleet.now)
			if !answer.isEmpty() {
				fleet.post(datagram.to, datagram.from, answer)
			}
		}
	}
}

// change makes something happen at random: to one of the first servers, an instance, the cut or the
// routers.
func (fleet *fleet) change(servers int) {
	instance := fleet.instances[fleet.random.IntN(len(fleet.instances))]
	server := fleet.servers[fleet.random.IntN(servers)]
	switch fleet.random.IntN(120) {
	case 0, 1:
		server.down = !server.down
	case 2:
		server.server.StartedAt++
	case 3, 4, 5:
		instance.cutFromServers = !instance.cutFromServers
	case 6:
		instance.paused = !instance.paused
		instance.detector.Forget()
		instance.unsettledAt = fleet.now
	case 7:
		isCut := !instance.cutFromDomains
		for _, other := range fleet.instances {
			if other.domain == instance.domain {
				other.cutFromDomains = isCut
			}
		}
	case 8:
		fleet.moveFlows()
	case 9:
		instance.restart()
		instance.unsettledAt = fleet.now
		clear(instance.answeredAt) // it no longer knows
	}
}

// checkNewSilences checks the declarations that instances have put in force since the last call,
// and returns how many there are.
func (fleet *fleet) checkNewSilences(t *testing.T, seed uint64) int {
	count := 0
	for _, instance := range fleet.instances {
		silences := instance.detector.Silences()
		if silences == instance.known {
			continue
		}
		before := *instance.known
		instance.known = silences
		for server, silence := range *silences {
			if before[server] == silence {
				continue
			}
			count++
			for _, other := range fleet.instances {
				isSettled := !other.paused && fleet.now.Sub(other.unsettledAt) > time.Second
				answered := other.answeredAt[silence.Server]
				if other.domain == instance.domain && isSettled {
					assert.Assert(t, !answered.After(silence.RefutedAfter().Add(2*testStep)) || fleet.now.Sub(answered) < repeatTime+4*testStep,
						"seed %d: %s holds server %d silent since %s, %s saw it answer %s ago", seed, instance.name, server.Token-1, fleet.now.Sub(silence.Since), other.name, fleet.now.Sub(answered))
				}
			}
		}
	}
	return count
}
