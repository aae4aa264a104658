package viewer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxWarmUp is the longest warm-up that is believed of a service or a server.
	MaxWarmUp = time.Hour
	// WarmUpTolerance is how much later than known a warm-up may end without being announced
	// as a new one: an entry of the store is read up to this long after it was written, so
	// that two readings of one warm-up differ in its end.
	WarmUpTolerance = time.Second
	// maxSharers is the number of instances that share the new flows of a server in its
	// warm-up: one more than needed, since either may be down.
	maxSharers = 2
)

// Service is what the configuration states about a service.
type Service struct {
	Name       string        `cbor:"1,keyasint"`
	WarmUp     time.Duration `cbor:"2,keyasint,omitempty"` // how long a server is slower than usual after its start; 0 if not stated
	WarmUpRate float64       `cbor:"3,keyasint,omitempty"` // new flows per second that a server bears during its warm-up; 0 if not stated
}

// Sharers are the hashes of the names of the instances that may open flows at a server
// during its warm-up, each an equal part of the rate, or the first alone if that is too small to
// be divided; 0 stands for none.
type Sharers [maxSharers]uint32

// Count returns the number of instances.
func (sharers Sharers) Count() int {
	count := 0
	for _, sharer := range sharers {
		if sharer != 0 {
			count++
		}
	}
	return count
}

// First returns the first of the instances alone.
func (sharers Sharers) First() Sharers { return Sharers{sharers[0]} }

// Contains reports whether the instance with this hash is among the sharers.
func (sharers Sharers) Contains(instance uint32) bool {
	return instance != 0 && slices.Contains(sharers[:], instance)
}

// ContinueWarmUps returns a list that was read from the store, in which the servers that were
// in the same warm-up in previous, which may be nil, keep its ColdSince and its Sharers. A
// server that is colder than previous has it begins a new warm-up with the same sharers.
// Servers in a warm-up without sharers get those that choose returns. The list itself
// remains unchanged, and is returned if nothing differs.
func (servers *Servers) ContinueWarmUps(previous *Servers, choose func(server *BackendServer) Sharers) *Servers {
	var before map[string]*BackendServer
	result := servers
	for i := range servers.List {
		server := servers.List[i]
		if server.ColdUntil.IsZero() {
			continue
		}
		if before == nil {
			before = serversByName(previous)
		}
		server.continueWarmUp(before[server.Name])
		if server.Sharers.Count() == 0 {
			server.Sharers = choose(&server)
		}
		if server.equal(&servers.List[i]) {
			continue
		}
		if result == servers {
			result = servers.withList(slices.Clone(servers.List))
		}
		result.List[i] = server
	}
	return result
}

// continueWarmUp completes an entry by the one before it, which may be nil. Its ColdSince is
// the revision of the entry. The warm-up after the start has ColdSince 0, so that all
// instances that see a new server have the same.
func (backendServer *BackendServer) continueWarmUp(previous *BackendServer) {
	if previous == nil || !previous.SameIncarnation(backendServer) {
		backendServer.ColdSince = 0
		return
	}
	backendServer.Sharers = previous.Sharers
	if !backendServer.ColdUntil.After(previous.ColdUntil.Add(WarmUpTolerance)) {
		backendServer.ColdSince = previous.ColdSince
	}
}

// WarmUpChange says that a warm-up that is announced to all instances began or ended.
type WarmUpChange struct {
	Server *BackendServer // as it is after the change
	IsCold bool
}

// WarmUpChanges returns the warm-ups that began or ended between two lists; before may be nil.
func WarmUpChanges(before, after *Servers) []WarmUpChange {
	var changes []WarmUpChange
	previous := serversByName(before)
	for i := range after.List {
		server := &after.List[i]
		was := BackendServer{}
		if entry := previous[server.Name]; entry != nil && entry.SameIncarnation(server) {
			was = *entry
		}
		isCold, wasCold := server.hasAnnouncedWarmUp(), was.hasAnnouncedWarmUp()
		if isCold != wasCold || isCold && was.ColdSince != server.ColdSince {
			changes = append(changes, WarmUpChange{Server: server, IsCold: isCold})
		}
	}
	return changes
}

// hasAnnouncedWarmUp reports whether all instances are told of the end of the server's
// warm-up: it began after its start, or instances share its new flows.
func (backendServer *BackendServer) hasAnnouncedWarmUp() bool {
	return backendServer.ColdSince != 0 || backendServer.Sharers.Count() > 0
}

// InstanceHash returns the hash of an instance's name that Sharers contain.
func InstanceHash(name string) uint32 { return max(uint32(xxhash.Sum64String(name)), 1) }
