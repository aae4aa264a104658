package steerer

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/viewer"
)

// Flow is the pair of addresses that all packets of a flow carry.
type Flow struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Flags are the control bits of a packet that matter here.
type Flags struct {
	SYN, ACK, FIN, RST bool
}

// Packet is one packet of a caller.
type Packet struct {
	Flow        Flow
	Flags       Flags
	Token       uint32 // 0 in openings
	Sequence    uint32
	Acknowledge uint32
	Length      int    // bytes of data
	Raw         []byte // as it arrived
}

// Opening reports whether the packet asks for a new flow.
func (packet *Packet) Opening() bool { return packet.Flags.SYN && !packet.Flags.ACK }

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
	Flow   Flow
	Raw    []byte // the packet to send
	Answer uint32 // where the reset's sequence number lies

	Candidates int // servers that could have been chosen for an opening
	Tried      int // servers that the opening was sent to before
}

// Reason names the cause of a verdict; reasons are counted under these names.
type Reason string

// Reasons of verdicts.
const (
	Opened       Reason = "opened"           // a new flow was placed
	Repeated     Reason = "opening_repeated" // a copy went to another server
	Retried      Reason = "opening_retried"  // the server was silent, another one was tried
	Kept         Reason = "kept"             // a later packet followed its token
	NoRoute      Reason = "no_route"
	NoServer     Reason = "no_server"
	JustResumed  Reason = "just_resumed" // would be refused, but the process was paused
	UnknownToken Reason = "unknown_token"
	NoView       Reason = "no_view"
	FromServer   Reason = "not_from_caller"
)
