package admitter

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// A play lets callers, instances and servers act in virtual time. The servers have two slots
// and a queue of eight, and shed what finds it full after a wait, as one in it takes. Callers
// use long flows for three quarters of the repeatable requests, open a flow for each of the
// others, and repeat what failed twice, on new flows, at once.

var start = time.Unix(1_000_000, 0)

const (
	domains            = 3
	instancesPerDomain = 8
	serversPerDomain   = 20
	slotsPerServer     = 2
	queueLength        = 8
	meanWork           = 50 * time.Millisecond
	roundTrip          = 8 * time.Millisecond
	capacity           = domains * serversPerDomain * slotsPerServer / 0.05 // requests per second
)

var (
	stream = Class{Priority: 2, IsRepeatable: true}
	query  = Class{Priority: 1}
)

// playedLoad is what callers ask for: a constant number of requests a second, of which a burst is a
// multiple for burstLength.
type playedLoad struct {
	factor      float64 // of the capacity, in the burst
	streamsOnly bool    // the burst is one of streams
	oneDomain   bool    // the burst is one of the callers of domain 0
	leaving     int     // servers of each domain that stop one second into the burst
}

const (
	burstStart  = 3 * time.Second
	burstLength = 5 * time.Second
	baseFactor  = 0.3 // of the capacity, outside the burst
)

// outcome counts the requests that were asked for in the burst, or after it.
type outcome struct {
	asked, inObjective, late int
	byClass, byDomain        map[int][2]int // asked and served in the objective
	shed                     int
	refusedWithRoom          int
	lastRefusalWithRoom      time.Duration // since the start
	afterAsked, afterServed  int           // from one second after the burst
}

type playServer struct {
	busy    int
	queue   []func()
	stopped bool
}

type longFlow struct {
	server   *playServer
	instance *playInstance
	usedAt   time.Time
}

type playInstance struct {
	*Admitter
	held   map[FlowID]func(Result)
	counts map[*playServer]int // requests of this instance
	wakeAt time.Time
}

type request struct {
	class   Class
	domain  int
	askedAt time.Time
	tries   int
	inBurst bool
}

type play struct {
	playedLoad
	random    *rand.Rand
	arrivals  [domains]*rand.Rand // apart, so that callers ask for the same whatever is decided
	now       time.Time
	events    eventQueue
	servers   []*playServer
	instances []*playInstance
	flows     [domains][]*longFlow
	ports     uint16
	outcome   outcome
}

func runPlay(load playedLoad, seed uint64, settings Settings) outcome {
	play := &play{playedLoad: load, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	play.outcome.byClass, play.outcome.byDomain = map[int][2]int{}, map[int][2]int{}
	for range domains * serversPerDomain {
		play.servers = append(play.servers, &playServer{})
	}
	for range domains * instancesPerDomain {
		play.instances = append(play.instances, &playInstance{Admitter: NewAdmitter(settings), held: map[FlowID]func(Result){}, counts: map[*playServer]int{}})
	}
	for domain := range domains {
		play.arrivals[domain] = rand.New(rand.NewPCG(seed, uint64(2+domain)))
		play.arrive(domain)
	}
	play.share()
	play.after(burstStart+time.Second, func() {
		for i, server := range play.servers {
			server.stopped = i%serversPerDomain < load.leaving
		}
	})
	end := start.Add(burstStart + burstLength + 3*time.Second)
	for len(play.events) > 0 && play.events[0].at.Before(end) {
		event := heap.Pop(&play.events).(event)
		play.now = event.at
		event.run()
	}
	return play.outcome
}

func (play *play) inBurst() bool {
	elapsed := play.now.Sub(start)
	return elapsed >= burstStart && elapsed < burstStart+burstLength
}

// arrive begins the next request of a domain's callers and schedules the one after it.
func (play *play) arrive(domain int) {
	perSecond := baseFactor * capacity / domains
	random := play.arrivals[domain]
	class := stream
	if random.IntN(9) < 2 {
		class = query
	}
	if play.inBurst() {
		extra := (play.factor - baseFactor) * capacity / domains
		if play.oneDomain {
			extra *= domains
		}
		if !play.oneDomain || domain == 0 {
			if play.streamsOnly && random.Float64()*(perSecond+extra) < extra {
				class = stream
			}
			perSecond += extra
		}
	}
	request := &request{class: class, domain: domain, askedAt: play.now, inBurst: play.inBurst()}
	if request.inBurst {
		play.outcome.asked++
		play.count(request, 0)
	}
	if play.isAfter(request) {
		play.outcome.afterAsked++
	}
	play.try(request)
	play.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), func() { play.arrive(domain) })
}

func (play *play) isAfter(request *request) bool {
	since := request.askedAt.Sub(start) - burstStart - burstLength
	return since >= time.Second && since < 2*time.Second
}

func (play *play) count(request *request, index int) {
	for key, counts := range map[int]map[int][2]int{request.class.Priority: play.outcome.byClass, request.domain: play.outcome.byDomain} {
		both := counts[key]
		both[index]++
		counts[key] = both
	}
}

