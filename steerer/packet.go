package steerer

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/viewer"
)

// FlowKey identifies a flow by the two addresses that all its packets carry.
type FlowKey struct {
	CallerAddress  netip.AddrPort
	ServiceAddress netip.AddrPort
}

// Flags are the TCP control bits that the steerer uses.
type Flags struct {
	SYN, ACK, FIN, RST bool
}

// Packet is one packet from a caller.
type Packet struct {
	Flow           FlowKey
	Flags          Flags
	Token          uint32 // names the backend server that the flow belongs to; 0 in openings
	Sequence       uint32
	Acknowledgment uint32
	PayloadLength  int    // bytes
	Raw            []byte // the packet as received
}

// IsOpening reports whether the packet is an opening, the first packet of a flow:
// a SYN without ACK.
func (packet *Packet) IsOpening() bool { return packet.Flags.SYN && !packet.Flags.ACK }

// Action is what the instance does with a packet.
type Action int

// Actions of a verdict.
const (
	Drop  Action = iota
	Send         // forward to the verdict's server, with the verdict's token
	Reset        // reset the flow toward the caller
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

// Verdict is the decision about one packet and its reason.
type Verdict struct {
	Action        Action
	Server        *viewer.BackendServer // nil unless Action is Send
	Token         uint32                // that the packet carries to the server
	Reason        Reason
	Flow          FlowKey
	Raw           []byte // the packet to forward
	ResetSequence uint32 // the sequence number that a reset carries

	Candidates int // servers that an opening could have been sent to
	Attempts   int // servers that the opening was sent to before

	Class  admitter.Class // of an opening
	Waited time.Duration  // how long an opening was held
}

// Reason is the cause of a verdict; its value is also the name of the counter.
type Reason string

// Reasons of verdicts.
const (
	ReasonNewFlow          Reason = "opened"             // an opening of a new flow was sent to a server
	ReasonRetransmitted    Reason = "opening_repeated"   // a retransmitted opening, sent to the flow's server or, if unanswered, to another one
	ReasonRetried          Reason = "opening_retried"    // the server did not answer, so the opening is sent to another one
	ReasonExistingFlow     Reason = "kept"               // a later packet was forwarded by its token
	ReasonCopyRepeated     Reason = "copy_repeated"      // a copy of data is sent again, in case it or its answer was lost
	ReasonEvacuatedFlow    Reason = "kept_evacuated"     // the same, to a server in an evacuated failure domain
	ReasonNoRoute          Reason = "no_route"           // the service address belongs to no route
	ReasonNoServer         Reason = "no_server"          // no service of the route has an active server
	ReasonNoWeight         Reason = "no_weight"          // only services to which the route gives no weight have active servers
	ReasonEvacuated        Reason = "evacuated"          // the servers of a service with weight are in evacuated failure domains, and no other such service has active ones
	ReasonWarmingUp        Reason = "warming_up"         // the service has only cold servers that may get no flow now
	ReasonJustResumed      Reason = "just_resumed"       // dropped instead of reset, because the process was paused
	ReasonUnknownToken     Reason = "unknown_token"      // no server has the token of a later packet
	ReasonAmbiguousToken   Reason = "ambiguous_token"    // several servers have the token of a later packet
	ReasonNoToken          Reason = "no_token"           // each server of the service shares the token that the flow would get with another one
	ReasonServerGone       Reason = "server_gone"        // data was reset, because the flow's server was removed and does not answer
	ReasonServerSilent     Reason = "server_silent"      // data was reset, because the flow's server has fallen silent
	ReasonFlowServerSilent Reason = "flow_server_silent" // a flow was reset, because its server has fallen silent
	ReasonHeld             Reason = "held"               // the opening waits for a place at a server
	ReasonHeldCopy         Reason = "held_copy"          // a copy of an opening that waits
	ReasonRefusedCopy      Reason = "refused_copy"       // a copy of an opening that was refused
	ReasonLateCopy         Reason = "late_copy"          // a copy of an established flow's opening, whose server may get no new flows
	ReasonReleased         Reason = "released"           // an opening that was held was sent to a server
	ReasonNoRoom           Reason = "refused_no_room"    // the servers cannot work off the opening's request in time
	ReasonNoView           Reason = "no_view"            // configuration or servers not yet known
	ReasonFromServer       Reason = "not_from_caller"    // SYN with ACK, which only a server sends
)
