package director

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

// Recorder writes the log of an instance and keeps the counters and histograms of
// its metrics. It observes the steerer, the relayer and the platform's source, and
// is safe for concurrent use.
type Recorder struct {
	eventLog       logr.Logger // rare lines
	flowLog        logr.Logger // lines about single flows
	logsFlows      atomic.Bool // whether flowLog is written
	counters       *expvar.Map // by name, published as decisions
	handshakeTimes *expvar.Map // histogram, published as opening_ms
	responseTimes  *expvar.Map // histogram
	queue          *logger.Queue
	placements     placementRecorder
	instance       uint32                                            // hash of this instance's name
	viewAge        atomic.Pointer[func(now time.Time) time.Duration] // nil until SetViewAge
	serverNames    atomic.Pointer[func(token uint32) string]         // nil until SetServerNames

	mutex           sync.Mutex
	failingCalls    map[string]bool      // by call to the store: whether the last one failed
	limitedServices map[string]bool      // whether openings are limited, as last logged
	failureLoggedAt map[string]time.Time // by socket or kind of message: when its last error was logged
	ready           bool                 // as last reported to the fabric
	reportedDropped uint64               // dropped log lines, as last logged
}

// flowVerbosity is the lowest verbosity at which lines about single flows are logged.
const flowVerbosity = 1

// NewRecorder returns a Recorder that writes to queue.
func NewRecorder(settings *configurer.PlatformSettings, queue *logger.Queue) *Recorder {
	recorder := &Recorder{
		eventLog:        logger.New(queue.HighPriority(), settings.Log.Format, settings.Log.Verbosity),
		flowLog:         logger.New(queue.LowPriority(), settings.Log.Format, settings.Log.Verbosity),
		counters:        &expvar.Map{},
		handshakeTimes:  &expvar.Map{},
		responseTimes:   &expvar.Map{},
		queue:           queue,
		instance:        viewer.InstanceHash(settings.Instance),
		failingCalls:    map[string]bool{},
		failureLoggedAt: map[string]time.Time{},
		limitedServices: map[string]bool{},
	}
	recorder.placements = placementRecorder{failureDomain: settings.FailureDomain, services: map[string]*placementCounts{}, counters: recorder.counters}
	recorder.SetVerbosity(settings.Log.Verbosity)
	return recorder
}

// SetViewAge sets the function that returns the age of the view for lines about flows.
func (recorder *Recorder) SetViewAge(age func(now time.Time) time.Duration) {
	recorder.viewAge.Store(&age)
}

// Flush starts writing the queued lines. It logs how many lines were dropped since
// the last call, if any, and where new flows were placed.
func (recorder *Recorder) Flush(now time.Time) {
	recorder.logPlacements(now)
	dropped := recorder.queue.Dropped()
	recorder.mutex.Lock()
	newlyDropped := dropped - recorder.reportedDropped
	recorder.reportedDropped = dropped
	recorder.mutex.Unlock()
	if newlyDropped > 0 {
		recorder.Event(logger.EventLinesDropped, "lines", newlyDropped)
	}
	recorder.queue.Flush()
}

// SetVerbosity sets the verbosity, which determines whether lines about single
// flows are logged.
func (recorder *Recorder) SetVerbosity(verbosity int) {
	recorder.logsFlows.Store(verbosity >= flowVerbosity)
}

func (recorder *Recorder) publish(vars *expvar.Map) {
	vars.Set("decisions", recorder.counters)
	vars.Set("opening_ms", recorder.handshakeTimes)
	vars.Set("response_ms", recorder.responseTimes)
	vars.Set("utilization_percent", expvar.Func(func() any { return recorder.placements.utilizations(time.Now()) }))
	vars.Set("log_lines_dropped", expvar.Func(func() any { return recorder.queue.Dropped() }))
}

