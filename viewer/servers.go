package viewer

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/parser"
)

// Servers is the list of backend servers at one revision of the platform's store.
type Servers struct {
	Revision uint64          // grows with every change in the store, within one era
	Era      uint64          `cbor:",omitempty"` // of the store at Revision; see Revision.Era
	List     []BackendServer // sorted by Name

	// Unreadable names the servers that are not listed because their entry cannot be
	// decoded since it was last read: it exists, so they have not ended.
	Unreadable []string `cbor:",omitempty"`
}

// At returns the revision of the list, the zero Revision if there is no list.
func (servers *Servers) At() Revision {
	if servers == nil {
		return Revision{}
	}
	return Revision{Era: servers.Era, Number: servers.Revision}
}

// withList returns servers with another list.
func (servers *Servers) withList(list []BackendServer) *Servers {
	copied := *servers
	copied.List = list
	return &copied
}

// ConfirmedAt returns the same list at another revision of the store.
func (servers *Servers) ConfirmedAt(revision Revision) *Servers {
	copied := *servers
	copied.Era, copied.Revision = revision.Era, revision.Number
	return &copied
}

// BackendServer is one incarnation of a backend server: a restarted server can
// keep its name, but has another StartedAt.
type BackendServer struct {
	Name          string         `cbor:"1,keyasint"`
	Identity      uint64         `cbor:"2,keyasint"` // precedes each packet to the server, so that another server that reuses the address does not accept it
	Token         uint32         `cbor:"3,keyasint"` // names the server in messages between instances, and in packets of older programs; never 0, and servers may share it
	Service       string         `cbor:"4,keyasint"`
	Address       netip.AddrPort `cbor:"5,keyasint"`
	FailureDomain string         `cbor:"6,keyasint"`
	Slots         int            `cbor:"7,keyasint"` // requests that the server processes at the same time
	State         parser.State   `cbor:"8,keyasint"`
	StartedAt     int64          `cbor:"9,keyasint"`            // Unix milliseconds; distinguishes incarnations with the same name
	ColdUntil     Deadline       `cbor:"11,keyasint,omitzero"`  // not before the end of the warm-up, during which the server is slower than usual; zero if it has none
	ColdSince     uint64         `cbor:"12,keyasint,omitempty"` // identifies the revision of the store at which the server turned cold again (see Revision.Identity); 0 if it is warm, or cold since its start
	Sharers       Sharers        `cbor:"13,keyasint,omitzero"`  // instances that may open flows during the warm-up if the service states a rate
}

// SameIncarnation reports whether both entries describe the same incarnation of a server.
func (backendServer *BackendServer) SameIncarnation(other *BackendServer) bool {
	return backendServer.Name == other.Name && backendServer.StartedAt == other.StartedAt
}

// Contains reports whether servers has an entry of the same incarnation as wanted.
func Contains(servers []*BackendServer, wanted *BackendServer) bool {
	for _, server := range servers {
		if server.SameIncarnation(wanted) {
			return true
		}
	}
	return false
}

// Digest returns a hash of the list's content. It leaves out the revision and, of
// each server, ColdUntil, which differs between instances, as well as Identity and Token, which follow from the name.
func (servers *Servers) Digest() uint64 {
	digest := xxhash.New()
	for i := range servers.List {
		servers.List[i].writeDigest(digest)
	}
	return digest.Sum64()
}
