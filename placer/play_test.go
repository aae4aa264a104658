package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentowind/pimentowind/estimator"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

// load is what callers of three failure domains ask for and the servers that they find.
type load struct {
	instances  [3]int    // by failure domain
	servers    [3]int    // by failure domain
	slots      int       // of each server
	strengths  []float64 // of a domain's servers in turn
	perSecond  func(domain int, at time.Duration) float64
	work       time.Duration // of an average request at a server of strength 1
	longShare  float64       // part of the requests that come on long flows
	objective  time.Duration
	lost       int           // servers of the first domain that go down without notice at lostAt
	lostAt     time.Duration // they leave the view three seconds later
	length     time.Duration
	sharesLoad bool // instances get the fleet's figures every 0.3 s
}

// result is what callers got.
type result struct {
	asked, inObjective [3]int // by domain of the caller
	crossed            int    // requests
	rejected           int
	busiest            float64
}

func (result *result) share(domain int) float64 {
	return float64(result.inObjective[domain]) / float64(result.asked[domain])
}

func (result *result) worst() float64 {
	return min(result.share(0), result.share(1), result.share(2))
}

func (result *result) total() float64 {
	asked := result.asked[0] + result.asked[1] + result.asked[2]
	return float64(result.inObjective[0]+result.inObjective[1]+result.inObjective[2]) / float64(asked)
}

func (result *result) crossing() float64 {
	return float64(result.crossed) / float64(result.asked[0]+result.asked[1]+result.asked[2])
}

func (result *result) String() string {
	return fmt.Sprintf("in the objective %.4f, worst domain %.4f, crossing %.3f, rejected by servers %d, busiest server %.2f of the mean",
		result.total(), result.worst(), result.crossing(), result.rejected, result.busiest)
}

// playServer works off requests in its slots and queues eight more.
type playServer struct {
	*viewer.BackendServer
	strength float64
	busy     int
	queue    []*request
	served   int
	isDown   bool
}

const queueLength = 8

// request is a request, or a long flow's next one.
type request struct {
	domain    int
	instance  selector
	askedAt   time.Time // first attempt
	sentAt    time.Time
	work      time.Duration
	server    *playServer
	attempted []*viewer.BackendServer
	retries   int
	isCounted bool      // asked neither in the first second nor in the last
	flow      *longFlow // nil if the request has a flow of its own
}

// longFlow carries several requests of one caller.
type longFlow struct {
	server   *playServer // nil before the first request
	instance selector
}

// play runs a load in virtual time.
type play struct {
	load
	random    *rand.Rand
	now       time.Time
	events    events
	view      *viewer.Viewer
	servers   map[uint32]*playServer
	instances [][]selector
	shared    []*estimator.Estimator
	pools     [3][]*longFlow // open flows without a request, by domain
	result    result
}

// newPlay prepares a play with new placers, or with the baseline.
func newPlay(load load, seed uint64, isBaseline bool) *play {
	play := &play{load: load, random: rand.New(rand.NewPCG(seed, 1)), now: start, view: viewer.NewViewer(), servers: map[uint32]*playServer{}, instances: make([][]selector, 3)}
	total := load.instances[0] + load.instances[1] + load.instances[2]
	play.applyServers(0)
	for domain, count := range load.instances {
		for range count {
			random := rand.New(rand.NewPCG(play.random.Uint64(), 1))
			if isBaseline {
				play.instances[domain] = append(play.instances[domain], newThreeDraws(domainName(domain), total, random))
				continue
			}
			instances := func() estimator.Instances { return estimator.Instances{Fleet: total, Domain: count} }
			estimator := estimator.NewEstimator(domainName(domain), instances, play.view.Current, neverFailing)
			play.shared = append(play.shared, estimator)
			play.instances[domain] = append(play.instances[domain], NewPlacer(domainName(domain), estimator, neverFailing, random))
		}
	}
	return play
}

func domainName(domain int) string { return fmt.Sprintf("d%d", domain) }

// applyServers publishes the servers, without the first gone ones of the first domain.
func (play *play) applyServers(gone int) {
	list := &viewer.Servers{Revision: uint64(gone + 1)}
	for domain, count := range play.load.servers {
		for i := range count {
			token := uint32(domain*1000 + i + 1)
			if domain == 0 && i < gone {
				continue
			}
			list.List = append(list.List, viewer.BackendServer{Name: fmt.Sprint(token), Token: token, Service: "s", FailureDomain: domainName(domain), Slots: play.slots, State: parser.Active})
			if play.servers[token] == nil {
				play.servers[token] = &playServer{strength: play.strengths[i%len(play.strengths)]}
			}
		}
	}
	play.view.ApplyServers(list, play.now)
	for _, server := range play.view.Current().ActiveServers("s") {
		play.servers[server.Token].BackendServer = server
	}
}

// run plays the load and returns what callers got.
func (play *play) run() result {
	for domain := range 3 {
		play.at(play.now, func() { play.arrive(domain) })
	}
	if play.lost > 0 {
		play.at(start.Add(play.lostAt), play.loseServers)
		play.at(start.Add(play.lostAt+3*time.Second), func() { play.applyServers(play.lost) })
	}
	if play.sharesLoad {
		play.at(start, play.share)
	}
	end := start.Add(play.length)
	for len(play.events) > 0 {
		event := heap.Pop(&play.events).(event)
		if event.at.After(end) {
			break
		}
		play.now = event.at
		event.run()
	}
	most, sum := 0.0, 0.0
	for _, server := range play.servers {
		most = max(most, float64(server.served))
		sum += float64(server.served)
	}
	play.result.busiest = most * float64(len(play.servers)) / sum
	return play.result
}

