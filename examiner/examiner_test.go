package examiner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/viewer"
)

var (
	route = netip.MustParseAddrPort("198.18.0.1:443")
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func servers(count int) []*viewer.BackendServer {
	var all []*viewer.BackendServer
	for i := range count {
		all = append(all, &viewer.BackendServer{Name: fmt.Sprintf("i-%02x", i), Token: uint32(i + 1)})
	}
	return all
}

func TestShortResponsesAreSuspicious(t *testing.T) {
	cases := []struct {
		name  string
		bytes []uint32
		want  int
	}{
		{"regular ones differ", []uint32{500, 1500, 800, 2500, 350}, 0},
		{"an error page", []uint32{170}, 1},
		{"one of many", []uint32{900, 170, 1100, 170}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			suspected := 0
			examiner := NewExaminer(func(*viewer.BackendServer) { suspected++ })
			server := servers(1)[0]
			for range minSamples {
				examiner.Answered(route, server, 1000)
			}
			for _, bytes := range c.bytes {
				examiner.Answered(route, server, bytes)
			}
			assert.Equal(t, suspected, c.want)
		})
	}
}

func TestARouteWhoseResponsesBecomeShortIsLearned(t *testing.T) {
	suspected := 0
	examiner := NewExaminer(func(*viewer.BackendServer) { suspected++ })
	for range 100 {
		examiner.Answered(route, servers(1)[0], 1000)
	}
	for range 1000 {
		examiner.Answered(route, servers(1)[0], 200)
	}
	before := suspected
	examiner.Answered(route, servers(1)[0], 200)
	assert.Equal(t, suspected, before)
}

func TestATallyHoldsAServerThatIsSuspectedOften(t *testing.T) {
	tally := NewTally()
	assert.Equal(t, tally.AddSuspicion(7, start.Add(-window-time.Millisecond)), time.Duration(0), "too long ago")
	assert.Equal(t, tally.AddSuspicion(7, start), time.Duration(0))
	assert.Equal(t, tally.AddSuspicion(8, start.Add(150*time.Millisecond)), time.Duration(0))
	assert.Equal(t, tally.AddSuspicion(7, start.Add(window)), firstHold)
	assert.Equal(t, tally.AddSuspicion(7, start.Add(window+time.Millisecond)), time.Duration(0), "it is held off already")
}

func TestAServerThatFailsAgainIsHeldLonger(t *testing.T) {
	tally, now := NewTally(), start
	for _, want := range []time.Duration{firstHold, 2 * firstHold, maxHold, maxHold} {
		for range holdLimit - 1 {
			assert.Equal(t, tally.AddSuspicion(7, now), time.Duration(0))
		}
		assert.Equal(t, tally.AddSuspicion(7, now), want)
		now = now.Add(want + time.Second)
	}
	now = now.Add(probation)
	for range holdLimit - 1 {
		tally.AddSuspicion(7, now)
	}
	assert.Equal(t, tally.AddSuspicion(7, now), firstHold, "it was forgotten")
}

// TestServersThatWorkAreRarelyHeld plays ten minutes of a failure domain of 1,600
// flows a second in four of them, of which one in a thousand has a response that
// is short by nature.
func TestServersThatWorkAreRarelyHeld(t *testing.T) {
	tally, random, held := NewTally(), rand.New(rand.NewPCG(1, 1)), 0
	const rate = 400
	const flows = 600 * rate
	for flow := range flows {
		if random.IntN(1000) != 0 {
			continue
		}
		now := start.Add(time.Duration(flow) * time.Second / rate)
		if tally.AddSuspicion(uint32(random.IntN(120)+1), now) > 0 {
			held++
		}
	}
	assert.Assert(t, held <= 10, "%d holds in ten minutes", held)
}

func TestOnlyAPartOfAServiceIsHeld(t *testing.T) {
	holds, all := NewHolds(), servers(10)
	until := start.Add(time.Second)
	for i, want := range []bool{true, true, true, false} {
		assert.Equal(t, holds.Hold(all[i], all, until, start), want, "server %d", i)
		assert.Equal(t, holds.Held(all[i].Token, start), want)
	}
	assert.Assert(t, holds.Hold(all[0], all, until.Add(time.Second), start), "one that is held already")
	assert.Assert(t, holds.Hold(all[3], all, until.Add(time.Minute), until.Add(2*time.Second)), "the others' time is over")
	assert.Assert(t, !holds.Hold(servers(2)[0], servers(2), until, start), "a service of two keeps both")
}

func TestTheRoutesThatAreRememberedAreBounded(t *testing.T) {
	examiner := NewExaminer(func(*viewer.BackendServer) {})
	for number := range uint32(maxRoutes + 10) {
		address := netip.AddrFrom4([4]byte{198, byte(number >> 16), byte(number >> 8), byte(number)})
		examiner.Answered(netip.AddrPortFrom(address, 443), nil, 1000)
	}
	assert.Assert(t, len(examiner.routes) <= maxRoutes)
}
