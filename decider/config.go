package decider

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timings of the protocol between instances.
const (
	HeartbeatInterval = 500 * time.Millisecond
	FailureTimeout    = 1600 * time.Millisecond // three heartbeats and some delay
	SuspectTimeout      = 1100 * time.Millisecond // two heartbeats and some delay; not asked about flows any more
	ActivationTimeout = 2500 * time.Millisecond
	patientTimeout    = 30 * time.Second // for epochs that are not urgent
	PauseThreshold    = time.Second      // a tick later than this means that the process was paused
	ReportInterval    = 2 * time.Second
	WeightInterval    = 10 * time.Second
	RetransmissionWindow   = 10 * time.Second // in which a caller may still retransmit an opening
	ForgetTimeout     = 10 * time.Minute // after which an unlisted dead instance is forgotten
	deadPeerInterval  = 2 * time.Second
)

// Limits of the background work between instances.
const (
	pinRate          = 2000  // bytes a second of pins
	pinBurst         = 16384 // bytes of pins at once
	maxPinDebt       = 65536 // bytes of pins that a new version of the sheet may borrow
	shardsPerTick    = 8     // shards of the flow table that one tick scans
	maxOldViews      = 16
	oldViewsLifetime = 10 * time.Minute
	recentChange     = time.Second
	digestInterval   = 4  // heartbeats between those that carry the digest
	regularInterval  = 16 // heartbeats after which the sender's addresses are repeated
)

// Idle timeouts of flows by state.
const (
	openingTimeout     = 60 * time.Second
	establishedTimeout = 2 * time.Hour // the keepalive interval of RFC 9293 section 3.8.4
	closedTimeout      = 2 * time.Minute
	cacheTimeout       = time.Minute // of flows that this instance only met
	datagramTimeout    = 5 * time.Minute
)

// Instance describes one balancer instance.
type Instance struct {
	Name          string         `cbor:"1,keyasint" json:"name"`
	FailureDomain string         `cbor:"2,keyasint" json:"failure_domain"`
	Peer          netip.AddrPort `cbor:"3,keyasint" json:"peer_address"`
	Tunnel        netip.AddrPort `cbor:"4,keyasint" json:"tunnel_address"`
}

// Config holds what a Decider needs to know at its start.
type Config struct {
	Self        Instance
	Incarnation uint64 // larger at every start of the same instance
	MaxFlows    int
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
