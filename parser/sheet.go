package parser

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol of a service.
type Protocol string

// Transport protocols that a service can have.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// State says whether a backend server or an instance takes new work.
type State string

// States of the sheet's rows.
const (
	Active  State = "active"
	Leaving State = "leaving"
	Joining State = "joining"
)

// Sheet is one day's plan: what exists and what is leaving or joining.
type Sheet struct {
	FailureDomains []string   `json:"failure_domains"`
	Services       []Service  `json:"services"`
	Instances      []Instance `json:"instances"`
}

// Service is one address that callers use, with the backend servers behind it.
type Service struct {
	Name           string          `json:"name"`
	Address        netip.AddrPort  `json:"address"`
	Protocol       Protocol        `json:"protocol"`
	Idempotent     bool            `json:"idempotent"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// BackendServer serves one service; Address ends the tunnel, Connections limits its open flows.
type BackendServer struct {
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	Weight        float64        `json:"weight"`
	FailureDomain string         `json:"failure_domain"`
	State         State          `json:"state"`
	Connections   int            `json:"connections"`
}

// Instance is a balancer instance that leaves or joins on the sheet's day.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Calendar is the list of planned rehearsals.
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

// TargetKind is the kind of thing that a rehearsal acts on.
type TargetKind string

// Kinds of target.
const (
	TargetInstance      TargetKind = "instance"
	TargetBackendServer TargetKind = "backend_server"
	TargetFailureDomain TargetKind = "failure_domain"
)

// Rehearsal is one planned failure or drain.
type Rehearsal struct {
	Start      time.Time     `json:"start"`
	Duration   time.Duration `json:"duration"`
	TargetKind TargetKind    `json:"target_kind"`
	Target     string        `json:"target"`
	Action     Action        `json:"action"`

	row int
}

// End returns the time at which the target is whole again.
func (rehearsal Rehearsal) End() time.Time { return rehearsal.Start.Add(rehearsal.Duration) }

// Service returns the service called name, or nil.
func (sheet *Sheet) Service(name string) *Service {
	for i := range sheet.Services {
		if sheet.Services[i].Name == name {
			return &sheet.Services[i]
		}
	}
	return nil
}
