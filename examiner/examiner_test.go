package examiner

import (
	"fmt"
	"math"
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
		{"regular lengths vary", []uint32{500, 1500, 800, 2500, 350}, 0},
		{"an error page", []uint32{170}, 1},
		{"two error pages among regular responses", []uint32{900, 170, 1100, 170}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			suspected := 0
			examiner := NewExaminer(func(*viewer.BackendServer, Suspicion) { suspected++ })
			server := servers(1)[0]
			for range minRouteSamples {
				examiner.RecordResponse(route, server, 1000, 50*time.Millisecond, start)
			}
			for _, bytes := range c.bytes {
				examiner.RecordResponse(route, server, bytes, 50*time.Millisecond, start)
			}
			assert.Equal(t, suspected, c.want)
		})
	}
}

// The load: routes whose responses are pages, readings or files of very different lengths.
func TestLengthsThatVaryWidelyAreNotSuspicious(t *testing.T) {
	for _, c := range []struct {
		name         string
		mean, spread float64 // bytes without the head; standard deviation of the logarithm
	}{
		{"short pages", 1000, 0.6},
		{"readings", 2000, 0.6},
		{"long readings", 4000, 0.6},
		{"files", 20000, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			const responses, errorPage = 20_000, 152
			random, suspected := rand.New(rand.NewPCG(1, 4)), 0
			examiner := NewExaminer(func(*viewer.BackendServer, Suspicion) { suspected++ })
			server := servers(1)[0]
			for range responses {
				body := c.mean * math.Exp(c.spread*random.NormFloat64()-c.spread*c.spread/2)
				examiner.RecordResponse(route, server, uint32(150+body), 50*time.Millisecond, start)
			}
			assert.Assert(t, suspected <= responses/500, "%d of %d regular responses", suspected, responses)
			suspected = 0
			for range 100 {
				examiner.RecordResponse(route, server, errorPage, 50*time.Millisecond, start)
				for range 10 { // a route on which one response in eleven fails
					body := c.mean * math.Exp(c.spread*random.NormFloat64()-c.spread*c.spread/2)
					examiner.RecordResponse(route, server, uint32(150+body), 50*time.Millisecond, start)
				}
			}
			assert.Assert(t, suspected >= 90, "%d of 100 error pages", suspected)
		})
	}
}

func TestAverageFollowsRouteWhoseResponsesBecomeShort(t *testing.T) {
	suspected := 0
	examiner := NewExaminer(func(*viewer.BackendServer, Suspicion) { suspected++ })
	for range 100 {
		examiner.RecordResponse(route, servers(1)[0], 1000, 50*time.Millisecond, start)
	}
	for range 1000 {
		examiner.RecordResponse(route, servers(1)[0], 200, 50*time.Millisecond, start)
	}
	before := suspected
	examiner.RecordResponse(route, servers(1)[0], 200, 50*time.Millisecond, start)
	assert.Equal(t, suspected, before)
}

func TestServerWithSeveralSuspiciousResponsesIsEjected(t *testing.T) {
	outlierDetector := NewFailureDetector()
	assert.Equal(t, outlierDetector.AddSuspicion(7, start.Add(-failureWindow-time.Millisecond)), time.Duration(0), "outside the window of the later ones")
	assert.Equal(t, outlierDetector.AddSuspicion(7, start), time.Duration(0))
	assert.Equal(t, outlierDetector.AddSuspicion(8, start.Add(150*time.Millisecond)), time.Duration(0))
	assert.Equal(t, outlierDetector.AddSuspicion(7, start.Add(failureWindow)), baseEjectionTime)
	assert.Equal(t, outlierDetector.AddSuspicion(7, start.Add(failureWindow+time.Millisecond)), time.Duration(0), "it is already ejected")
}

func TestEjectionTimeBacksOff(t *testing.T) {
	outlierDetector, now := NewFailureDetector(), start
	for _, want := range []time.Duration{baseEjectionTime, 2 * baseEjectionTime, maxEjectionTime, maxEjectionTime} {
		for range failureLimit - 1 {
			assert.Equal(t, outlierDetector.AddSuspicion(7, now), time.Duration(0))
		}
		assert.Equal(t, outlierDetector.AddSuspicion(7, now), want)
		now = now.Add(want + time.Second)
	}
	now = now.Add(backoffResetDelay)
	for range failureLimit - 1 {
		outlierDetector.AddSuspicion(7, now)
	}
	assert.Equal(t, outlierDetector.AddSuspicion(7, now), baseEjectionTime, "the back-off was reset")
}

// TestWorkingServersAreRarelyEjected simulates ten minutes of one of four failure
// domains that share 1,600 flows a second. One flow in a thousand has a short but
// regular response.
func TestWorkingServersAreRarelyEjected(t *testing.T) {
	outlierDetector, random, ejected := NewFailureDetector(), rand.New(rand.NewPCG(1, 1)), 0
	const rate = 400
	const flows = 600 * rate
	for flow := range flows {
		if random.IntN(1000) != 0 {
			continue
		}
		now := start.Add(time.Duration(flow) * time.Second / rate)
		if outlierDetector.AddSuspicion(uint32(random.IntN(120)+1), now) > 0 {
			ejected++
		}
	}
	assert.Assert(t, ejected <= 10, "%d ejections in ten minutes", ejected)
}

