package placer

import (
	"math/rand/v2"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// selector is what a play needs of a Placer or of the baseline.
type selector interface {
	Select(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer
	FlowOpened(server *viewer.BackendServer, now time.Time)
	FlowClosed(server *viewer.BackendServer, now time.Time)
	RequestBegan(server *viewer.BackendServer, isFirst bool, now time.Time)
	RequestEnded(server *viewer.BackendServer, now time.Time)
	RecordResponseTime(server *viewer.BackendServer, duration time.Duration, now time.Time)
	OpeningAnswered(server *viewer.BackendServer, now time.Time)
	OpeningUnanswered(server *viewer.BackendServer, now time.Time) bool
}

// threeDraws is the baseline: it compares three servers of the whole service, counts open flows,
// and multiplies the cost of a server in another failure domain by 1.5.
type threeDraws struct {
	*Placer
	instances int
}

func newThreeDraws(failureDomain string, instances int, random *rand.Rand) *threeDraws {
	return &threeDraws{Placer: NewPlacer(failureDomain, noEstimate{}, neverFailing, random), instances: instances}
}

func (threeDraws *threeDraws) Select(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	var best *viewer.BackendServer
	bestCost := 0.0
	for range 3 {
		candidate := threeDraws.draw(candidates, attempted, now)
		state := threeDraws.stateOf(candidate, now)
		cost := threeDraws.responseTimeRatio(candidate, state)
		cost *= 1 + float64(state.openFlows*threeDraws.instances)/float64(candidate.Slots)
		if candidate.FailureDomain != threeDraws.failureDomain {
			cost *= 1.5
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func (threeDraws *threeDraws) draw(candidates, attempted []*viewer.BackendServer, now time.Time) *viewer.BackendServer {
	for range 8 {
		candidate := candidates[threeDraws.random.IntN(len(candidates))]
		if !containsDomain(attempted, candidate) && !threeDraws.isEjected(candidate, now) {
			return candidate
		}
	}
	preferred := threeDraws.preferredCandidates(candidates, attempted, now)
	return preferred[threeDraws.random.IntN(len(preferred))]
}

// noEstimate is the estimator of a placer that uses none.
type noEstimate struct{}

func (noEstimate) RequestBegan(*viewer.BackendServer, time.Time)                      {}
func (noEstimate) RequestMoved(*viewer.BackendServer, time.Time)                      {}
func (noEstimate) RequestEnded(*viewer.BackendServer, time.Time)                      {}
func (noEstimate) RecordResponseTime(*viewer.BackendServer, time.Duration, time.Time) {}
func (noEstimate) Demand(string, time.Time) float64                                   { return 0 }
func (noEstimate) Surge(string, time.Time) float64                                    { return 0 }
func (noEstimate) Offered(string, time.Time) float64                                  { return 0 }
func (noEstimate) Outstanding(string, string, time.Time) float64                      { return 0 }
func (noEstimate) Background(string, string, time.Time) float64                       { return 0 }
func (noEstimate) FleetInstances() int                                                { return 1 }
func (noEstimate) Expire(time.Time)                                                   {}

func neverFailing(*viewer.BackendServer, time.Time) bool { return false }
