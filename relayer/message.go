package relayer

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/viewer"
)

// Heartbeat tells another instance how new the sender's view is. It is an announcement,
// an answer, or a report of suspicions or ejections.
type Heartbeat struct {
	Sender               Member              `cbor:"sender"`
	InstanceCount        int                 `cbor:"instances"`      // in the fleet; 0 when the sender may not know all
	ConfigurationVersion uint64              `cbor:"configuration"`  // 0 when the sender has none
	ServersRevision      uint64              `cbor:"revision"`       // revision of the store for the backend servers, in Era; 0 when the sender has none
	Era                  uint64              `cbor:"era,omitempty"`  // of the store at ServersRevision; 0 also from an instance with an older program
	ServersDigest        uint64              `cbor:"digest"`         // of the list of backend servers
	ServerCount          int                 `cbor:"listed"`         // length of the list of backend servers
	Age                  time.Duration       `cbor:"age"`            // time since the store was last known to be at ServersRevision
	StoreRead            uint64              `cbor:"read,omitempty"` // identifies the read of the store from which Age counts; 0 if unknown
	Leaving              bool                `cbor:"leaving"`        // the sender is about to stop
	IsAnswer             bool                `cbor:"answer"`         // true for answers and reports, to which no keepalive answer is sent
	ServersDelta         *viewer.ServerDelta `cbor:"delta"`          // since the sender's previous announcement; only in announcements, nil when it is too long

	// Suspicions are the tokens of backend servers, one for each response that looked
	// like a failure to the sender.
	Suspicions []uint32 `cbor:"suspects,omitempty"`
	// SlowSuspicions are the same for responses that took long.
	SlowSuspicions []uint32 `cbor:"slow,omitempty"`
	// ReportSupport says who accepts a suspicionReport.
	ReportSupport reportSupport `cbor:"reports,omitempty"`
	// Ejections are sent by a leader to the instances of its failure domain.
	Ejections []Ejection `cbor:"failing,omitempty"`

	// RouteDelta leads to ConfigurationVersion from the version in the sender's previous
	// announcement. It is sent only in announcements, and nil when it is too long.
	RouteDelta *viewer.RouteDelta `cbor:"route_delta"`

	// Load is sent while services lack room; see loadExchange.
	Load *SharedLoad `cbor:"load,omitempty"`
	// DomainInstanceCount is the number of instances in the sender's failure domain; 0 when
	// the sender may not know all.
	DomainInstanceCount int `cbor:"domain_instances,omitempty"`

	// Evacuations are sent in full in announcements and answers, and left out of reports.
	Evacuations *viewer.Evacuations `cbor:"evacuations,omitempty"`
	// ServerSigns are signs of life and silence of backend servers.
	ServerSigns *detector.Message `cbor:"signs,omitempty"`

	// PassOn are the peer addresses to which the receiver has to pass the heartbeat on.
	PassOn []netip.AddrPort `cbor:"pass_on,omitempty"`
	// Relay is set in heartbeats that were passed on: the control address of the instance that
	// did, or the zero address if its view is older than the sender's.
	Relay *netip.AddrPort `cbor:"relay,omitempty"`
	// Asks is true when the sender missed an announcement and asks for an answer.
	Asks bool `cbor:"asks,omitempty"`
}

// dropInvalidDeltas removes the deltas if one of them has an impossible value, as an older program
// passes on what an entry of another writer says, and returns an error then.
func (heartbeat *Heartbeat) dropInvalidDeltas() error {
	err := cmp.Or(heartbeat.RouteDelta.Check(), heartbeat.ServersDelta.Check())
	if err == nil {
		return nil
	}
	heartbeat.RouteDelta, heartbeat.ServersDelta = nil, nil
	return errors.Wrapf(err, "deltas of %q", heartbeat.Sender.Name)
}

// serversAt returns the revision of the sender's list of servers.
func (heartbeat *Heartbeat) serversAt() viewer.Revision {
	return viewer.Revision{Era: heartbeat.Era, Number: heartbeat.ServersRevision}
}

