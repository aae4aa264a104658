package detector

import (
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// reportInterval is the shortest time between two reports of an instance.
	reportInterval = 200 * time.Millisecond
	// signMemory is how long a sign of silence counts.
	signMemory = 3 * time.Second
	// maxOwnSigns bounds the signs of silence that an instance keeps.
	maxOwnSigns = 500
	// maxSilentShare is the largest share of servers that may look silent. If more do, the
	// network or the load is the cause.
	maxSilentShare = 0.5
	// minSilent is the number of silent servers that shows nothing of the kind.
	minSilent = 3
	// reportTime is how long a sign may take until a leader counts it.
	reportTime = reportInterval + 100*time.Millisecond
)

// flowSign identifies the unanswered data of one flow.
type flowSign struct {
	server Server
	flow   uint32
}

// waiting is since when a copy of data or an opening has been unanswered, and when that was last shown.
type waiting struct {
	since, copiedAt time.Time
	waitedFor       time.Duration // since the data itself was sent
	isOpening       bool
	isEjected       bool // the instance has ejected the server for this opening
}

// memory returns how long a sign counts. A caller that still has no answer retransmits again after twice
// the time; if it does not, it has one or has given up.
func (waiting *waiting) memory() time.Duration {
	if waiting.isOpening {
		return signMemory
	}
	return min(2*waiting.copiedAt.Sub(waiting.since)+reportTime, signMemory)
}

// RecordUnanswered notes that a server has left a copy of a flow's data unanswered, as its caller shows
// now, that this instance sent to it at a time; waitedFor is the time since the data itself was sent.
func (detector *Detector) RecordUnanswered(backendServer *viewer.BackendServer, flow uint32, askedAt time.Time, waitedFor time.Duration, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.recordSign(flowSign{server: NewServer(backendServer), flow: flow}, waiting{since: askedAt, copiedAt: now, waitedFor: waitedFor})
}

// recordSign notes a sign of silence. The mutex must be held.
func (detector *Detector) recordSign(sign flowSign, waiting waiting) {
	if _, known := detector.own[sign]; !known && len(detector.own) >= maxOwnSigns {
		return
	}
	detector.own[sign] = waiting
	detector.unreported = append(detector.unreported, sign)
}

// report returns the signs of silence that are to be reported now. The mutex must be held.
func (detector *Detector) report(now time.Time) []Unanswered {
	if len(detector.unreported) == 0 || !detector.isUrgent && now.Sub(detector.reportedAt) < reportInterval {
		return nil
	}
	signs := detector.unreported
	detector.unreported, detector.reportedAt, detector.isUrgent = nil, now, false
	if detector.isCutOff(now) {
		return nil
	}
	var report []Unanswered
	for i, sign := range signs {
		waiting, ok := detector.own[sign]
		if !ok || !detector.counts(sign.server, waiting.since) || detector.IsSilent(sign.server, now) {
			continue
		}
		report = append(report, newUnanswered(sign, waiting, now))
		if len(report) == maxEntries {
			detector.unreported = signs[i+1:]
			break
		}
	}
	return report
}

// newUnanswered returns a sign of silence as it is reported.
func newUnanswered(sign flowSign, waiting waiting, now time.Time) Unanswered {
	unanswered := Unanswered{Server: sign.server, Flow: sign.flow, Opening: waiting.isOpening, Ejected: waiting.isEjected}
	if waiting.isOpening {
		unanswered.For = max(now.Sub(waiting.since), 0) // it is unanswered still
		return unanswered
	}
	unanswered.For, unanswered.Asked = waiting.waitedFor, waiting.copiedAt.Sub(waiting.since)
	unanswered.Delay = max(now.Sub(waiting.copiedAt), 0)
	return unanswered
}

// isCutOff reports whether most of the servers that this instance knew alive look silent, so
// that its own link may be the cause. The mutex must be held.
func (detector *Detector) isCutOff(now time.Time) bool {
	silent := map[Server]bool{}
	for sign, waiting := range detector.own {
		if detector.counts(sign.server, waiting.since) {
			silent[sign.server] = true
		}
	}
	return float64(len(silent)) > max(minSilent, maxSilentShare*float64(len(detector.lives)))
}
