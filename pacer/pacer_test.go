package pacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

var start = time.Unix(1_000_000, 0)

// counts is a Counter.
type counts struct {
	openings, declined int
	tooSmall           []string // services
}

func (counts *counts) WarmUpOpening()  { counts.openings++ }
func (counts *counts) WarmUpDeclined() { counts.declined++ }

func (counts *counts) WarmUpRateTooSmall(service string, _ float64) {
	counts.tooSmall = append(counts.tooSmall, service)
}

// viewOf returns a view of one service that states a warm-up and of one server of it.
func viewOf(service viewer.Service, server viewer.BackendServer) *viewer.View {
	current := viewer.NewViewer()
	service.Name, server.State, server.Token = "desk-sync", parser.Active, 1
	current.ApplyConfiguration(&viewer.Configuration{Version: 1, Services: []viewer.Service{service}})
	current.ApplyServers(&viewer.Servers{Revision: 1, List: []viewer.BackendServer{server}}, start)
	return current.Current()
}

// coldServer returns a server that is cold for a minute and shared by these instances.
func coldServer(instances ...string) viewer.BackendServer {
	server := viewer.BackendServer{Name: "a", Service: "desk-sync", ColdUntil: viewer.DeadlineAfter(start, time.Minute)}
	for i, instance := range instances {
		server.Sharers[i] = viewer.InstanceHash(instance)
	}
	return server
}

// newPacer returns the pacer of an instance that started long ago.
func newPacer(instance string, bounds Bounds, view *viewer.View) (*Pacer, *counts) {
	counts := &counts{}
	return NewPacer(instance, bounds, func() *viewer.View { return view }, counts, start.Add(-time.Minute)), counts
}

// mostInASecond returns the largest number of times within any second.
func mostInASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// openEverywhere lets instances open flows for a time at random moments, each as often as
// perSecond says, and returns when openings arrived: up to jitter after they were sent.
func openEverywhere(random *rand.Rand, pacers []*Pacer, server *viewer.BackendServer, perSecond float64, lasting, jitter time.Duration) []time.Time {
	var arrivals []time.Time
	for _, pacer := range pacers {
		now := start
		for {
			now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			if now.Sub(start) > lasting {
				break
			}
			if pacer.Share(server, now) > 0 {
				pacer.OpeningSent(server, now)
				arrivals = append(arrivals, now.Add(time.Duration(random.Float64()*float64(jitter))))
			}
		}
	}
	return arrivals
}

func TestSumOfAllInstancesStaysWithinTheLimit(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		rate := []float64{0.3, 0.5, 1, 1.5, 2, 2.5, 3, 5, 8, 20, 60, 200}[random.IntN(12)]
		bounds := []Bounds{{1.5, 5}, {1, 0}, {0, 0}, {1.2, 2}, {3, 0}, {0, 9}}[random.IntN(6)]
		limit := rate*max(bounds.Excess, 1) + bounds.Slack
		count := 7 + random.IntN(347)
		// In the worst case, two readers have chosen different instances, and each instance
		// has the list of either.
		choices := []viewer.BackendServer{coldServer("lb-0", "lb-1"), coldServer("lb-2", "lb-3")}
		var pacers []*Pacer
		view := viewOf(viewer.Service{WarmUpRate: rate}, choices[0])
		for i := range count {
			pacer, _ := newPacer(fmt.Sprintf("lb-%d", i), bounds, view)
			pacers = append(pacers, pacer)
		}
		var arrivals []time.Time
		demand := []float64{3, 10, 100}[random.IntN(3)]
		for i := range choices {
			arrivals = append(arrivals, openEverywhere(random, pacers, &choices[i], demand, 4*time.Second, 50*time.Millisecond)...)
		}
		most := mostInASecond(arrivals)
		assert.Assert(t, float64(most) <= max(limit, 0), "seed %d: %d openings in a second, limit %g, rate %g", seed, most, limit, rate)
	}
}

