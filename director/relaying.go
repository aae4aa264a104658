package director

import (
	"time"

	"github.com/pimentowind/pimentowind/logger"
)

// HeartbeatPassedOn counts a heartbeat that this instance passed on, and its recipients.
func (recorder *Recorder) HeartbeatPassedOn(recipients int) {
	recorder.counters.Add("relayed_heartbeats", 1)
	recorder.counters.Add("relayed_recipients", int64(recipients))
}

// SuspicionsReported counts suspicions of servers that this instance sent to its leaders, and the
// reports.
func (recorder *Recorder) SuspicionsReported(count int) {
	recorder.counters.Add("reported_suspicions", int64(count))
	recorder.counters.Add("suspicion_reports", 1)
}

// AnnouncementMissed counts an announcement that did not arrive through a relay, and logs one
// such line per socketFailureInterval.
func (recorder *Recorder) AnnouncementMissed(silence time.Duration) {
	recorder.counters.Add("missed_announcements", 1)
	if recorder.logDue("missed announcement") {
		recorder.Event(logger.EventAnnouncementMissed, "silent_seconds", silence.Seconds())
	}
}
