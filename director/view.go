package director

import (
	"strings"
	"time"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/viewer"
)

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

// StoreRead counts and logs that the store has returned from an older copy, if its era or its
// revision shows so.
func (recorder *Recorder) StoreRead(revision viewer.Revision) {
	recorder.mutex.Lock()
	before := recorder.lastStoreRead
	recorder.lastStoreRead = revision
	recorder.mutex.Unlock()
	hasReturned := revision.Era != before.Era || revision.Number < before.Number
	if before.IsZero() || !hasReturned {
		return
	}
	recorder.counters.Add("store_returns", 1)
	recorder.Event(logger.EventStoreReturned, "era", revision.Era, "revision", revision.Number,
		"era_before", before.Era, "revision_before", before.Number)
}

// LastStoreRead returns the revision at which this instance last read the store.
func (recorder *Recorder) LastStoreRead() viewer.Revision {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.lastStoreRead
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

// maxLoggedError is the number of bytes of an error about a document that are logged, since it may
// quote the document.
const maxLoggedError = 300

// DocumentUnreadable counts and logs that a document in the store cannot be decoded.
func (recorder *Recorder) DocumentUnreadable(name string, revision uint64, err error) {
	recorder.counters.Add("unreadable_documents", 1)
	recorder.Event(logger.EventDocumentInvalid, "name", truncate(name), "revision", revision, "error", truncate(err.Error()))
}

// truncate returns the first maxLoggedError bytes of a text.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedError)], "")
}