func TestMostOfTheStatedRateIsUsed(t *testing.T) {
	for _, rate := range []float64{1, 3, 5, 10, 20, 50, 200} {
		server := coldServer("lb-0", "lb-1")
		view := viewOf(viewer.Service{WarmUpRate: rate}, server)
		var pacers []*Pacer
		for i := range 66 {
			pacer, _ := newPacer(fmt.Sprintf("lb-%d", i), Bounds{1.5, 5}, view)
			pacers = append(pacers, pacer)
		}
		random := rand.New(rand.NewPCG(uint64(rate), 2))
		arrivals := openEverywhere(random, pacers, &server, 2*rate, 20*time.Second, 0)
		used := float64(len(arrivals)) / 20
		assert.Assert(t, used > 0.5*rate && used <= 1.1*rate, "%g of %g openings per second", used, rate)
		assert.Assert(t, float64(mostInASecond(arrivals)) <= (1.5*rate+5)/2, "no more than half of the limit while all agree")
	}
}

func TestASingleInstanceUsesARateThatIsTooSmallForTwo(t *testing.T) {
	cases := []struct {
		rate   float64
		bounds Bounds
		used   bool
		shared []int // sharers, in all and by each of the two
	}{
		{0.5, Bounds{1, 0}, false, []int{1, 1, 0}},
		{1, Bounds{0, 0}, false, []int{1, 1, 0}},
		{0.5, Bounds{1, 1.5}, true, []int{1, 1, 0}},
		{1, Bounds{2, 0}, true, []int{1, 1, 0}},
		{2, Bounds{1, 0}, true, []int{1, 1, 0}},
		{3, Bounds{1, 0}, true, []int{1, 1, 0}},
		{3, Bounds{1, 1}, true, []int{2, 1, 1}},
	}
	for _, c := range cases {
		server := coldServer("lb-0", "lb-1")
		view := viewOf(viewer.Service{WarmUpRate: c.rate}, server)
		first, counts := newPacer("lb-0", c.bounds, view)
		second, _ := newPacer("lb-1", c.bounds, view)
		arrivals := openEverywhere(rand.New(rand.NewPCG(1, 2)), []*Pacer{first, second}, &server, 20, 20*time.Second, 0)
		assert.Equal(t, len(arrivals) > 0, c.used, "%v", c)
		assert.Assert(t, float64(mostInASecond(arrivals)) <= (c.rate*max(c.bounds.Excess, 1)+c.bounds.Slack)/2, "%v", c)
		shared := []int{first.Sharers(&server, start), len(first.Shared("desk-sync")), len(second.Shared("desk-sync"))}
		assert.DeepEqual(t, shared, c.shared)
		if c.used {
			assert.Equal(t, len(counts.tooSmall), 0, "%v", c)
		} else {
			assert.DeepEqual(t, counts.tooSmall, []string{"desk-sync"})
		}
	}
}

func TestShareOfColdServers(t *testing.T) {
	shared := coldServer("lb-0", "lb-1")
	unchosen := coldServer()
	ended := coldServer("lb-1")
	ended.ColdUntil = viewer.DeadlineAfter(start, -viewer.WarmUpTolerance)
	ending := coldServer("lb-1")
	ending.ColdUntil = viewer.DeadlineAfter(start, time.Millisecond-viewer.WarmUpTolerance)
	cold := func(remaining time.Duration) viewer.BackendServer {
		return viewer.BackendServer{Name: "a", Service: "desk-sync", ColdUntil: viewer.DeadlineAfter(start, remaining)}
	}
	rated, unrated := viewer.Service{WarmUp: 4 * time.Second, WarmUpRate: 20}, viewer.Service{WarmUp: 4 * time.Second}
	cases := []struct {
		name    string
		service viewer.Service
		server  viewer.BackendServer
		want    float64
	}{
		{"warm", rated, viewer.BackendServer{Name: "a", Service: "desk-sync"}, 1},
		{"shared by this instance", rated, shared, 1},
		{"not chosen yet", rated, unchosen, 0},
		{"shared by another instance", rated, coldServer("lb-1"), 0},
		{"warm-up may not have ended yet", rated, ending, 0},
		{"warm-up has ended", rated, ended, 1},
		{"no rate, at the start", unrated, cold(4 * time.Second), 0.25},
		{"no rate, halfway", unrated, cold(2 * time.Second), 0.625},
		{"no rate, at the end", unrated, cold(0), 1},
		{"no rate, longer than stated", unrated, cold(time.Minute), 0.25},
		{"nothing stated", viewer.Service{}, cold(time.Second), 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pacer, counts := newPacer("lb-0", Bounds{}, viewOf(c.service, c.server))
			assert.Equal(t, pacer.Share(&c.server, start), c.want)
			assert.Equal(t, counts.declined > 0, c.want == 0)
			reserved := c.want == 0 || c.name == "shared by this instance"
			assert.Equal(t, pacer.Reserved(&c.server, start), reserved)
		})
	}
}

