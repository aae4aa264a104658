package decider

// EventKind is the number of a kind of event; docs/EVENTS.md lists them.
type EventKind int

// Kinds of event that a Decider reports.
const (
	EventMemberJoined      EventKind = 201
	EventMemberLost        EventKind = 202
	EventViewChanged       EventKind = 203
	EventIntegrated        EventKind = 204
	EventPaused            EventKind = 205
	EventEpochProposed     EventKind = 301
	EventEpochStaged       EventKind = 302
	EventEpochActivated    EventKind = 303
	EventActivationTimeout EventKind = 304
	EventSheetAccepted     EventKind = 305
	EventSheetInForce      EventKind = 306
	EventSheetInvalid      EventKind = 307
	EventServerEjected     EventKind = 401
	EventServerProbed      EventKind = 402
	EventServerRestored    EventKind = 403
)

// Event is one entry for the log.
type Event struct {
	Kind   EventKind
	Fields []any // alternating keys and values
}

func (decider *Decider) recordEvent(kind EventKind, fields ...any) {
	decider.events = append(decider.events, Event{Kind: kind, Fields: fields})
}

// TakeEvents returns and clears the events recorded since the last call.
func (decider *Decider) TakeEvents() []Event {
	events := decider.events
	decider.events = nil
	return events
}
