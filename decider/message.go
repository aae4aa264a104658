package decider

import (
	"cmp"
	"fmt"
)

// EpochID orders the epochs of a service; an instance never goes back to a lower one.
type EpochID struct {
	_            struct{} `cbor:",toarray"`
	SheetVersion uint64
	Revision     uint32
	Owner        uint32 // hash of the proposing instance, so that two owners never make the same ID
}

// Compare returns a negative number when epochID comes before other, and 0 when they are equal.
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

// Epoch is one set of weights for the backend servers of a service.
type Epoch struct {
	ID      EpochID       `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	SheetDigest   uint64        `cbor:"3,keyasint"` // digest of the service's rows in the sheet
	Servers []EpochServer `cbor:"4,keyasint"`
	Urgent  bool          `cbor:"5,keyasint,omitempty"` // a backend server joins, leaves or is down
}

// EpochServer is a backend server in an epoch; weight 0 takes no new flows.
type EpochServer struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Endpoint Endpoint
	Weight   float32
}

// Endpoint is a tunnel address in six bytes.
type Endpoint struct {
	_       struct{} `cbor:",toarray"`
	Address uint32
	Port    uint16
}

// ServiceState tells how far an instance has come with the epochs of a service.
type ServiceState struct {
	_        struct{} `cbor:",toarray"`
	Service  uint64   // hash of the name
	ViewDigest     uint32   // digest of the instances that the sender takes for homes
	Newest     EpochID
	Active   EpochID
	Scanned  EpochID
	Prepared EpochID
	AllPinned    bool // every flow that differs from Active is pinned
}

// Pin binds a flow to a backend server; server 0 removes the binding.
type Pin struct {
	Flow   uint64
	Server uint32
}

// Heartbeat is sent to every known instance.
type Heartbeat struct {
	Incarnation  uint64         `cbor:"1,keyasint"`
	Self         *Instance      `cbor:"2,keyasint,omitempty"`
	Leaving      bool           `cbor:"3,keyasint,omitempty"`
	Stopped         bool           `cbor:"9,keyasint,omitempty"` // the last word of an instance that stops
	Integrated   bool           `cbor:"4,keyasint,omitempty"`
	SheetVersion uint64         `cbor:"5,keyasint,omitempty"`
	InForce      uint64         `cbor:"6,keyasint,omitempty"`
	ActiveDigest       uint64         `cbor:"7,keyasint,omitempty"` // of the active epoch of every service
	Services     []ServiceState `cbor:"8,keyasint,omitempty"` // those that changed lately
}

// Handover brings an instance that joined or was unheard up to date; pins follow and Done ends them.
type Handover struct {
	Members  []Instance     `cbor:"1,keyasint,omitempty"`
	Epochs   []Epoch        `cbor:"2,keyasint,omitempty"`
	Services []ServiceState `cbor:"3,keyasint,omitempty"`
	CompleteFor     uint64         `cbor:"4,keyasint,omitempty"` // incarnation of the receiver
}

// SheetUpdate carries a sheet from an instance that has it to one that does not.
type SheetUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint"`
}

// ServerLoad is what one instance saw of a backend server since its last report.
type ServerLoad struct {
	_         struct{} `cbor:",toarray"`
	Server    uint32
	Openings  uint32 // openings sent to it
	Accepted  uint32 // openings that it accepted
	Shed      uint32 // openings that it reset
	Returned  uint32 // packets that came back from it
	OpenFlows      uint32 // flows open now, of those that this instance is home of
	ResponseBatches   uint32 // batches of response times
	MinResponseSum uint32 // sum of the batches' smallest response times less the path's, in microseconds
}

// Message is what instances send each other; exactly one field is set.
type Message struct {
	Heartbeat *Heartbeat   `cbor:"1,keyasint,omitempty"`
	Handover  *Handover    `cbor:"2,keyasint,omitempty"`
	Epochs    []Epoch      `cbor:"3,keyasint,omitempty"`
	Pins      []byte       `cbor:"4,keyasint,omitempty"` // packed, see AppendPin
	Sheet     *SheetUpdate `cbor:"5,keyasint,omitempty"`
	Loads     []ServerLoad `cbor:"6,keyasint,omitempty"`
	Flows     []byte       `cbor:"7,keyasint,omitempty"` // packed like pins, for their new home alone
}

// Outgoing is a message with the name of the instance that it is for.
type Outgoing struct {
	To      Instance
	Message Message
}
