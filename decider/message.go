package decider

import (
	"cmp"
	"fmt"
)

// EpochID orders the epochs of a service; an instance never goes back to a lower ID.
type EpochID struct {
	_            struct{} `cbor:",toarray"`
	SheetVersion uint64
	Revision     uint32
	Owner        uint32 // hash of the proposing instance, which keeps the IDs of two owners distinct
}

// Compare returns a negative number if epochID is lower than other, 0 if they are equal
// and a positive number otherwise.
func (epochID EpochID) Compare(other EpochID) int {
	return cmp.Or(
		cmp.Compare(epochID.SheetVersion, other.SheetVersion),
		cmp.Compare(epochID.Revision, other.Revision),
		cmp.Compare(epochID.Owner, other.Owner),
	)
}

// String returns the ID as version.revision/owner, as logs show it.
func (epochID EpochID) String() string {
	return fmt.Sprintf("%d.%d/%08x", epochID.SheetVersion, epochID.Revision, epochID.Owner)
}

// Epoch is one version of the weights of a service's backend servers.
type Epoch struct {
	ID          EpochID       `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	SheetDigest uint64        `cbor:"3,keyasint"` // digest of the service's rows in the sheet
	Servers     []EpochServer `cbor:"4,keyasint"`
	Urgent      bool          `cbor:"5,keyasint,omitempty"` // the sheet or the health of a backend server has changed
}

// EpochServer is a backend server in an epoch; with weight 0 it gets no new flows.
type EpochServer struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Endpoint Endpoint
	Weight   float32
}

// Endpoint is the IPv4 tunnel address of a backend server in six bytes.
type Endpoint struct {
	_       struct{} `cbor:",toarray"`
	Address uint32
	Port    uint16
}

// ServiceState is the progress of an instance through the epochs of a service; see stage.go.
type ServiceState struct {
	_          struct{} `cbor:",toarray"`
	Service    uint64   // hash of the service's name
	ViewDigest uint32   // digest of the sender's view
	Newest     EpochID  // newest epoch that the sender has
	Active     EpochID  // epoch by which the sender opens flows
	Scanned    EpochID  // epoch for which the sender has scanned its flow table, zero while it has not
	Prepared   EpochID  // epoch for which the sender is prepared, zero while it is not
	AllPinned  bool     // every flow for which Active picks another backend server is pinned
}

// Pin binds a flow to a backend server on all instances, whatever the epochs pick;
// server 0 removes the binding.
type Pin struct {
	Flow   uint64 // key of the flow
	Server uint32 // ID of the backend server, see serverID
}

// Heartbeat is sent to every known instance at regular intervals and on urgent changes.
type Heartbeat struct {
	Incarnation  uint64         `cbor:"1,keyasint"`           // grows with every start and pause of the sender
	Self         *Instance      `cbor:"2,keyasint,omitempty"` // the sender, if the receiver may lack its addresses
	Leaving      bool           `cbor:"3,keyasint,omitempty"`
	Stopped      bool           `cbor:"9,keyasint,omitempty"` // the final heartbeat of an instance that stops
	Integrated   bool           `cbor:"4,keyasint,omitempty"` // up to date, so that it can be a home
	SheetVersion uint64         `cbor:"5,keyasint,omitempty"`
	InForce      uint64         `cbor:"6,keyasint,omitempty"` // sheet version that all its services follow
	ActiveDigest uint64         `cbor:"7,keyasint,omitempty"` // over the active epochs of all services, 0 if left out
	Services     []ServiceState `cbor:"8,keyasint,omitempty"` // those that changed recently
}

// Handover brings an instance that joined or was unreachable up to date. The pins
// follow in other messages, and a Handover with CompleteFor ends them.
type Handover struct {
	Members     []Instance     `cbor:"1,keyasint,omitempty"`
	Epochs      []Epoch        `cbor:"2,keyasint,omitempty"`
	Services    []ServiceState `cbor:"3,keyasint,omitempty"`
	CompleteFor uint64         `cbor:"4,keyasint,omitempty"` // incarnation of the receiver, in the final message
}

// SheetUpdate sends a version of the sheet to an instance that has an older one.
type SheetUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// ServerLoad is what one instance observed of a backend server since its last report.
type ServerLoad struct {
	_               struct{} `cbor:",toarray"`
	Server          uint32   // ID of the backend server, see serverID
	Openings        uint32   // openings sent to it
	Accepted        uint32   // openings that it accepted
	Shed            uint32   // openings that it reset, as an overloaded server does
	Returned        uint32   // packets received from it
	OpenFlows       uint32   // reserved for the number of open flows; always 0
	ResponseBatches uint32   // complete batches of response times
	MinResponseSum  uint32   // sum over the batches of the smallest response time minus the network's round-trip time, in microseconds
}

// Message is what instances send each other. One field is set, except that a heartbeat
// may come with Pins and Flows.
type Message struct {
	Heartbeat *Heartbeat   `cbor:"1,keyasint,omitempty"`
	Handover  *Handover    `cbor:"2,keyasint,omitempty"`
	Epochs    []Epoch      `cbor:"3,keyasint,omitempty"`
	Pins      []byte       `cbor:"4,keyasint,omitempty"` // encoded by AppendPin
	Sheet     *SheetUpdate `cbor:"5,keyasint,omitempty"`
	Loads     []ServerLoad `cbor:"6,keyasint,omitempty"`
	Flows     []byte       `cbor:"7,keyasint,omitempty"` // encoded like pins, for the new home of the flows only
}

// Outgoing is a message and the instance to send it to.
type Outgoing struct {
	To      Instance
	Message Message
}
