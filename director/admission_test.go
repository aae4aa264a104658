package director

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

func TestLimitedOpeningsAreCountedAndLogged(t *testing.T) {
	log := &bytes.Buffer{}
	queue, cleanup := logger.NewQueue(log)
	recorder := NewRecorder(&configurer.PlatformSettings{Log: configurer.Log{Format: "json", Verbosity: 1}}, queue)
	urgent := admitter.Class{Priority: 1}
	recorder.Decided(&steerer.Verdict{Action: steerer.Reset, Reason: steerer.ReasonNoRoom, Class: urgent, Waited: 80 * time.Millisecond}, &viewer.View{})
	assert.Equal(t, recorder.counters.Get("refused_no_room_priority_1").String(), "1")
	summary := admitter.Summary{Service: "desk-sync", IsLimited: true, Budget: 12, Refused: map[admitter.Class]int{urgent: 3}}
	for range 3 {
		recorder.AdmissionSummarized(summary)
	}
	summary.IsLimited = false
	recorder.AdmissionSummarized(summary)
	cleanup()
	for event, want := range map[string]int{`"event":603`: 1, `"event":605`: 4, `"event":604`: 1, `"class":"priority_1","waited_ms":80`: 1, `"refused":{"priority_1":3}`: 4} {
		assert.Equal(t, strings.Count(log.String(), event), want, "%s in %s", event, log)
	}
}

func TestSettingsOfAdmissionAreAppliedAtOnce(t *testing.T) {
	settings := &configurer.PlatformSettings{}
	reloader := NewReloader("", settings, nil)
	created := newAdmitter(settings, reloader)
	now := time.Unix(1_000_000, 0)
	shed := func() {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			created.Decide(admitter.Opening{Service: "desk-sync"}, now)
			created.RecordResponse("desk-sync", admitter.Response{Duration: time.Second, IsShort: true}, now)
		}
	}
	shed()
	assert.Assert(t, !created.IsLimited("desk-sync"))
	enabled := &configurer.PlatformSettings{Admission: configurer.Admission{Enabled: true, MaxShedShare: 0.05}}
	for _, apply := range reloader.subscribers {
		apply(enabled)
	}
	for range 20 { // the usual response time has to be known
		created.RecordResponse("desk-sync", admitter.Response{Duration: time.Second}, now)
	}
	shed()
	assert.Assert(t, created.IsLimited("desk-sync"))
}
