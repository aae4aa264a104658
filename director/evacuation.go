package director

import (
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/viewer"
)

// EvacuationsApplied logs one line for each failure domain that is evacuated now and was not
// before, or the reverse; from names where the evacuations were received from.
func (ejectingRecorder *ejectingRecorder) EvacuationsApplied(before, after *viewer.Evacuations, from string) {
	for _, domain := range after.List() {
		if before.Contains(domain) {
			continue
		}
		ejectingRecorder.Event(logger.EventEvacuated, "failure_domain", domain, "revision", after.Revision, "from", from)
		if servers := ejectingRecorder.viewer.Current().Servers; servers != nil && !servers.HasDomain(domain) {
			ejectingRecorder.Event(logger.EventEvacuationIgnored, "failure_domain", domain, "reason", "no backend server is in it")
		}
	}
	for _, domain := range before.List() {
		if !after.Contains(domain) {
			ejectingRecorder.Event(logger.EventEvacuationEnded, "failure_domain", domain, "revision", after.Revision, "from", from)
		}
	}
}

// EvacuationsIgnored counts evacuations that are too many, and logs them once per
// socketFailureInterval.
func (recorder *Recorder) EvacuationsIgnored(domains []string) {
	recorder.counters.Add("evacuations_ignored", 1)
	if recorder.logDue("evacuations ignored") {
		recorder.Event(logger.EventEvacuationIgnored, "failure_domain", domains[0], "ignored", len(domains), "reason", "too many are evacuated")
	}
}
