package relayer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/examiner"
)

// reportRandomly lets instances that are no leaders report suspicions of random servers for a
// time, perSecond in all.
func reportRandomly(random *rand.Rand, nodes []*node, suspicion examiner.Suspicion, perSecond float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		advance(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		nodes[random.IntN(len(nodes))].Relayer.ReportSuspicion(random.Uint32(), suspicion)
	}
}

// carriesSuspicions reports whether a datagram carries suspicions.
func carriesSuspicions(content []byte) bool {
	var heartbeat Heartbeat
	return isSuspicionReport(content) || decode(content, &heartbeat) == nil && len(heartbeat.Suspicions)+len(heartbeat.SlowSuspicions) > 0
}

// withoutNewFields returns a heartbeat as an older program, which knows no short reports, sends or
// understands it.
func withoutNewFields(content []byte) []byte {
	var heartbeat Heartbeat
	if err := decode(content, &heartbeat); err != nil {
		panic(err)
	}
	heartbeat.ReportSupport = 0
	return encode(heartbeat)
}

// With 3,100 instances in 8 failure domains and 340,000 requests a second, of which one in a
// hundred fails, the instances of a failure domain suspect servers 425 times a second.
func TestLeaderReceivesSuspicionsWithinControlTrafficLimit(t *testing.T) {
	const count, perSecond, seconds = 388, 425, 10
	runWithDomain(t, count, func(simulation *fleetSimulation, nodes []*node) {
		simulation.resetTraffic()
		leader := nodes[0]
		reportRandomly(rand.New(rand.NewPCG(1, 2)), nodes[leadersPerDomain:count], examiner.Failing, perSecond, seconds*time.Second)
		rate := leader.suspicionBytes / seconds
		t.Logf("%d suspicions take %d bytes a second at a leader", leader.suspicionCount, rate)
		assert.Assert(t, leader.suspicionCount > seconds*perSecond*9/10, "%d suspicions arrived", leader.suspicionCount)
		assert.Assert(t, rate <= controlBytesPerSecondLimit, "%d bytes a second", rate)
	})
}

// While instances run programs of two versions, suspicions are understood by all.
func TestOldProgramsShareSuspicions(t *testing.T) {
	cases := map[string]func(number int) bool{
		"all are old":             func(int) bool { return true },
		"the leaders are old":     func(number int) bool { return number < leadersPerDomain },
		"one leader is old":       func(number int) bool { return number == 0 },
		"the reporters are old":   func(number int) bool { return number >= leadersPerDomain },
		"every second is old":     func(number int) bool { return number%2 == 0 },
		"all have the new fields": func(int) bool { return false },
	}
	for name, isOld := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
				simulation.update(func() {
					for i, node := range nodes {
						simulation.oldPrograms[node.member.Name] = isOld(i % 10)
					}
				})
				advance(2 * ReadInterval)
				for _, suspicion := range []examiner.Suspicion{examiner.Failing, examiner.Slow} {
					for _, leader := range nodes[:leadersPerDomain] {
						leader.failureCounter, leader.slownessCounter = examiner.NewFailureDetector(), examiner.NewSlownessDetector()
					}
					token := uint32(7 + suspicion)
					for _, node := range nodes[4:7] {
						node.Relayer.ReportSuspicion(token, suspicion)
						node.Relayer.ReportSuspicion(token+100, suspicion)
					}
					advance(reportInterval + 2*collectInterval)
					for _, node := range nodes[:10] {
						assert.Assert(t, slices.Contains(node.ejected, token) && slices.Contains(node.ejected, token+100), "%s %s", suspicion, node.member.Name)
					}
				}
			})
		})
	}
}

