package director

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

type fixedGauge map[string]map[string]float64

func (fixedGauge fixedGauge) Utilizations(time.Time) map[string]map[string]float64 { return fixedGauge }

func TestPlacementsAreCountedAndLogged(t *testing.T) {
	log := &bytes.Buffer{}
	queue, cleanup := logger.NewQueue(log)
	recorder := NewRecorder(&configurer.PlatformSettings{FailureDomain: "dakar-1", Log: configurer.Log{Format: "json"}}, queue)
	recorder.SetLoadGauge(fixedGauge{"desk-sync": {"dakar-1": 0.847, "dakar-2": 0.3}})
	place := func(service, domain string, flows int) {
		for range flows {
			server := &viewer.BackendServer{Service: service, FailureDomain: domain}
			recorder.Decided(&steerer.Verdict{Action: steerer.Send, Server: server, Reason: steerer.ReasonNewFlow}, &viewer.View{})
		}
	}
	start := time.Unix(1_000_000, 0)
	recorder.Flush(start)
	place("desk-sync", "dakar-1", 90)
	place("desk-sync", "dakar-2", 10)
	place("report-desk", "dakar-1", 100)
	place("rare", "dakar-2", minPlacements-1)
	recorder.Flush(start.Add(placementInterval - time.Millisecond))
	recorder.Flush(start.Add(placementInterval))
	recorder.Flush(start.Add(2 * placementInterval))
	vars := &expvar.Map{}
	recorder.publish(vars)
	assert.Equal(t, vars.Get("utilization_percent").String(), `{"desk-sync":{"dakar-1":85,"dakar-2":30}}`)
	assert.Equal(t, recorder.counters.Get("placed_in_own_domain").String(), "190")
	cleanup()
	assert.Equal(t, strings.Count(log.String(), `"event":519`), 1, log.String())
	assert.Assert(t, strings.Contains(log.String(), `"service":"desk-sync","own_domain":90,"other_domains":10,"utilization":[{"failure_domain":"dakar-1","percent":85},{"failure_domain":"dakar-2","percent":30}]`), log.String())
}