func TestOnlyPartOfAServiceIsEjected(t *testing.T) {
	ejections, all := NewEjections(), servers(10)
	until := start.Add(time.Second)
	for i, want := range []bool{true, true, true, false} {
		assert.Equal(t, ejections.Eject(all[i], all, until, start), want, "server %d", i)
		assert.Equal(t, ejections.IsEjected(all[i].Token, start), want)
	}
	assert.Assert(t, ejections.Eject(all[0], all, until.Add(time.Second), start), "an ejected server can be ejected for longer")
	assert.Assert(t, ejections.Eject(all[3], all, until.Add(time.Minute), until.Add(2*time.Second)), "the other ejections have ended")
	assert.Assert(t, !ejections.Eject(servers(2)[0], servers(2), until, start), "no server of a service of two is ejected")
}

func TestNumberOfRoutesIsBounded(t *testing.T) {
	examiner := NewExaminer(func(*viewer.BackendServer, Suspicion) {})
	for number := range uint32(maxRoutes + 10) {
		address := netip.AddrFrom4([4]byte{198, byte(number >> 16), byte(number >> 8), byte(number)})
		examiner.RecordResponse(netip.AddrPortFrom(address, 443), servers(1)[0], 1000, 50*time.Millisecond, start)
	}
	assert.Assert(t, len(examiner.averages) <= maxRoutes)
}

func TestEjectionIsNotShortened(t *testing.T) {
	ejections, all := NewEjections(), servers(10)
	ejections.Eject(all[0], all, start.Add(8*time.Second), start)
	assert.Assert(t, ejections.Eject(all[0], all, start.Add(2*time.Second), start))
	assert.Assert(t, ejections.IsEjected(all[0].Token, start.Add(5*time.Second)), "the other leader ejected it for longer")
}

func TestSlowResponsesAreSuspicious(t *testing.T) {
	cases := []struct {
		name     string
		duration time.Duration
		earlier  int // responses of the server in the second before
		want     int
	}{
		{"usual", 60 * time.Millisecond, 0, 0},
		{"within the spread", 190 * time.Millisecond, 0, 0},
		{"slow", 350 * time.Millisecond, 0, 1},
		{"slow, of a server seen twice", 350 * time.Millisecond, 2, 1},
		{"slow, of a server seen often", 350 * time.Millisecond, 20, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var suspicions []Suspicion
			examiner := NewExaminer(func(_ *viewer.BackendServer, suspicion Suspicion) { suspicions = append(suspicions, suspicion) })
			others := servers(30)
			for i := range 2 * minRouteSamples {
				examiner.RecordResponse(route, others[1+i%29], 1000, 50*time.Millisecond, start)
			}
			for range c.earlier {
				examiner.RecordResponse(route, others[0], 1000, 50*time.Millisecond, start)
			}
			examiner.RecordResponse(route, others[0], 1000, c.duration, start.Add(time.Second))
			assert.Equal(t, len(suspicions), c.want)
		})
	}
}

// slowServersPlay plays ten seconds of a failure domain of 60 instances that share 870 flows
// a second over 600 servers, of which every sixth becomes five times slower after two
// seconds. It returns the share of callers that wait more than 300 ms in the last five
// seconds, with the instances' suspicions told to a leader or not.
func slowServersPlay(t *testing.T, shared bool) float64 {
	t.Helper()
	const instances, rate, count, seconds = 60, 870, 600, 10
	random := rand.New(rand.NewPCG(7, 7))
	all := servers(count)
	ejections, detector, now := NewEjections(), NewSlownessDetector(), start
	var examiners []*Examiner
	for range instances {
		examiners = append(examiners, NewExaminer(func(server *viewer.BackendServer, _ Suspicion) {
			if !shared {
				return
			}
			if duration := detector.AddSuspicion(server.Token, now); duration > 0 {
				ejections.Eject(server, all, now.Add(duration), now)
			}
		}))
	}
	late, measured := 0, 0
	for flow := range rate * seconds {
		now = start.Add(time.Duration(flow) * time.Second / rate)
		server := all[random.IntN(count)]
		for ejections.IsEjected(server.Token, now) {
			server = all[random.IntN(count)]
		}
		milliseconds := min(40*math.Exp(0.5*random.NormFloat64()), 240) / []float64{0.6, 1, 1.6}[server.Token%3]
		if server.Token%6 == 0 && now.Sub(start) > 2*time.Second {
			milliseconds = 5*milliseconds + 150 // and its queue
		}
		duration := time.Duration(milliseconds * float64(time.Millisecond))
		examiners[random.IntN(instances)].RecordResponse(route, server, 1000, duration, now)
		if now.Sub(start) > 5*time.Second {
			measured++
			if duration > 300*time.Millisecond {
				late++
			}
		}
	}
	return float64(late) / float64(measured)
}

func TestFewCallersWaitForSlowServersWhenInstancesShareSuspicions(t *testing.T) {
	alone, shared := slowServersPlay(t, false), slowServersPlay(t, true)
	assert.Assert(t, alone > 0.05, "%.3f late without sharing", alone)
	assert.Assert(t, shared < alone/2, "%.3f late, %.3f without sharing", shared, alone)
}
