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
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

// Recorder writes the log lines of an instance and counts what it decides.
type Recorder struct {
	rare     logr.Logger
	frequent logr.Logger
	flows    atomic.Bool // whether lines about single flows are written
	counters *expvar.Map
	opening  *expvar.Map
	response *expvar.Map
	queue    *logger.Queue
	age      atomic.Pointer[func(now time.Time) time.Duration] // of the view

	mutex    sync.Mutex
	outages  map[string]bool
	failedAt map[string]time.Time // of the last line about a socket
	ready    bool
	dropped  uint64 // log lines, as last said
}

// flowVerbosity is the verbosity from which lines about single flows are written.
const flowVerbosity = 1

// NewRecorder returns a Recorder that writes into queue.
func NewRecorder(settings *configurer.PlatformSettings, queue *logger.Queue) *Recorder {
	recorder := &Recorder{
		rare:     logger.New(queue.Rare(), settings.Log.Format, settings.Log.Verbosity),
		frequent: logger.New(queue.Frequent(), settings.Log.Format, settings.Log.Verbosity),
		counters: &expvar.Map{},
		opening:  &expvar.Map{},
		response: &expvar.Map{},
		queue:    queue,
		outages:  map[string]bool{},
		failedAt: map[string]time.Time{},
	}
	recorder.SetVerbosity(settings.Log.Verbosity)
	return recorder
}

// SetAge sets where lines about flows take the age of the view from.
func (recorder *Recorder) SetAge(age func(now time.Time) time.Duration) { recorder.age.Store(&age) }

// Flush has the waiting lines written, and says how many were dropped since the last time.
func (recorder *Recorder) Flush(time.Time) {
	dropped := recorder.queue.Dropped()
	recorder.mutex.Lock()
	news := dropped - recorder.dropped
	recorder.dropped = dropped
	recorder.mutex.Unlock()
	if news > 0 {
		recorder.Event(logger.EventLinesDropped, "lines", news)
	}
	recorder.queue.Flush()
}

// SetVerbosity sets whether lines about single flows are written.
func (recorder *Recorder) SetVerbosity(verbosity int) {
	recorder.flows.Store(verbosity >= flowVerbosity)
}

func (recorder *Recorder) publish(vars *expvar.Map) {
	vars.Set("decisions", recorder.counters)
	vars.Set("opening_ms", recorder.opening)
	vars.Set("response_ms", recorder.response)
	vars.Set("log_lines_dropped", expvar.Func(func() any { return recorder.queue.Dropped() }))
}

// Event writes one line that is seldom written.
func (recorder *Recorder) Event(kind decider.EventKind, fields ...any) {
	logger.Event(recorder.rare, kind, fields...)
}

// Count counts a verdict.
func (recorder *Recorder) Count(reason steerer.Reason) { recorder.counters.Add(string(reason), 1) }

// Malformed counts a datagram that is no packet, by its fault.
func (recorder *Recorder) Malformed(err error) {
	if errors.Is(err, platform.ErrShort) {
		recorder.counters.Add("malformed_short", 1)
		return
	}
	recorder.counters.Add("malformed_length", 1)
}

// failureInterval is the shortest time between two lines about one socket.
const failureInterval = 10 * time.Second

// SocketFailed counts a datagram that could not be read or sent, and now and then
// writes a line about it.
func (recorder *Recorder) SocketFailed(socket string, err error) {
	recorder.counters.Add("socket_errors_"+socket, 1)
	now := time.Now()
	recorder.mutex.Lock()
	due := now.Sub(recorder.failedAt[socket]) >= failureInterval
	if due {
		recorder.failedAt[socket] = now
	}
	recorder.mutex.Unlock()
	if due {
		recorder.Event(logger.EventPacketNotSent, "socket", socket, "error", err.Error())
	}
}

// MessageRefused counts a heartbeat that cannot be read.
func (recorder *Recorder) MessageRefused(error) { recorder.counters.Add("malformed_heartbeats", 1) }

// Decided writes the line of one decision about a flow.
func (recorder *Recorder) Decided(verdict *steerer.Verdict, view *viewer.View) {
	if !recorder.flows.Load() {
		return
	}
	fields := []any{"flow", flowName(verdict.Flow), "action", verdict.Action.String(), "reason", string(verdict.Reason)}
	if verdict.Server != nil {
		fields = append(fields, "backend_server", verdict.Server.Name)
	}
	if verdict.Candidates > 0 {
		fields = append(fields, "candidates", verdict.Candidates, "tried", verdict.Tried)
	}
	if view.Complete() {
		fields = append(fields, "configuration", view.Configuration.Version, "revision", view.Servers.Revision)
	}
	if age := recorder.age.Load(); age != nil {
		fields = append(fields, "age_ms", (*age)(time.Now()).Milliseconds())
	}
	logger.Event(recorder.frequent, logger.EventFlowDecided, fields...)
}

func flowName(flow steerer.Flow) string { return flow.Caller.String() + ">" + flow.Service.String() }

