package logger

import (
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/pimentowind/pimentowind/decider"
)

// Events of the process itself; those of the decisions are in package decider.
const (
	EventStarted           decider.EventKind = 101
	EventStopping          decider.EventKind = 102
	EventStopped           decider.EventKind = 103
	EventPlatformDown      decider.EventKind = 104
	EventPlatformBack      decider.EventKind = 105
	EventStatusNotWritten  decider.EventKind = 106
	EventInstancesTaken    decider.EventKind = 107
	EventMessageNotSent    decider.EventKind = 108
	EventPacketNotSent     decider.EventKind = 109
	EventInstancesNotTaken decider.EventKind = 110
	EventReadiness         decider.EventKind = 111
	EventSettingsLoaded    decider.EventKind = 112
	EventSettingsInvalid   decider.EventKind = 113
	EventLinesDropped      decider.EventKind = 114
	EventHTTPFailed        decider.EventKind = 115

	EventConfigurationTaken decider.EventKind = 501
	EventServerChanged      decider.EventKind = 502
	EventUnreadable         decider.EventKind = 503
	EventFetchFailed        decider.EventKind = 504
	EventServerHeld         decider.EventKind = 505
	EventServerExpired      decider.EventKind = 506
	EventServersChanged     decider.EventKind = 507
	EventHistoryMissed      decider.EventKind = 508
	EventServerFailing      decider.EventKind = 509
	EventFlowDecided        decider.EventKind = 601
	EventFlowEnded          decider.EventKind = 602
)

// texts is the catalogue: the sentence of every event.
var texts = map[decider.EventKind]string{
	EventStarted:           "instance started",
	EventStopping:          "planned stop begins",
	EventStopped:           "instance stopped",
	EventPlatformDown:      "platform cannot be reached",
	EventPlatformBack:      "platform can be reached again",
	EventStatusNotWritten:  "status was not written",
	EventInstancesTaken:    "list of instances taken",
	EventMessageNotSent:    "message to an instance was not sent",
	EventPacketNotSent:     "packet was not sent",
	EventInstancesNotTaken: "list of instances is not valid",
	EventReadiness:         "readiness changed",
	EventSettingsLoaded:    "settings loaded again",
	EventHTTPFailed:        "an HTTP address is not served any more",
	EventLinesDropped:      "log lines were dropped",
	EventSettingsInvalid:   "settings have findings and are not taken",

	EventConfigurationTaken: "configuration in force on this instance",
	EventServerChanged:      "backend server changed",
	EventUnreadable:         "document in the store cannot be read",
	EventFetchFailed:        "view of another instance was not fetched",
	EventServerHeld:         "backend server gets no new flows for a while",
	EventServersChanged:     "many backend servers changed",
	EventHistoryMissed:      "changes were not given by the store, all entries are read",
	EventServerFailing:      "backend server fails its requests",
	EventServerExpired:      "backend server did not come back after an outage of the store",
	EventFlowDecided:        "flow decided",
	EventFlowEnded:          "flow ended",

	decider.EventMemberJoined:      "instance heard",
	decider.EventMemberLost:        "instance not heard any more",
	decider.EventViewChanged:       "set of deciding instances changed",
	decider.EventIntegrated:        "instance is up to date and decides",
	decider.EventPaused:            "process was paused",
	decider.EventEpochProposed:     "epoch proposed",
	decider.EventEpochStaged:       "epoch staged",
	decider.EventEpochActivated:    "epoch activated",
	decider.EventActivationTimeout: "epoch activated without all pins",
	decider.EventSheetAccepted:     "sheet taken",
	decider.EventSheetInForce:      "sheet in force on this instance",
	decider.EventSheetInvalid:      "sheet cannot be read",
	decider.EventServerEjected:     "backend server answers no opening",
	decider.EventServerProbed:      "backend server is tried again",
	decider.EventServerRestored:    "backend server has its full weight again",
}

// Texts returns the catalogue of events.
func Texts() map[decider.EventKind]string { return texts }

// New returns a logr.Logger that writes text or JSON lines to output.
func New(output io.Writer, format string, verbosity int) logr.Logger {
	var mutex sync.Mutex
	write := func(line string) {
		mutex.Lock()
		defer mutex.Unlock()
		io.WriteString(output, line+"\n")
	}
	options := funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00", Verbosity: verbosity}
	if format == "json" {
		return funcr.NewJSON(write, options)
	}
	return funcr.New(func(prefix, line string) { write(prefix + line) }, options)
}

// Event writes one numbered event.
func Event(log logr.Logger, kind decider.EventKind, fields ...any) {
	log.Info(texts[kind], append([]any{"event", int(kind)}, fields...)...)
}
