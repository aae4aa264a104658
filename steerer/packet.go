package steerer

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/viewer"
)

// FlowKey is the pair of addresses that all packets of a flow carry.
type FlowKey struct {
	CallerAddress  netip.AddrPort
	ServiceAddress netip.AddrPort
}

// Flags are the control bits of a packet that matter here.
type Flags struct {
	SYN, ACK, FIN, RST bool
}

// Packet is one packet of a caller.
type Packet struct {
	Flow        FlowKey
	Flags       Flags
	Token       uint32 // 0 in openings
	Sequence    uint32
	Acknowledgment uint32
	PayloadLength      int    // bytes of data
	Raw         []byte // as it arrived
}

// IsOpening reports whether the packet asks for a new flow.
func (packet *Packet) IsOpening() bool { return packet.Flags.SYN && !packet.Flags.ACK }

// Action is what is done with a packet.
type Action int

// Actions of a verdict.
const (
	Drop  Action = iota
	Send         // to Server, under its token
	Reset        // the caller's flow
)

// String returns the action's name for logs.
func (action Action) String() string {
	switch action {
	case Send:
		return "send"
	case Reset:
		return "reset"
	default:
		return "drop"
	}
}

// Verdict says what is done with a packet and why.
type Verdict struct {
	Action Action
	Server *viewer.BackendServer
	Reason Reason
	Flow   FlowKey
	Raw    []byte // the packet to send
	ResetSequence uint32 // where the reset's sequence number lies

	Candidates int // servers that could have been chosen for an opening
	Attempts      int // servers that the opening was sent to before
}

// Reason names the cause of a verdict; reasons are counted under these names.
type Reason string

// Reasons of verdicts.
const (
	ReasonNewFlow       Reason = "opened"           // a new flow was placed
	ReasonRetransmitted     Reason = "opening_repeated" // a copy went to another server
	ReasonRetried      Reason = "opening_retried"  // the server was silent, another one was tried
	ReasonExistingFlow         Reason = "kept"             // a later packet followed its token
	ReasonNoRoute      Reason = "no_route"
	ReasonNoServer     Reason = "no_server"
	ReasonJustResumed  Reason = "just_resumed" // would be refused, but the process was paused
	ReasonUnknownToken Reason = "unknown_token"
	ReasonNoView       Reason = "no_view"
	ReasonFromServer   Reason = "not_from_caller"
)
