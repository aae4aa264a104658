package logger

import (
	"io"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/pimentowind/pimentowind/decider"
)

// Events by number: 100 to 199 concern the process, 500 to 599 the view that package
// director keeps, 600 to 699 its flows. Package decider declares 200 to 499.
const (
	EventStarted             decider.EventKind = 101
	EventStopping            decider.EventKind = 102
	EventStopped             decider.EventKind = 103
	EventPlatformUnreachable decider.EventKind = 104
	EventPlatformReachable   decider.EventKind = 105
	EventStatusNotWritten    decider.EventKind = 106
	EventInstancesAccepted   decider.EventKind = 107
	EventMessageNotSent      decider.EventKind = 108
	EventSocketFailed        decider.EventKind = 109
	EventInstancesRejected   decider.EventKind = 110
	EventReadinessChanged    decider.EventKind = 111
	EventSettingsReloaded    decider.EventKind = 112
	EventSettingsRejected    decider.EventKind = 113
	EventLinesDropped        decider.EventKind = 114
	EventHTTPFailed          decider.EventKind = 115

	EventConfigurationApplied decider.EventKind = 501
	EventServerChanged        decider.EventKind = 502
	EventDocumentInvalid      decider.EventKind = 503
	EventFetchFailed          decider.EventKind = 504
	EventServerEjected        decider.EventKind = 505
	EventServerRemoved        decider.EventKind = 506
	EventServersChanged       decider.EventKind = 507
	EventChangesUnavailable   decider.EventKind = 508
	EventServerFailing        decider.EventKind = 509
	EventServerSlow           decider.EventKind = 510
	EventHeartbeatInvalid     decider.EventKind = 511
	EventEvacuated            decider.EventKind = 512
	EventEvacuationEnded      decider.EventKind = 513
	EventEvacuationIgnored    decider.EventKind = 514
	EventWarmUpChanged        decider.EventKind = 515
	EventFlowsPlacedElsewhere decider.EventKind = 519
	EventFlowsReset           decider.EventKind = 516
	EventServerSilent         decider.EventKind = 517
	EventServerAlive          decider.EventKind = 518
	EventAnnouncementMissed   decider.EventKind = 520
	EventServerHeld           decider.EventKind = 522
	EventServerReadmitted     decider.EventKind = 523
	EventWarmUpRateTooSmall   decider.EventKind = 521
	EventStoreReturned        decider.EventKind = 524
	EventFlowDecided          decider.EventKind = 601
	EventFlowEnded            decider.EventKind = 602
	EventOpeningsLimited      decider.EventKind = 603
	EventOpeningsUnlimited    decider.EventKind = 604
	EventOpeningsSummarized   decider.EventKind = 605
)

// texts holds the message of every event.
var texts = map[decider.EventKind]string{
	EventStarted:             "instance started",
	EventStopping:            "graceful stop started",
	EventStopped:             "instance stopped",
	EventPlatformUnreachable: "platform cannot be reached",
	EventPlatformReachable:   "platform can be reached again",
	EventStatusNotWritten:    "status could not be written",
	EventInstancesAccepted:   "list of instances accepted",
	EventMessageNotSent:      "message to an instance could not be sent",
	EventSocketFailed:        "socket failed to send or receive a datagram",
	EventInstancesRejected:   "list of instances rejected",
	EventReadinessChanged:    "readiness changed",
	EventSettingsReloaded:    "settings reloaded",
	EventHTTPFailed:          "HTTP server failed, its address is no longer served",
	EventLinesDropped:        "log lines were dropped",
	EventSettingsRejected:    "settings rejected",

	EventConfigurationApplied: "configuration in force on this instance",
	EventServerChanged:        "backend server changed",
	EventDocumentInvalid:      "document in the store cannot be decoded",
	EventFetchFailed:          "view of another instance could not be fetched",
	EventServerEjected:        "backend server ejected: it did not answer openings",
	EventServersChanged:       "many backend servers changed",
	EventChangesUnavailable:   "changes not available from the store, reading all entries",
	EventServerFailing:        "backend server is failing requests",
	EventServerSlow:           "backend server is slow",
	EventHeartbeatInvalid:     "heartbeat cannot be used",
	EventWarmUpChanged:        "backend server turned cold or warm",
	EventWarmUpRateTooSmall:   "stated rate of cold servers is too small",
	EventFlowsPlacedElsewhere: "new flows placed in other failure domains",
	EventFlowsReset:           "flows of a silent backend server are reset",
	EventServerSilent:         "backend server declared silent",
	EventServerAlive:          "backend server is not silent",
	EventServerHeld:           "openings to a backend server held back",
	EventServerReadmitted:     "ejected backend server taken back: it has answered others",
	EventServerRemoved:        "backend server removed: not listed again after a store outage",
	EventEvacuated:            "failure domain evacuated: its backend servers get no new flows",
	EventEvacuationEnded:      "evacuation of a failure domain ended",
	EventEvacuationIgnored:    "evacuation has no effect",
	EventAnnouncementMissed:   "no announcement received, leaders asked for their view",
	EventStoreReturned:        "store has returned from an older copy",
	EventFlowDecided:          "decision about a flow",
	EventFlowEnded:            "flow ended",
	EventOpeningsLimited:      "new flows are limited for lack of room",
	EventOpeningsUnlimited:    "new flows are no longer limited",
	EventOpeningsSummarized:   "new flows while room is short",

	decider.EventMemberJoined:      "instance is reachable",
	decider.EventMemberLost:        "instance is unreachable",
	decider.EventViewChanged:       "set of deciding instances changed",
	decider.EventIntegrated:        "instance is up to date and starts deciding",
	decider.EventPaused:            "process was paused",
	decider.EventEpochProposed:     "epoch proposed",
	decider.EventEpochStaged:       "epoch staged",
	decider.EventEpochActivated:    "epoch activated",
	decider.EventActivationTimeout: "epoch activated on timeout, some pins may be missing",
	decider.EventSheetAccepted:     "sheet accepted",
	decider.EventSheetInForce:      "sheet in force on this instance",
	decider.EventSheetInvalid:      "sheet rejected",
	decider.EventServerEjected:     "backend server ejected: it answers no openings",
	decider.EventServerProbed:      "ejected backend server is probed",
	decider.EventServerRestored:    "backend server is back at full weight",
}

// Texts returns the message of every event by its number; the map must not be changed.
func Texts() map[decider.EventKind]string { return texts }

// New returns a logr.Logger that writes lines to output, as JSON if format is "json"
// and as text otherwise. It omits lines whose V level is above verbosity.
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

// Event logs an event with its number, its message and fields, which alternate keys
// and values.
func Event(log logr.Logger, kind decider.EventKind, fields ...any) {
	log.Info(texts[kind], append([]any{"event", int(kind)}, fields...)...)
}
