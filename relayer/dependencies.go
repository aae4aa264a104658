package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// Source reads the platform's store and edits the list of members in it.
type Source interface {
	// Evacuations returns the evacuated failure domains and the revision of the store, which
	// grows with every change in it.
	Evacuations(ctx context.Context) (*viewer.Evacuations, error)
	// Servers returns the list of backend servers. It may read only the changes since
	// base, the relayer's own list, which is nil when the relayer has none.
	Servers(ctx context.Context, base *viewer.Servers) (*viewer.Servers, error)
	// Configuration returns nil when there is none, or none newer than revision since.
	Configuration(ctx context.Context, since viewer.Revision) (*viewer.Configuration, error)
	// Members returns all registered instances.
	Members(ctx context.Context) ([]Member, error)
	// SavedSnapshot returns the snapshot that is saved for starting instances; its
	// ObjectRevision is zero if there is none.
	SavedSnapshot(ctx context.Context) (SavedSnapshot, error)
	// SaveSnapshot replaces the saved snapshot that has snapshot's ObjectRevision, or creates
	// the first one if that is zero. It returns the one that is saved then, which is another
	// instance's if that was saved in between; its Content may be empty.
	SaveSnapshot(ctx context.Context, snapshot SavedSnapshot) (SavedSnapshot, error)
	// Register writes member into the list of members, and returns the era of the store that has
	// it there.
	Register(ctx context.Context, member Member) (uint64, error)
	// Remove deletes the member with this name from the list of members.
	Remove(ctx context.Context, name string) error
}

// Network carries messages to other instances.
type Network interface {
	// Send sends a datagram, which may be lost.
	Send(to netip.AddrPort, content []byte)
	// Drained returns the time before which every datagram that arrived has been passed to Receive. It
	// is called at least every 100 ms, so that it is close to the present while the process runs.
	Drained() time.Time
	// Fetch calls Snapshot of the instance at a control address; version and revision
	// are those of the requester's configuration and servers, zero when it has none.
	Fetch(ctx context.Context, control netip.AddrPort, version uint64, revision viewer.Revision) ([]byte, error)
}

// Observer is notified of changes of the view and the members and of calls of the
// store, and ejects servers on request of the leaders. The argument from is the name of an instance, "store", or
// the control address of a seed.
type Observer interface {
	ConfigurationApplied(version uint64, from string)
	ServersApplied(before, after *viewer.Servers, from string)
	// EvacuationsApplied reports that other failure domains are evacuated than before, which is
	// nil if none were known.
	EvacuationsApplied(before, after *viewer.Evacuations, from string)
	// EvacuationsIgnored reports failure domains that are too many to be evacuated.
	EvacuationsIgnored(domains []string)
	// ServerExpired reports a server that did not come back after an outage of the store.
	ServerExpired(server *viewer.BackendServer)
	// StoreRead reports that this instance has read the store at a revision.
	StoreRead(revision viewer.Revision)
	SourceCallFailed(call string, err error)
	SourceCallSucceeded(call string)
	// MemberJoined reports the first heartbeat of an instance that was not in the list.
	MemberJoined(member Member)
	// MemberLost reports an instance that was removed because it was unresponsive.
	MemberLost(member Member, unresponsiveFor time.Duration)
	FetchFailed(from string, err error)
	// HeartbeatPassedOn reports that this instance was a relay and passed a heartbeat on to a
	// number of instances.
	HeartbeatPassedOn(recipients int)
	// AnnouncementMissed reports that no announcement arrived through a relay for a time, and that
	// this instance has asked the leaders for their view.
	AnnouncementMissed(silence time.Duration)
	// SuspicionsReported reports that this instance has sent a number of suspicions to the leaders
	// of its failure domain, in one datagram to each.
	SuspicionsReported(count int)
	// EjectServer requests that a server get no new flows for a time; the observer may
	// decline.
	EjectServer(ejection Ejection)
}