// Ended writes the line of a flow's end and adds its times to the histograms.
func (recorder *Recorder) Ended(summary *steerer.Summary) {
	if summary.Accepted {
		recorder.opening.Add(bucket(summary.Opening), 1)
	} else {
		recorder.counters.Add("never_opened", 1)
	}
	if summary.Response > 0 {
		recorder.response.Add(bucket(summary.Response), 1)
	}
	if !recorder.flows.Load() {
		return
	}
	logger.Event(recorder.frequent, logger.EventFlowEnded, "flow", flowName(summary.Flow),
		"backend_server", summary.Server.Name, "accepted", summary.Accepted,
		"opening_ms", summary.Opening.Milliseconds(), "response_ms", summary.Response.Milliseconds(),
		"bytes", summary.Bytes, "end", string(summary.End))
}

// bucket names the histogram bucket of a duration by its upper bound in milliseconds.
func bucket(duration time.Duration) string {
	for _, bound := range buckets {
		if duration <= bound.limit {
			return bound.name
		}
	}
	return "more"
}

var buckets = []struct {
	limit time.Duration
	name  string
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

// Held writes that a server is held off.
func (recorder *Recorder) Held(server *viewer.BackendServer) {
	recorder.counters.Add("held_off", 1)
	recorder.Event(logger.EventServerHeld, "backend_server", server.Name, "service", server.Service)
}

// Failing writes that a server fails its requests, and whether it is held off for it.
func (recorder *Recorder) Failing(server *viewer.BackendServer, duration time.Duration, held bool) {
	recorder.counters.Add("failing", 1)
	recorder.Event(logger.EventServerFailing, "backend_server", server.Name, "service", server.Service,
		"for", duration.String(), "held_off", held)
}

// Ready notes what the fabric was told and writes a line when it changes.
func (recorder *Recorder) Ready(ready bool) {
	recorder.mutex.Lock()
	changed := ready != recorder.ready
	recorder.ready = ready
	recorder.mutex.Unlock()
	if changed {
		recorder.Event(logger.EventReadiness, "ready", ready)
	}
}

// ConfigurationApplied writes that a version is in force.
func (recorder *Recorder) ConfigurationApplied(version uint64, from string) {
	recorder.Event(logger.EventConfigurationTaken, "version", version, "from", from)
}

// maxChangeLines is how many changes of one list get a line each.
const maxChangeLines = 10

// ServersApplied writes one line for each backend server that changed, or one for
// all when there are many.
func (recorder *Recorder) ServersApplied(before, after *viewer.Servers, from string) {
	changes := viewer.Changes(before, after)
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

// ServerExpired writes that a server is taken as gone.
func (recorder *Recorder) ServerExpired(server *viewer.BackendServer) {
	recorder.Event(logger.EventServerExpired, "backend_server", server.Name, "service", server.Service)
}

// SourceCallFailed writes once that a call of the store fails.
func (recorder *Recorder) SourceCallFailed(call string, err error) {
	recorder.counters.Add("store_failures", 1)
	if !recorder.outage(call, true) {
		recorder.Event(logger.EventPlatformDown, "object", call, "error", err.Error())
	}
}

// SourceCallSucceeded writes that a call which failed works again.
func (recorder *Recorder) SourceCallSucceeded(call string) {
	recorder.counters.Add("store_calls", 1)
	if recorder.outage(call, false) {
		recorder.Event(logger.EventPlatformBack, "object", call)
	}
}

// outage notes whether a call fails and returns what was noted before.
func (recorder *Recorder) outage(call string, fails bool) bool {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	before := recorder.outages[call]
	recorder.outages[call] = fails
	return before
}

// MemberJoined writes that an instance is new.
func (recorder *Recorder) MemberJoined(member relayer.Member) {
	recorder.Event(decider.EventMemberJoined, "instance", member.Name, "failure_domain", member.FailureDomain)
}

// MemberLost writes that an instance was taken off the list.
func (recorder *Recorder) MemberLost(member relayer.Member, silent time.Duration) {
	recorder.Event(decider.EventMemberLost, "instance", member.Name, "silent_seconds", silent.Seconds())
}

// FetchFailed writes that another instance did not give its view.
func (recorder *Recorder) FetchFailed(from string, err error) {
	recorder.counters.Add("fetch_failures", 1)
	recorder.Event(logger.EventFetchFailed, "instance", from, "error", err.Error())
}

// HistoryMissed writes that the store did not give the changes of a kind.
func (recorder *Recorder) HistoryMissed(kind string, err error) {
	recorder.counters.Add("histories_missed", 1)
	recorder.Event(logger.EventHistoryMissed, "kind", kind, "error", err.Error())
}

// Unreadable writes that a document in the store cannot be read.
func (recorder *Recorder) Unreadable(name string, revision uint64, err error) {
	recorder.counters.Add("unreadable_documents", 1)
	recorder.Event(logger.EventUnreadable, "name", name, "revision", revision, "error", err.Error())
}
