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
	instance       uint32                                              // hash of this instance's name
	viewAge        atomic.Pointer[func(now time.Time) time.Duration]   // nil until SetViewAge
	serverNames    atomic.Pointer[func(server detector.Server) string] // nil until SetServerNames

	mutex           sync.Mutex
	failingCalls    map[string]bool      // by call to the store: whether the last one failed
	limitedServices map[string]bool      // whether openings are limited, as last logged
	failureLoggedAt map[string]time.Time // by socket or kind of message: when its last error was logged
	lastStoreRead   viewer.Revision      // at which this instance last read the store
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
