package admitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func openingOf(caller byte, port uint16, class Class) Opening {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, caller}), port)
	return Opening{Flow: FlowID{Caller: address}, Service: "s", Class: class, Objective: 500 * time.Millisecond}
}

// limited returns an Admitter whose service lacks room, and when.
func limited(t *testing.T) (*Admitter, time.Time) {
	t.Helper()
	admitter, now := NewAdmitter(testSettings), start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		isShed := i > 300 && i%2 == 0
		admitter.Decide(openingOf(byte(i), uint16(i), stream), now)
		duration := 60 * time.Millisecond
		if i > 300 {
			duration *= 4
		}
		admitter.RecordResponse("s", Response{Class: stream, Duration: duration, IsShort: isShed}, now)
	}
	assert.Assert(t, admitter.IsLimited("s"))
	admitter.services["s"].held = nil
	for range 24 { // 100 a second of 240 ms
		admitter.RequestBegan("s", now)
	}
	return admitter, now
}

// The load: a short burst, then as many openings as before.
func TestLimitEndsAfterTheBurst(t *testing.T) {
	for _, c := range []struct {
		name  string
		first time.Duration // response time of the service's first response
		calm  int           // responses a second after the burst
	}{
		{"usual first response", 60 * time.Millisecond, 20},
		{"unusually short first response", 5 * time.Millisecond, 20},
		{"hardly any response after it", 60 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			admitter, now := NewAdmitter(testSettings), start
			admitter.RecordResponse("s", Response{Class: stream, Duration: c.first}, now)
			respond := func(count int, duration time.Duration, isShed func(i int) bool) {
				for i := range count {
					now = now.Add(time.Second / 20)
					admitter.Decide(openingOf(byte(i), uint16(i), stream), now)
					admitter.RecordResponse("s", Response{Class: stream, Duration: duration, IsShort: isShed(i)}, now)
				}
			}
			never := func(int) bool { return false }
			respond(400, 60*time.Millisecond, never)
			respond(60, 240*time.Millisecond, func(i int) bool { return i%2 == 0 })
			assert.Assert(t, admitter.IsLimited("s"))
			for range 2 * c.calm {
				now = now.Add(time.Second / time.Duration(c.calm))
				admitter.RecordResponse("s", Response{Class: stream, Duration: 60 * time.Millisecond}, now)
				admitter.Decide(openingOf(1, 1, stream), now)
			}
			assert.Assert(t, !admitter.IsLimited("s"), "limited two seconds after the burst")
		})
	}
}

func TestMoreUrgentOpeningTakesTheNextPlace(t *testing.T) {
	cases := []struct {
		name         string
		first, later Opening
		want         byte // last byte of the caller's address
	}{
		{"lower number", openingOf(1, 9001, Class{Priority: 2}), openingOf(2, 9002, Class{Priority: 1, IsRepeatable: true}), 2},
		{"work that must not be repeated", openingOf(1, 9001, Class{Priority: 2, IsRepeatable: true}), openingOf(2, 9002, Class{Priority: 2}), 2},
		{"equal", openingOf(1, 9001, stream), openingOf(2, 9002, stream), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			admitter, now := limited(t)
			service := admitter.services["s"]
			service.budget, service.tokens, service.refilledAt, service.controlledAt = 30, 0, now, now
			assert.Equal(t, admitter.hold(service, c.first, now), Hold)
			assert.Equal(t, admitter.hold(service, c.later, now.Add(time.Millisecond)), Hold)
			result, ok := admitter.Next(admitter.WakeTime().Add(time.Millisecond))
			assert.Assert(t, ok)
			assert.Equal(t, result.Decision, Admit)
			assert.Equal(t, result.Flow.Caller.Addr().As4()[3], c.want)
		})
	}
}