func TestNothingIsSentInTheFirstWindowOfAProcess(t *testing.T) {
	server := coldServer("lb-0")
	view := viewOf(viewer.Service{WarmUpRate: 20}, server)
	pacer := NewPacer("lb-0", Bounds{}, func() *viewer.View { return view }, &counts{}, start)
	assert.Equal(t, pacer.Share(&server, start.Add(window-1)), 0.0)
	assert.Equal(t, pacer.Share(&server, start.Add(window)), 1.0)
}

func TestSharedServersFollowTheView(t *testing.T) {
	server := coldServer("lb-0")
	view := viewOf(viewer.Service{WarmUpRate: 20}, server)
	pacer, _ := newPacer("lb-0", Bounds{}, view)
	assert.Equal(t, len(pacer.Shared("desk-sync")), 1)
	assert.Equal(t, pacer.Sharers(&server, start), 1)
	assert.Equal(t, pacer.Sharers(&server, start.Add(time.Hour)), 0)
	pacer.currentView = func() *viewer.View { return viewOf(viewer.Service{}, server) }
	assert.Equal(t, len(pacer.Shared("desk-sync")), 0)
	assert.Equal(t, pacer.Sharers(&server, start), 0)
}

func TestRequestsOnOpenFlowsTakeFromTheBudget(t *testing.T) {
	server := coldServer("lb-0", "lb-1")
	pacer, counts := newPacer("lb-0", Bounds{1.5, 5}, viewOf(viewer.Service{WarmUpRate: 20}, server))
	limit, spacing := allowance(20, Bounds{1.5, 5}, 2)
	now := start
	for range limit {
		pacer.RequestSent(&server, now)
		now = now.Add(spacing)
	}
	assert.Equal(t, pacer.Share(&server, now), 0.0)
	assert.Equal(t, pacer.Share(&server, start.Add(window)), 1.0)
	assert.Equal(t, counts.openings, 0)
	warm := viewer.BackendServer{Name: "b", Service: "desk-sync"}
	pacer.RequestSent(&warm, now)
	assert.Equal(t, len(pacer.budgets), 1)
}

func TestServersOfADomainThatIsTakenBackWaitUntilTheyCanHaveSaidThatTheyAreCold(t *testing.T) {
	warm := viewer.BackendServer{Name: "a", Service: "desk-sync", FailureDomain: "dakar-1", State: parser.Active, Token: 1}
	cold := coldServer("lb-0")
	cold.FailureDomain = "dakar-1"
	for _, rate := range []float64{0, 20} {
		current := viewer.NewViewer()
		current.ApplyConfiguration(&viewer.Configuration{Version: 1, Services: []viewer.Service{{Name: "desk-sync", WarmUpRate: rate}}})
		current.ApplyServers(&viewer.Servers{Revision: 1, List: []viewer.BackendServer{warm, serverIn("dakar-2")}}, start)
		pacer := NewPacer("lb-0", Bounds{}, current.Current, &counts{}, start.Add(-time.Minute))
		assert.Equal(t, pacer.Share(&warm, start), 1.0)
		current.ApplyEvacuations(&viewer.Evacuations{Revision: 2, Domains: []string{"dakar-1"}})
		assert.Equal(t, pacer.Share(&warm, start), 1.0, "the view leaves it out")
		current.ApplyEvacuations(&viewer.Evacuations{Revision: 3})
		held := 1.0
		if rate > 0 {
			held = 0
			assert.Equal(t, pacer.Share(&cold, start), 1.0, "a cold server that is known has a budget")
		}
		assert.Equal(t, pacer.Share(&warm, start), held)
		assert.Equal(t, pacer.Reserved(&warm, start), rate > 0)
		current.ApplyEvacuations(&viewer.Evacuations{Revision: 4})
		assert.Equal(t, pacer.Share(&warm, start.Add(returnHold-1)), held)
		assert.Equal(t, pacer.Share(&warm, start.Add(returnHold)), 1.0)
	}
}