// Event logs a numbered event. Lines of such events are rare, and the queue drops
// them only after those about single flows.
func (recorder *Recorder) Event(kind decider.EventKind, fields ...any) {
	logger.Event(recorder.eventLog, kind, fields...)
}

// Count counts a verdict under its reason.
func (recorder *Recorder) Count(reason steerer.Reason) { recorder.counters.Add(string(reason), 1) }

// WarmUpOpening counts an opening that was sent to a cold server whose service states a rate.
func (recorder *Recorder) WarmUpOpening() { recorder.counters.Add("warm_up_openings", 1) }

// WarmUpDeclined counts a cold candidate that was passed over because this instance may send it no
// opening now: several for one opening, and also for openings that another server gets.
func (recorder *Recorder) WarmUpDeclined() { recorder.counters.Add("warm_up_declined", 1) }

// WarmUpRateTooSmall logs that no instance may open flows at cold servers of a service, since the
// rate that it states is too small.
func (recorder *Recorder) WarmUpRateTooSmall(service string, rate float64) {
	recorder.Event(logger.EventWarmUpRateTooSmall, "service", service, "rate", rate)
}

// PacketMalformed counts a datagram that cannot be decoded as a packet, by the kind of error.
func (recorder *Recorder) PacketMalformed(err error) {
	if errors.Is(err, platform.ErrTooShort) {
		recorder.counters.Add("malformed_short", 1)
		return
	}
	recorder.counters.Add("malformed_length", 1)
}

// socketFailureInterval is the shortest time between two log lines about errors of one socket, or
// about malformed messages of one kind.
const socketFailureInterval = 10 * time.Second

// SocketFailed counts a datagram that could not be received or sent, and logs one
// such error per socket and socketFailureInterval.
func (recorder *Recorder) SocketFailed(socket string, err error) {
	recorder.counters.Add("socket_errors_"+socket, 1)
	if recorder.logDue(socket) {
		recorder.Event(logger.EventSocketFailed, "socket", socket, "error", err.Error())
	}
}

// logDue reports whether an error of this kind was last logged socketFailureInterval ago, and
// if so counts it as logged now.
func (recorder *Recorder) logDue(kind string) bool {
	now := time.Now()
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	due := now.Sub(recorder.failureLoggedAt[kind]) >= socketFailureInterval
	if due {
		recorder.failureLoggedAt[kind] = now
	}
	return due
}

// HeartbeatMalformed counts a heartbeat that cannot be decoded or is invalid, and logs one
// such error per socketFailureInterval.
func (recorder *Recorder) HeartbeatMalformed(err error) {
	recorder.counters.Add("malformed_heartbeats", 1)
	if recorder.logDue("malformed heartbeat") {
		recorder.Event(logger.EventHeartbeatInvalid, "error", err.Error())
	}
}

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

// ServerEjected counts and logs that the steerer ejected a server because it did not answer openings.
func (recorder *Recorder) ServerEjected(server *viewer.BackendServer) {
	recorder.counters.Add("held_off", 1)
	recorder.Event(logger.EventServerEjected, "backend_server", server.Name, "service", server.Service)
}

// FlowsReset counts and logs that the flows of a silent server are reset; a server without flows
// here is only counted.
func (recorder *Recorder) FlowsReset(server *viewer.BackendServer, flows int) {
	recorder.counters.Add("servers_silent", 1)
	if flows > 0 {
		recorder.Event(logger.EventFlowsReset, "backend_server", server.Name, "service", server.Service, "flows", flows)
	}
}

// ServerSilent counts and logs that this instance declared a server silent for its failure domain.
func (recorder *Recorder) ServerSilent(token uint32, evidence detector.Evidence) {
	recorder.counters.Add("silences_declared", 1)
	recorder.Event(logger.EventServerSilent, "backend_server", recorder.serverName(token), "flows", evidence.Flows,
		"instances", evidence.Instances, "longest_wait_ms", evidence.Longest.Milliseconds(), "since_ms", evidence.Since.Milliseconds(), "removed", evidence.Removed, "hinted", evidence.Hinted)
}

