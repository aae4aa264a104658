package parser

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the transport protocol of a service.
type Protocol string

// Transport protocols that a service can have.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// State says whether a backend server accepts new flows, or whether an instance joins or leaves.
type State string

// States of backend servers (Active, Leaving) and instances (Joining, Leaving).
const (
	Active  State = "active"
	Leaving State = "leaving"
	Joining State = "joining"
)

// Sheet is the operators' configuration for one day: the failure domains, the
// services with their backend servers, and the instances that join or leave.
type Sheet struct {
	FailureDomains []string   `json:"failure_domains"`
	Services       []Service  `json:"services"`
	Instances      []Instance `json:"instances"`
}

// Service is an address that callers connect to, with the backend servers behind it.
// Idempotent means that executing a request more than once does no harm.
type Service struct {
	Name           string          `json:"name"`
	Address        netip.AddrPort  `json:"address"`
	Protocol       Protocol        `json:"protocol"`
	Idempotent     bool            `json:"idempotent"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// BackendServer serves one service. Address is its tunnel endpoint, Weight its share
// of the service's new flows relative to the other servers, and Connections the maximum
// number of open flows.
type BackendServer struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Weight        float64        `json:"weight"`
	FailureDomain string         `json:"failure_domain"`
	State         State          `json:"state"`
	Connections   int            `json:"connections"`
}

// ServerID returns the number under which instances name the backend server of a service at an
// address to each other; never 0. Two servers may have the same one, but not in sheets that are
// loaded, as an instance sends the flows of both to the one that it saw first.
func ServerID(service string, address netip.AddrPort) uint32 {
	return uint32(xxhash.Sum64String(service+" "+address.String())) | 1
}

// Instance is a load balancer instance that joins or leaves on the day of the sheet.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Calendar is the list of rehearsals.
type Calendar struct {
	Rehearsals []Rehearsal `json:"rehearsals"`
}

// Action is what a rehearsal does to its target.
type Action string

// Actions of a rehearsal.
const (
	Drain Action = "drain"
	Fail  Action = "fail"
)

// TargetKind is the kind of target of a rehearsal.
type TargetKind string

// Kinds of targets of a rehearsal.
const (
	TargetInstance      TargetKind = "instance"
	TargetBackendServer TargetKind = "backend_server"
	TargetFailureDomain TargetKind = "failure_domain"
)

// Rehearsal is a planned drain or failure of a target, from Start for Duration.
type Rehearsal struct {
	Start      time.Time     `json:"start"`
	Duration   time.Duration `json:"duration"`
	TargetKind TargetKind    `json:"target_kind"`
	Target     string        `json:"target"`
	Action     Action        `json:"action"`

	row int // in the calendar file
}

// End returns the time at which the rehearsal ends.
func (rehearsal Rehearsal) End() time.Time { return rehearsal.Start.Add(rehearsal.Duration) }

// Service returns the service with the given name, or nil.
func (sheet *Sheet) Service(name string) *Service {
	for i := range sheet.Services {
		if sheet.Services[i].Name == name {
			return &sheet.Services[i]
		}
	}
	return nil
}
