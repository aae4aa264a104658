package decider

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timings of the protocol between instances.
const (
	HeartbeatInterval            = 500 * time.Millisecond
	FailureTimeout               = 1600 * time.Millisecond // three heartbeats and some delay
	SuspectTimeout               = 1100 * time.Millisecond // two heartbeats and some delay; relayed packets then skip the instance
	ActivationTimeout            = 2500 * time.Millisecond // after which an urgent epoch is activated without all pins
	nonUrgentActivationTimeout   = 30 * time.Second        // the same for an epoch that is not urgent
	PauseThreshold               = time.Second             // a longer gap between ticks means that the process was paused
	ReportInterval               = 2 * time.Second         // between load reports to the owner of a service
	WeightInterval               = 10 * time.Second        // between changes of measured weights
	RetransmissionWindow         = 10 * time.Second        // in which a caller may still retransmit an opening
	ForgetTimeout                = 10 * time.Minute        // after which an unlisted unreachable instance is removed
	unreachableHeartbeatInterval = 2 * time.Second         // between heartbeats to an unlisted unreachable instance
)

// Limits of the background work between instances.
const (
	pinRate                = 2000             // bytes of pins per second
	pinBurst               = 16384            // bytes of pins at once
	maxPinDebt             = 65536            // bytes by which a new version of the sheet may overdraw the pin budget
	shardsPerTick          = 8                // shards of the flow table scanned per tick
	maxOldViews            = 16               // earlier views kept to find the flows whose home has changed
	oldViewsLifetime       = 10 * time.Minute // after the last change of view
	stateRepeatPeriod      = time.Second      // in which heartbeats repeat a changed ServiceState
	heartbeatsPerDigest    = 4                // one heartbeat in this many carries the digest of the active epochs
	heartbeatsPerAddresses = 16               // one heartbeat in this many repeats the sender's addresses
)

// Idle timeouts of flows by state.
const (
	openingTimeout     = 60 * time.Second
	establishedTimeout = 2 * time.Hour // the keepalive interval of RFC 9293 section 3.8.4
	closedTimeout      = 2 * time.Minute
	cacheTimeout       = time.Minute // of flows that this instance has only forwarded for others
	datagramTimeout    = 5 * time.Minute
)

// Instance describes one balancer instance.
type Instance struct {
	Name          string         `cbor:"1,keyasint" json:"name"`
	FailureDomain string         `cbor:"2,keyasint" json:"failure_domain"`
	Peer          netip.AddrPort `cbor:"3,keyasint" json:"peer_address"`   // for messages between instances
	Tunnel        netip.AddrPort `cbor:"4,keyasint" json:"tunnel_address"` // for packets
}

// Config holds the settings of a Decider.
type Config struct {
	Self        Instance
	Incarnation uint64 // grows with every start of the same instance
	MaxFlows    int    // largest number of entries in the flow table
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