// ServerHeld counts and logs that this instance has openings to a server held back in its failure
// domain.
func (recorder *Recorder) ServerHeld(token uint32, evidence detector.Evidence, duration time.Duration) {
	recorder.counters.Add("holds_declared", 1)
	recorder.Event(logger.EventServerHeld, "backend_server", recorder.serverName(token), "openings", evidence.Openings, "instances", evidence.Instances,
		"from", evidence.From, "since_ms", evidence.Since.Milliseconds(), "hinted", evidence.Hinted, "for", duration.String())
}

// ServerReadmitted counts and logs that the ejection of a server ended because another instance has
// seen it alive.
func (recorder *Recorder) ServerReadmitted(server *viewer.BackendServer, age time.Duration) {
	recorder.counters.Add("readmitted", 1)
	recorder.Event(logger.EventServerReadmitted, "backend_server", server.Name, "service", server.Service, "answered_ms_ago", age.Milliseconds())
}

// ServerAlive counts and logs that a declaration was taken back; seenHere is whether this
// instance saw the sign of life.
func (recorder *Recorder) ServerAlive(token uint32, seenHere bool) {
	recorder.counters.Add("silences_refuted", 1)
	recorder.Event(logger.EventServerAlive, "backend_server", recorder.serverName(token), "seen_here", seenHere)
}

// serverName returns the name of the server with a token, or an empty one if it is unknown.
func (recorder *Recorder) serverName(token uint32) string {
	names := recorder.serverNames.Load()
	if names == nil {
		return ""
	}
	return (*names)(token)
}

// SetServerNames sets the function that returns the name of the server with a token.
func (recorder *Recorder) SetServerNames(names func(token uint32) string) {
	recorder.serverNames.Store(&names)
}

// LogEjection counts and logs that a server fails its requests or is slow; ejected is
// whether it gets no new flows for a time because of it. Of servers that are not ejected, as
// too many are already, it logs one in socketFailureInterval.
func (recorder *Recorder) LogEjection(server *viewer.BackendServer, ejection relayer.Ejection, ejected bool) {
	event, counter := logger.EventServerFailing, "failing"
	if ejection.IsSlow {
		event, counter = logger.EventServerSlow, "slow"
	}
	recorder.counters.Add(counter, 1)
	if !ejected && !recorder.logDue("declined ejection") {
		return
	}
	recorder.Event(event, "backend_server", server.Name, "service", server.Service,
		"for", ejection.Duration.String(), "held_off", ejected)
}

// ReadinessReported logs the readiness reported to the fabric when it has changed.
func (recorder *Recorder) ReadinessReported(ready bool) {
	recorder.mutex.Lock()
	changed := ready != recorder.ready
	recorder.ready = ready
	recorder.mutex.Unlock()
	if changed {
		recorder.Event(logger.EventReadinessChanged, "ready", ready)
	}
}

// ConfigurationApplied logs that a configuration version is in force on this instance;
// from names where it was received from.
func (recorder *Recorder) ConfigurationApplied(version uint64, from string) {
	recorder.Event(logger.EventConfigurationApplied, "version", version, "from", from)
}

// maxChangeLines is how many changes between two lists are logged one by one.
const maxChangeLines = 10

// ServersApplied logs one line for each backend server that changed, or a single line
// with counts by state when more than maxChangeLines did; from names where the list
// was received from.
func (recorder *Recorder) ServersApplied(before, after *viewer.Servers, from string) {
	recorder.logWarmUps(before, after)
	changes := viewer.ServerChanges(before, after)
	if len(changes) > maxChangeLines {
		counts := map[string]int{}
		for _, change := range changes {
			counts[change.State]++
		}
		recorder.Event(logger.EventServersChanged, "changed", counts, "listed", len(after.List), "revision", after.Revision, "from", from)
		return
	}
	for _, change := range changes {
		recorder.Event(logger.EventServerChanged, "backend_server", change.Name, "service", change.Service,
			"state", change.State, "revision", after.Revision, "from", from)
	}
}