// A leader that returns with an older program gets suspicions in heartbeats again, although the
// other instances may not hear it.
func TestLeaderThatReturnsWithOldProgramGetsSuspicions(t *testing.T) {
	for number := range leadersPerDomain {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			runWithFleet(t, 10, func(simulation *fleetSimulation, nodes []*node) {
				nodes[5].Relayer.ReportSuspicion(9, examiner.Failing)
				advance(collectInterval)
				assert.Assert(t, nodes[number].suspicionBytes > 0 && nodes[number].suspicionBytes < 20, "%d bytes", nodes[number].suspicionBytes)
				nodes[number].kill()
				advance(300 * time.Millisecond)
				simulation.update(func() { simulation.oldPrograms[nodes[number].member.Name] = true })
				returned := simulation.startNode(t, nodes[number].member.Name, 0, byte(number))
				advance(2 * ReadInterval)
				for _, node := range nodes[4:7] {
					node.Relayer.ReportSuspicion(7, examiner.Failing)
				}
				advance(collectInterval)
				assert.Equal(t, returned.suspicionCount, 3)
				for _, node := range nodes[2:10] {
					assert.Assert(t, slices.Contains(node.ejected, 7), "%s", node.member.Name)
				}
			})
		})
	}
}

// suspicionAt is a suspicion of the failing server, by the instance with this number.
type suspicionAt struct {
	at     time.Duration
	number int
}

// suspectedPlay is a failure domain in which a server is suspected.
type suspectedPlay struct {
	count     int     // of instances
	perSecond float64 // suspicions of the server
	others    float64 // suspicions of other servers a second, by each instance
}

// ejectionTimes returns when the leader and the last instance of a failure domain eject a server
// that is suspected at these times, while the instances report others as well.
func ejectionTimes(t *testing.T, interval time.Duration, play suspectedPlay, suspicion examiner.Suspicion, suspected []suspicionAt, seed uint64) (atLeader, atLast time.Duration) {
	const token = 7
	count := play.count
	runWithDomain(t, count, func(simulation *fleetSimulation, nodes []*node) {
		for _, node := range nodes {
			node.failureCounter, node.slownessCounter = examiner.NewFailureDetector(), examiner.NewSlownessDetector()
			node.Relayer.suspicions.interval = interval
		}
		nodes = nodes[:count]
		random := rand.New(rand.NewPCG(seed, 1))
		reporters, perSecond := nodes[leadersPerDomain:], play.others*float64(count)
		reportRandomly(random, reporters, suspicion, perSecond, time.Second)
		start := time.Now()
		nextOther := time.Duration(0)
		for now := time.Duration(0); atLast == 0; now = time.Since(start) {
			for len(suspected) > 0 && suspected[0].at <= now {
				reporters[suspected[0].number%len(reporters)].Relayer.ReportSuspicion(token, suspicion)
				suspected = suspected[1:]
			}
			if nextOther <= now {
				reporters[random.IntN(len(reporters))].Relayer.ReportSuspicion(random.Uint32(), suspicion)
				nextOther = now + time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))
			}
			advance(time.Millisecond)
			simulation.mutex.Lock()
			ejecting := 0
			for i, node := range nodes {
				if slices.Contains(node.ejected, token) {
					ejecting++
					if i == 0 && atLeader == 0 {
						atLeader = time.Since(start)
					}
				}
			}
			simulation.mutex.Unlock()
			if ejecting == count {
				atLast = time.Since(start)
			}
			if now > 20*time.Second {
				t.Fatal("the server was not ejected")
			}
		}
	})
	return atLeader, atLast
}