// try sends a request on a long flow or opens a flow for it.
func (play *play) try(request *request) {
	request.tries++
	pool := play.flows[request.domain]
	if request.class == stream && request.tries == 1 && len(pool) > 0 && play.random.IntN(20) > 0 {
		flow := pool[0]
		play.flows[request.domain] = pool[1:]
		if !flow.server.stopped && play.now.Sub(flow.usedAt) < 12*time.Second {
			play.send(request, flow)
			return
		}
	}
	instance := play.instances[request.domain*instancesPerDomain+play.random.IntN(instancesPerDomain)]
	play.ports++
	caller := netip.AddrFrom4([4]byte{100, 64, byte(request.domain), byte(play.random.IntN(250))})
	flow := FlowID{Caller: netip.AddrPortFrom(caller, play.ports)}
	decided := func(result Result) {
		if result.Decision == Admit {
			server := play.place(instance)
			play.after(roundTrip, func() { play.send(request, &longFlow{server: server, instance: instance}) }) // after the handshake
			return
		}
		if play.isAnyIdle() {
			play.outcome.refusedWithRoom++
			play.outcome.lastRefusalWithRoom = play.now.Sub(start)
		}
		play.after(roundTrip, func() { play.failed(request) })
	}
	decision := instance.Decide(Opening{Flow: flow, Service: "s", Class: request.class, Objective: request.objective()}, play.now)
	if decision == Hold {
		instance.held[flow] = decided
		play.wake(instance)
		return
	}
	decided(Result{Decision: decision})
}

// objective is the time within which callers need the response.
func (request *request) objective() time.Duration {
	if request.class == query {
		return 600 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// wake asks an instance for due decisions when it wants to be asked.
func (play *play) wake(instance *playInstance) {
	for result, ok := instance.Next(play.now); ok; result, ok = instance.Next(play.now) {
		decided := instance.held[result.Flow]
		delete(instance.held, result.Flow)
		decided(result)
	}
	at := instance.WakeTime()
	if at.IsZero() || instance.wakeAt.After(play.now) && !at.Before(instance.wakeAt) {
		return
	}
	delay := max(at.Sub(play.now), time.Millisecond)
	instance.wakeAt = play.now.Add(delay)
	play.after(delay, func() { play.wake(instance) })
}

// place returns the best of three random servers, by the requests of the instance there.
func (play *play) place(instance *playInstance) *playServer {
	var best *playServer
	for drawn := 0; drawn < 3; {
		server := play.servers[play.random.IntN(len(play.servers))]
		if server.stopped {
			continue
		}
		drawn++
		if best == nil || instance.counts[server] < instance.counts[best] {
			best = server
		}
	}
	return best
}

// isAnyIdle reports whether a fifth of the servers have free slots and no queue.
func (play *play) isAnyIdle() bool {
	idle := 0
	for _, server := range play.servers {
		if server.busy < slotsPerServer && !server.stopped {
			idle++
		}
	}
	return idle > len(play.servers)/5
}

// send has a server work on a request, or shed it after a wait.
func (play *play) send(request *request, flow *longFlow) {
	server, sentAt := flow.server, play.now
	flow.usedAt = play.now
	flow.instance.counts[server]++
	flow.instance.RequestBegan("s", play.now)
	finish := func(isShed bool) {
		play.after(roundTrip, func() {
			flow.instance.counts[server]--
			flow.instance.RequestEnded("s", play.now)
			play.wake(flow.instance)
			flow.instance.RecordResponse("s", Response{Class: request.class, Duration: play.now.Sub(sentAt), Objective: request.objective(), IsShort: isShed}, play.now)
			if request.class == stream {
				play.flows[request.domain] = append(play.flows[request.domain], flow)
			}
			if isShed {
				play.failed(request)
				return
			}
			play.served(request)
		})
	}
	work := func() {
		server.busy++
		play.after(play.workTime(), func() {
			server.busy--
			if len(server.queue) > 0 {
				next := server.queue[0]
				server.queue = server.queue[1:]
				next()
			}
			finish(false)
		})
	}
	switch {
	case server.busy < slotsPerServer:
		work()
	case len(server.queue) < queueLength:
		server.queue = append(server.queue, work)
	default:
		if play.now.Sub(start) >= burstStart {
			play.outcome.shed++
		}
		play.after(time.Duration((0.3+1.2*play.random.Float64())*float64(queueLength*meanWork/slotsPerServer)), func() { finish(true) })
	}
}

// workTime returns a log-normal time with the mean meanWork.
func (play *play) workTime() time.Duration {
	const spread = 0.5
	return time.Duration(float64(meanWork) * math.Exp(spread*play.random.NormFloat64()-spread*spread/2))
}

func (play *play) failed(request *request) {
	if request.tries < 3 {
		play.try(request)
	}
}

func (play *play) served(request *request) {
	if play.isAfter(request) && play.now.Sub(request.askedAt) <= request.objective() {
		play.outcome.afterServed++
	}
	switch {
	case !request.inBurst:
	case play.now.Sub(request.askedAt) <= request.objective():
		play.outcome.inObjective++
		play.count(request, 1)
	default:
		play.outcome.late++
	}
}

// share gives all instances the sum of their loads, as the leaders do.
func (play *play) share() {
	var loads []Load
	for _, instance := range play.instances {
		if load := instance.Report(play.now); load != nil {
			loads = append(loads, load)
		}
	}
	play.after(50*time.Millisecond, func() {
		for _, instance := range play.instances {
			if len(loads) > 0 {
				instance.ApplyShared(Sum(loads), play.now)
			}
		}
	})
	play.after(300*time.Millisecond, play.share)
}

func (play *play) after(delay time.Duration, run func()) {
	heap.Push(&play.events, event{at: play.now.Add(delay), run: run})
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (eventQueue eventQueue) Len() int           { return len(eventQueue) }
func (eventQueue eventQueue) Less(i, j int) bool { return eventQueue[i].at.Before(eventQueue[j].at) }

func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(item any) { *eventQueue = append(*eventQueue, item.(event)) }
func (eventQueue *eventQueue) Pop() any {
	last := (*eventQueue)[len(*eventQueue)-1]
	*eventQueue = (*eventQueue)[:len(*eventQueue)-1]
	return last
}