// logWarmUps logs one line for each server that turned cold or is warm again, or a single
// line with counts when more than maxChangeLines did.
func (recorder *Recorder) logWarmUps(before, after *viewer.Servers) {
	changes := viewer.WarmUpChanges(before, after)
	if len(changes) > maxChangeLines {
		cold := 0
		for _, change := range changes {
			if change.IsCold {
				cold++
			}
		}
		recorder.Event(logger.EventWarmUpChanged, "cold", cold, "warm", len(changes)-cold, "revision", after.Revision)
		return
	}
	for _, change := range changes {
		fields := []any{"backend_server", change.Server.Name, "service", change.Server.Service, "cold", change.IsCold}
		if change.IsCold {
			fields = append(fields, "for_ms", time.Until(change.Server.ColdUntil.Time).Milliseconds(), "shared", change.Server.Sharers.Contains(recorder.instance))
		}
		recorder.Event(logger.EventWarmUpChanged, fields...)
	}
}

// ServerExpired logs that a server was removed from the view because it was not listed
// again after an outage of the store.
func (recorder *Recorder) ServerExpired(server *viewer.BackendServer) {
	recorder.Event(logger.EventServerRemoved, "backend_server", server.Name, "service", server.Service)
}

// SourceCallFailed counts a failed call to the store, and logs the first failure of an outage.
func (recorder *Recorder) SourceCallFailed(call string, err error) {
	recorder.counters.Add("store_failures", 1)
	if !recorder.setFailing(call, true) {
		recorder.Event(logger.EventPlatformUnreachable, "object", call, "error", err.Error())
	}
}

// SourceCallSucceeded counts a successful call to the store, and logs the end of an outage.
func (recorder *Recorder) SourceCallSucceeded(call string) {
	recorder.counters.Add("store_calls", 1)
	if recorder.setFailing(call, false) {
		recorder.Event(logger.EventPlatformReachable, "object", call)
	}
}

// setFailing records whether a call is failing and returns what was recorded before.
func (recorder *Recorder) setFailing(call string, failing bool) bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	before := recorder.failingCalls[call]
	recorder.failingCalls[call] = failing
	return before
}

// MemberJoined logs that an instance has become reachable.
func (recorder *Recorder) MemberJoined(member relayer.Member) {
	recorder.Event(decider.EventMemberJoined, "instance", member.Name, "failure_domain", member.FailureDomain)
}

// MemberLost logs that an instance was removed from the members after it had been
// unresponsive for the given time.
func (recorder *Recorder) MemberLost(member relayer.Member, unresponsiveFor time.Duration) {
	recorder.Event(decider.EventMemberLost, "instance", member.Name, "silent_seconds", unresponsiveFor.Seconds())
}

// FetchFailed counts and logs that the view of another instance could not be fetched.
func (recorder *Recorder) FetchFailed(from string, err error) {
	recorder.counters.Add("fetch_failures", 1)
	recorder.Event(logger.EventFetchFailed, "instance", from, "error", err.Error())
}

// HistoryUnavailable counts and logs that the store did not return the changes of a kind
// of object, so that all objects of the kind are listed instead.
func (recorder *Recorder) HistoryUnavailable(kind string, err error) {
	recorder.counters.Add("histories_missed", 1)
	recorder.Event(logger.EventChangesUnavailable, "kind", kind, "error", err.Error())
}

// DocumentUnreadable counts and logs that a document in the store cannot be decoded.
func (recorder *Recorder) DocumentUnreadable(name string, revision uint64, err error) {
	recorder.counters.Add("unreadable_documents", 1)
	recorder.Event(logger.EventDocumentInvalid, "name", name, "revision", revision, "error", err.Error())
}