// A server that fails or is slow is ejected at most a tenth of a second later than if each
// suspicion were sent at once.
func TestCollectedSuspicionsEjectServersInTime(t *testing.T) {
	const (
		maxDelay  = 100 * time.Millisecond
		precision = 5 * time.Millisecond // of the steps of this test
		plays     = 8
	)
	for _, suspicion := range []examiner.Suspicion{examiner.Failing, examiner.Slow} {
		for _, play := range []suspectedPlay{{count: 10, perSecond: 4, others: 4}, {count: 30, perSecond: 9, others: 1.1}} {
			t.Run(fmt.Sprintf("%s, %d instances", suspicion, play.count), func(t *testing.T) {
				var sumLeader, sumLast, worst time.Duration
				for seed := range uint64(plays) {
					random := rand.New(rand.NewPCG(seed, uint64(play.count)))
					var suspected []suspicionAt
					for at := 0.0; len(suspected) < 100; {
						at += random.ExpFloat64() / play.perSecond
						suspected = append(suspected, suspicionAt{at: time.Duration(at * float64(time.Second)), number: random.IntN(math.MaxInt32)})
					}
					directLeader, directLast := ejectionTimes(t, 0, play, suspicion, suspected, seed)
					leader, last := ejectionTimes(t, collectInterval, play, suspicion, suspected, seed)
					sumLeader, sumLast = sumLeader+leader-directLeader, sumLast+last-directLast
					worst = max(worst, leader-directLeader)
					assert.Assert(t, leader <= directLeader+maxDelay+precision, "the leader ejects it after %s, direct %s", leader, directLeader)
				}
				t.Logf("later than direct: leader %s in the mean, %s at most; last instance %s in the mean", sumLeader/plays, worst, sumLast/plays)
				assert.Assert(t, sumLast/plays <= maxDelay, "the last instance ejects it %s later in the mean", sumLast/plays)
			})
		}
	}
}

func TestSuspicionsAreCollected(t *testing.T) {
	start := time.Now()
	collector := newSuspicionCollector()
	assert.Assert(t, !collector.isDue(start))
	collector.add(1, examiner.Failing, start)
	assert.Assert(t, collector.isDue(start), "the first suspicion waits for nothing")
	assert.DeepEqual(t, collector.take(start).Failing, []uint32{1})
	later := start.Add(collectInterval / 2)
	collector.add(2, examiner.Failing, later)
	collector.add(2, examiner.Failing, later)
	collector.add(3, examiner.Slow, later)
	assert.Assert(t, !collector.isDue(later))
	report := collector.take(later.Add(collectInterval))
	assert.DeepEqual(t, report.Failing, []uint32{2, 2})
	assert.DeepEqual(t, report.Slow, []uint32{3})
	assert.Equal(t, collector.take(later).count(), 0)

	collector.add(4, examiner.Failing, later)
	resumed := later.Add(5 * time.Second)
	collector.add(5, examiner.Failing, resumed)
	assert.DeepEqual(t, collector.take(resumed).Failing, []uint32{5}) // 4 waited for a paused process

	for i := range uint32(10 * maxCollected) {
		collector.add(i, examiner.Failing, resumed.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, len(collector.waiting), maxCollected)
}

func TestReportsOfSuspicionsAreChecked(t *testing.T) {
	relayer := newMuteRelayer(nil)
	relayer.schedule.isLeader = true
	tooLong := suspicionReport{Failing: make([]uint32, maxCollected), Slow: []uint32{1}}
	assert.ErrorContains(t, relayer.Receive(t.Context(), encode(tooLong)), "too long")
	assert.Assert(t, relayer.Receive(t.Context(), []byte{0x82, 0x81}) != nil, "a report that is cut short")
	assert.Assert(t, relayer.Receive(t.Context(), []byte{0x80}) != nil, "a report without lists")
	assert.Equal(t, relayer.failureCounter.SuspectCount(time.Now()), 0)
	report := suspicionReport{Failing: []uint32{1 << 31, 5}, Slow: []uint32{6}}
	content := encode(report)
	assert.Assert(t, len(content) <= 20, "%d bytes", len(content))
	assert.NilError(t, relayer.Receive(t.Context(), content))
	assert.Equal(t, relayer.failureCounter.SuspectCount(time.Now()), 2)
	assert.Equal(t, relayer.slownessCounter.SuspectCount(time.Now()), 1)
	assert.Equal(t, len(relayer.members), 0)
}