// compareView returns -1 if the sender's configuration and servers are older than those of other,
// +1 if either is newer, and 0 if they are the same.
func (heartbeat *Heartbeat) compareView(other *Heartbeat) int {
	versions := cmp.Compare(heartbeat.ConfigurationVersion, other.ConfigurationVersion)
	revisions := heartbeat.serversAt().Compare(other.serversAt())
	return cmp.Or(max(versions, revisions, 0), min(versions, revisions))
}

// maxEjectionDuration is the longest ejection that is accepted from another instance.
const maxEjectionDuration = time.Minute

// check returns an error if a field of the heartbeat has an impossible value.
func (heartbeat *Heartbeat) check() error {
	sender := &heartbeat.Sender
	if err := sender.check(); err != nil {
		return errors.Wrap(err, "sender of a heartbeat")
	}
	switch {
	case heartbeat.Age < 0:
		return errors.Errorf("heartbeat of %q has age %s", sender.Name, heartbeat.Age)
	case len(heartbeat.PassOn) > maxPassOnCount:
		return errors.Errorf("heartbeat of %q is to be passed on to %d instances", sender.Name, len(heartbeat.PassOn))
	case heartbeat.InstanceCount < 0 || heartbeat.DomainInstanceCount < 0:
		return errors.Errorf("heartbeat of %q counts %d instances, %d in its failure domain", sender.Name, heartbeat.InstanceCount, heartbeat.DomainInstanceCount)
	}
	if heartbeat.Load != nil && !heartbeat.Load.Load.IsValid() {
		return errors.Errorf("heartbeat of %q has an impossible load", sender.Name)
	}
	if heartbeat.ServerSigns != nil {
		if err := heartbeat.ServerSigns.Check(); err != nil {
			return errors.Wrapf(err, "heartbeat of %q", sender.Name)
		}
	}
	for _, ejection := range heartbeat.Ejections {
		if ejection.Duration > maxEjectionDuration {
			return errors.Errorf("heartbeat of %q ejects a server for %s", sender.Name, ejection.Duration)
		}
	}
	if err := checkEvacuations(heartbeat.Evacuations); err != nil {
		return errors.Wrapf(err, "heartbeat of %q", sender.Name)
	}
	return nil
}

// Ejection excludes the backend server with Token from selection for new flows for Duration.
type Ejection struct {
	Token    uint32        `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
	IsSlow   bool          `cbor:"3,keyasint,omitempty"` // because of slow responses, not of failures
}

// Snapshot is the view that one instance serves to another. What the requester has
// already is nil.
type Snapshot struct {
	Configuration *viewer.Configuration `cbor:"configuration"` // nil when RouteDelta is enough
	RouteDelta    *viewer.RouteDelta    `cbor:"route_delta"`   // since the requester's version
	Servers       *viewer.Servers       `cbor:"servers"`       // nil when ServersDelta is enough
	ServersDelta  *viewer.ServerDelta   `cbor:"delta"`         // since the requester's revision
	Members       []Member              `cbor:"members"`       // only for a requester without a list of servers
	Evacuations   *viewer.Evacuations   `cbor:"evacuations"`

	// Removals are the servers that were removed a short time ago; only with Servers. Older programs
	// tell of none.
	Removals []viewer.Removal `cbor:"removals,omitempty"`

	// InstanceCounts are the numbers of instances by failure domain; only in the saved snapshot.
	InstanceCounts map[string]int `cbor:"instances,omitempty"`
}

// encode encodes a message as CBOR. It panics on an error, which the types above cannot cause.
func encode(message any) []byte {
	content, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}

// decode decodes a CBOR message into the value that message points to.
func decode(content []byte, message any) error {
	if err := cbor.Unmarshal(content, message); err != nil {
		return errors.Wrap(err, "decode CBOR message")
	}
	return nil
}
