package relayer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/viewer"
)

// Heartbeat tells another instance how new the sender's knowledge is.
type Heartbeat struct {
	Sender               Member        `cbor:"sender"`
	InstanceCount        int           `cbor:"instances"`     // of the fleet; 0 when the sender may not know all
	ConfigurationVersion uint64        `cbor:"configuration"` // version; 0 when none is known
	ServersRevision      uint64        `cbor:"revision"`      // of the backend servers; 0 when none is known
	ServersDigest        uint64        `cbor:"digest"`        // of the backend servers
	ServerCount          int           `cbor:"listed"`        // number of backend servers
	Age                  time.Duration `cbor:"age"`           // since the store had that revision
	Leaving              bool          `cbor:"leaving"`
	IsAnswer             bool          `cbor:"answer"` // sent because of another heartbeat
	ServersDelta         *viewer.Delta `cbor:"delta"`  // of the backend servers since the sender's last heartbeat; nil when it is too long

	// Suspicions are the tokens of backend servers whose responses looked like
	// failures to the sender, one for each response.
	Suspicions []uint32 `cbor:"suspects,omitempty"`
	// Ejections are those that get no new flows for a time.
	Ejections []Ejection `cbor:"failing,omitempty"`

	// RouteDelta leads to Configuration from the version of the sender's last
	// heartbeat; nil when it is too long.
	RouteDelta *viewer.RouteDelta `cbor:"route_delta"`
}

// Ejection is a backend server that fails its requests, and for how long it is held off.
type Ejection struct {
	Token    uint32        `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
}

// Snapshot is a whole view as one instance gives it to another; what the asker
// has already is nil.
type Snapshot struct {
	Configuration *viewer.Configuration `cbor:"configuration"` // nil when RouteDelta says the same
	RouteDelta    *viewer.RouteDelta    `cbor:"route_delta"`   // since the version that the asker has
	Servers       *viewer.Servers       `cbor:"servers"`       // nil when Delta says the same
	ServersDelta  *viewer.Delta         `cbor:"delta"`         // since the revision that the asker has
	Members       []Member              `cbor:"members"`
}

// encode panics on an error, which the types above cannot cause.
func encode(message any) []byte {
	content, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}

func decode(content []byte, message any) error {
	if err := cbor.Unmarshal(content, message); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}