// arrive begins a request of a domain's callers and waits for the next. On long flows, a tenth
// of the requests opens a new one.
func (play *play) arrive(domain int) {
	const poolSize = 300
	request := &request{domain: domain}
	if play.random.Float64() < play.longShare {
		pool := play.pools[domain]
		if len(pool) >= poolSize && play.random.IntN(10) > 0 {
			i := play.random.IntN(len(pool))
			request.flow = pool[i]
			pool[i] = pool[len(pool)-1]
			play.pools[domain] = pool[:len(pool)-1]
		} else {
			request.flow = &longFlow{}
		}
	}
	play.ask(request)
	wait := play.random.ExpFloat64() / play.perSecond(domain, play.now.Sub(start))
	play.after(time.Duration(wait*float64(time.Second)), func() { play.arrive(domain) })
}

// ask begins a request.
func (play *play) ask(request *request) {
	request.askedAt = play.now
	request.work = time.Duration(float64(play.work) * math.Exp(0.5*play.random.NormFloat64()-0.125))
	request.isCounted = play.now.Sub(start) < play.length-time.Second
	if request.isCounted {
		play.result.asked[request.domain]++
	}
	play.send(request)
}

// send sends a request to the server of its flow, or to a selected one.
func (play *play) send(request *request) {
	request.sentAt = play.now
	if flow := request.flow; flow != nil && flow.server != nil && !flow.server.isDown {
		request.server, request.instance = flow.server, flow.instance
		request.instance.RequestBegan(request.server.BackendServer, false, play.now)
		play.reach(request)
		return
	}
	inDomain := play.instances[request.domain]
	if request.instance == nil || request.retries > 0 {
		request.instance = inDomain[play.random.IntN(len(inDomain))]
	}
	candidates := play.view.Current().ActiveServers("s")
	selected := request.instance.Select(candidates, request.attempted, play.now)
	request.server = play.servers[selected.Token]
	request.instance.FlowOpened(selected, play.now)
	request.instance.RequestBegan(selected, true, play.now)
	if flow := request.flow; flow != nil {
		flow.server, flow.instance = request.server, request.instance
	}
	if request.server.isDown {
		play.after(50*time.Millisecond, func() { play.retryOpening(request) })
		return
	}
	request.instance.OpeningAnswered(selected, play.now)
	play.reach(request)
}

// retryOpening sends an opening that a server left unanswered to another one.
func (play *play) retryOpening(request *request) {
	server := request.server.BackendServer
	request.instance.OpeningUnanswered(server, play.now)
	request.instance.RequestEnded(server, play.now)
	request.instance.FlowClosed(server, play.now)
	request.attempted = append(request.attempted, server)
	if request.flow != nil {
		request.flow.server = nil
	}
	if len(request.attempted) < 4 {
		play.send(request)
	}
}

// reach puts a request into a slot or the queue of its server, or has its caller retry.
func (play *play) reach(request *request) {
	server := request.server
	switch {
	case server.busy < play.slots:
		play.process(request)
	case len(server.queue) < queueLength:
		server.queue = append(server.queue, request)
	default:
		play.result.rejected++
		play.end(request)
		play.retry(request)
	}
}

// retry lets the caller of a rejected or lost request try again, twice at most.
func (play *play) retry(request *request) {
	request.retries++
	request.attempted, request.flow = nil, nil
	if request.retries <= 2 {
		play.after(50*time.Millisecond, func() { play.send(request) })
	}
}

func (play *play) process(request *request) {
	server := request.server
	server.busy++
	if request.isCounted {
		server.served++
		if server.FailureDomain != domainName(request.domain) {
			play.result.crossed++
		}
	}
	play.after(time.Duration(float64(request.work)/server.strength), func() { play.finish(request) })
}

// finish answers a request and begins the next in the server's queue.
func (play *play) finish(request *request) {
	server := request.server
	if server.isDown {
		return
	}
	server.busy--
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		play.process(next)
	}
	request.instance.RecordResponseTime(server.BackendServer, play.now.Sub(request.sentAt), play.now)
	if play.now.Sub(request.askedAt) <= play.objective && request.isCounted {
		play.result.inObjective[request.domain]++
	}
	play.end(request)
}

// end stops counting a request, and its flow if that is over.
func (play *play) end(request *request) {
	request.instance.RequestEnded(request.server.BackendServer, play.now)
	if request.flow != nil && play.random.IntN(10) > 0 {
		play.pools[request.domain] = append(play.pools[request.domain], request.flow)
		return
	}
	request.instance.FlowClosed(request.server.BackendServer, play.now)
}

// loseServers takes servers of the first domain down; their requests are lost and retried.
func (play *play) loseServers() {
	for i := range play.lost {
		server := play.servers[uint32(i+1)]
		server.isDown = true
		server.queue = nil
	}
}

// share gives all instances the fleet's true figures.
func (play *play) share() {
	outstanding := map[string]float64{}
	for _, server := range play.servers {
		outstanding[server.FailureDomain] += float64(server.busy + len(server.queue))
	}
	for _, shared := range play.shared {
		for domain, count := range outstanding {
			shared.ApplyShared(estimator.Shared{Service: "s", FailureDomain: domain, Outstanding: count}, play.now)
		}
	}
	play.after(300*time.Millisecond, play.share)
}

func (play *play) at(at time.Time, run func()) {
	heap.Push(&play.events, event{at: at, run: run})
}

func (play *play) after(wait time.Duration, run func()) { play.at(play.now.Add(wait), run) }

// event is something that happens in a play.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(added any)    { *events = append(*events, added.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}
