package decider

// Count identifies one counter of a Decider.
type Count int

// Counters; docs/OPERATING.md explains each one to operators.
const (
	CountOpenings Count = iota
	CountOpeningsRepeated
	CountOpeningsMoved
	CountToBackendServer
	CountToCaller
	CountRelayed
	CountNoticesSent
	CountNotices
	CountGuessedFlows
	CountUnknownService
	CountUnknownBackendServer
	CountUnknownFlow
	CountStaleReturn
	CountStaleFlows
	CountNotReady
	CountFlowTableFull
	CountFlowsExpired
	CountRefusedNoBackendServer
	CountRefusedFull
	CountRefusedOutcomeUnknown
	CountRefusedShed
	CountPinsSent
	CountPinsAtAccept
	CountPinsLearned
	CountPinsToJoiners
	CountUnpins
	CountPinsReceived
	CountPinUnknownServer
	CountOrphansSent
	CountPinConflicts
	CountFlowsTakenOver
	CountMembersJoined
	CountMembersLost
	CountStaleIncarnation
	CountSheetsShared
	CountRepairs
	CountEpochsProposed
	CountEpochsActivated
	CountEpochsRetired
	CountActivationTimeouts
	CountPauses
	CountMessagesFromUnknown
	counterCount
)

var countNames = [counterCount]string{
	"openings", "openings_repeated", "openings_moved", "packets_to_backend_server", "packets_to_caller",
	"packets_relayed", "notices_sent", "notices_received", "guessed_flows",
	"dropped_unknown_service", "dropped_unknown_backend_server", "dropped_unknown_flow",
	"dropped_stale_return", "flows_stale", "dropped_not_ready", "flow_table_full", "flows_expired",
	"refused_no_backend_server", "refused_backend_servers_full", "refused_outcome_unknown", "refused_backend_server_shed",
	"pins_sent", "pins_at_accept", "pins_met", "pins_to_joiners", "unpins", "pins_received", "pins_unknown_backend_server", "orphans_sent", "pin_conflicts", "flows_taken_over",
	"members_joined", "members_lost", "stale_incarnations", "sheets_shared", "repairs",
	"epochs_proposed", "epochs_activated", "epochs_retired", "activation_timeouts", "pauses", "messages_from_unknown",
}

// String returns the snake_case name of the counter.
func (count Count) String() string { return countNames[count] }

// counters holds the values of all counters.
type counters [counterCount]uint64

func (counters *counters) add(count Count, delta uint64) { counters[count] += delta }

// Counters returns the values of all counters by name.
func (decider *Decider) Counters() map[string]uint64 {
	result := make(map[string]uint64, counterCount)
	for i, value := range decider.counters {
		result[countNames[i]] = value
	}
	return result
}

// Count returns the value of one counter.
func (decider *Decider) Count(count Count) uint64 { return decider.counters[count] }
