package director

import (
	"time"

	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

// Decided counts where a new flow is placed, and logs a decision about a flow if lines about
// single flows are enabled.
func (recorder *Recorder) Decided(verdict *steerer.Verdict, view *viewer.View) {
	recorder.placements.count(verdict)
	recorder.countRefused(verdict)
	if !recorder.logsFlows.Load() {
		return
	}
	fields := []any{"flow", flowName(verdict.Flow), "action", verdict.Action.String(), "reason", string(verdict.Reason)}
	if verdict.Server != nil {
		fields = append(fields, "backend_server", verdict.Server.Name)
	}
	if isAboutRoom(verdict) {
		fields = append(fields, "class", verdict.Class.String(), "waited_ms", verdict.Waited.Milliseconds())
	}
	if verdict.Candidates > 0 {
		fields = append(fields, "candidates", verdict.Candidates, "tried", verdict.Attempts)
	}
	if view.Complete() {
		fields = append(fields, "configuration", view.Configuration.Version, "revision", view.Servers.Revision)
	}
	if age := recorder.viewAge.Load(); age != nil {
		fields = append(fields, "age_ms", (*age)(time.Now()).Milliseconds())
	}
	logger.Event(recorder.flowLog, logger.EventFlowDecided, fields...)
}

func flowName(flow steerer.FlowKey) string {
	return flow.CallerAddress.String() + ">" + flow.ServiceAddress.String()
}

// FlowEnded logs the end of a flow if lines about single flows are enabled, and adds its
// handshake and response times to the histograms.
func (recorder *Recorder) FlowEnded(summary *steerer.FlowSummary) {
	if summary.Established {
		recorder.handshakeTimes.Add(bucketName(summary.HandshakeTime), 1)
	} else {
		recorder.counters.Add("never_opened", 1)
	}
	if summary.ResponseTime > 0 {
		recorder.responseTimes.Add(bucketName(summary.ResponseTime), 1)
	}
	if !recorder.logsFlows.Load() {
		return
	}
	logger.Event(recorder.flowLog, logger.EventFlowEnded, "flow", flowName(summary.Flow),
		"backend_server", summary.Server.Name, "accepted", summary.Established,
		"opening_ms", summary.HandshakeTime.Milliseconds(), "response_ms", summary.ResponseTime.Milliseconds(),
		"bytes", summary.ResponseBytes, "end", string(summary.EndReason))
}

// bucketName returns the name of a duration's histogram bucket: its upper bound in
// milliseconds, or "more".
func bucketName(duration time.Duration) string {
	for _, bucket := range buckets {
		if duration <= bucket.upperBound {
			return bucket.name
		}
	}
	return "more"
}

// buckets are the histogram buckets that have an upper bound, in ascending order.
var buckets = []struct {
	upperBound time.Duration
	name       string
}{
	{5 * time.Millisecond, "5"},
	{10 * time.Millisecond, "10"},
	{25 * time.Millisecond, "25"},
	{50 * time.Millisecond, "50"},
	{100 * time.Millisecond, "100"},
	{250 * time.Millisecond, "250"},
	{500 * time.Millisecond, "500"},
	{time.Second, "1000"},
	{2500 * time.Millisecond, "2500"},
	{5 * time.Second, "5000"},
}