func TestCallerWithManyFlowsDoesNotPushOutOneWithFew(t *testing.T) {
	admitter, now := limited(t)
	admitted := map[byte]int{}
	asked := map[byte]int{}
	ask := func(caller byte, port int) {
		asked[caller]++
		if admitter.Decide(openingOf(caller, uint16(port), stream), now) == Admit {
			admitted[caller]++
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 4000 {
		now = now.Add(time.Millisecond)
		caller := byte(1)
		if random.IntN(20) == 0 {
			caller = byte(2 + random.IntN(10))
		}
		ask(caller, i)
		if i%10 == 0 {
			admitter.RecordResponse("s", Response{Class: stream, Duration: 240 * time.Millisecond, IsShort: i%50 == 0}, now)
		}
		for result, ok := admitter.Next(now); ok; result, ok = admitter.Next(now) {
			if result.Decision == Admit {
				admitted[result.Flow.Caller.Addr().As4()[3]]++
			}
		}
	}
	few, fewAsked := 0, 0
	for caller := byte(2); caller < 12; caller++ {
		few += admitted[caller]
		fewAsked += asked[caller]
		assert.Assert(t, admitted[caller] > 0, "caller %d got no place", caller)
	}
	fewShare, manyShare := float64(few)/float64(fewAsked), float64(admitted[1])/float64(asked[1])
	assert.Assert(t, fewShare > 2*manyShare, "callers with few flows %.2f, the one with many %.2f", fewShare, manyShare)
}

// TestHeldOpeningEndsOnceAndInTime plays random openings, responses and pauses.
func TestHeldOpeningEndsOnceAndInTime(t *testing.T) {
	for seed := range uint64(30) {
		admitter, now := limited(t)
		random := rand.New(rand.NewPCG(seed, 7))
		heldAt := map[FlowID]time.Time{}
		settle := func() {
			for result, ok := admitter.Next(now); ok; result, ok = admitter.Next(now) {
				at, isHeld := heldAt[result.Flow]
				assert.Assert(t, isHeld, "seed %d: decided twice", seed)
				delete(heldAt, result.Flow)
				assert.Equal(t, result.Waited, now.Sub(at))
			}
			assert.Assert(t, admitter.WakeTime().IsZero() == (len(heldAt) == 0), "seed %d", seed)
		}
		for i := range 1000 {
			now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
			class := Class{Priority: random.IntN(3), IsRepeatable: random.IntN(2) == 0}
			opening := openingOf(byte(random.IntN(50)), uint16(i), class)
			if admitter.Decide(opening, now) == Hold {
				heldAt[opening.Flow] = now
			}
			admitter.RecordResponse("s", Response{Class: class, Duration: time.Duration(random.IntN(400)) * time.Millisecond, IsShort: random.IntN(4) == 0}, now)
			settle()
			for flow, at := range heldAt {
				assert.Assert(t, now.Sub(at) < testSettings.MaxWait, "seed %d: %v waits since %s", seed, flow, now.Sub(at))
			}
		}
		admitter.SetSettings(Settings{})
		settle()
		assert.Equal(t, len(heldAt), 0, "seed %d: held although admission control is off", seed)
		assert.Assert(t, !admitter.IsLimited("s"))
	}
}

func TestNothingIsLimitedWhileDisabled(t *testing.T) {
	admitter := NewAdmitter(Settings{})
	for i := range 500 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		assert.Equal(t, admitter.Decide(openingOf(1, uint16(i), stream), now), Admit)
		admitter.RecordResponse("s", Response{Class: stream, Duration: time.Second, IsShort: i > 100}, now)
		assert.Assert(t, admitter.Report(now) == nil)
	}
}

func TestFailingServersAreNoShortage(t *testing.T) {
	admitter := NewAdmitter(testSettings)
	for i := range 500 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		assert.Equal(t, admitter.Decide(openingOf(1, uint16(i), stream), now), Admit, "at %s", now.Sub(start))
		response := Response{Class: stream, Duration: 60 * time.Millisecond}
		if i > 100 && i%3 == 0 {
			response = Response{Class: stream, Duration: 7 * time.Millisecond, IsShort: true}
		}
		admitter.RecordResponse("s", response, now)
	}
}

// TestSumsFollowTheMembers checks that the sum over the instances that report now, whichever
// these are, limits an instance that has just started, and no longer once it is too old.
func TestSumsFollowTheMembers(t *testing.T) {
	full := ServiceLoad{Service: "s", Answered: 50, Shed: 20, Offered: 60, Admitted: 30, Delay: 90}
	for _, members := range []int{1, 3, 40} {
		var loads []Load
		for range members {
			loads = append(loads, Load{full})
		}
		sum := Sum(loads)
		assert.Equal(t, len(sum), 1)
		assert.Equal(t, sum[0].Shed, float32(20*members))
		fresh, now := NewAdmitter(testSettings), start
		fresh.ApplyShared(sum, now)
		fresh.Decide(openingOf(1, 1, stream), now)
		assert.Assert(t, fresh.IsLimited("s"), "%d members", members)
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			fresh.Decide(openingOf(1, uint16(i), stream), now)
			fresh.RecordResponse("s", Response{Class: stream, Duration: 60 * time.Millisecond}, now)
		}
		assert.Assert(t, !fresh.IsLimited("s"), "%d members", members)
	}
}

func TestLoadFitsADatagram(t *testing.T) {
	var loads []Load
	for i := range 300 {
		loads = append(loads, Load{{Service: fmt.Sprintf("service-%d", i), Shed: float32(i)}})
	}
	sum := Sum(loads)
	assert.Equal(t, len(sum), maxSharedServices)
	assert.Equal(t, sum[0].Service, "service-299")
}

func TestImpossibleLoadIsInvalid(t *testing.T) {
	nan := float32(math.NaN())
	for _, load := range []Load{{{Answered: -1}}, {{Shed: nan}}, {{Delay: float32(math.Inf(1))}}, make(Load, maxSharedServices+1)} {
		assert.Assert(t, !load.IsValid(), "%v", load)
	}
	assert.Assert(t, Load{{Service: "s", Answered: 3, Shed: 1}}.IsValid())
}
