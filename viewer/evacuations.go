package viewer

import "slices"

// Evacuations are the failure domains whose servers get no new flows at an operator's
// request. A nil pointer stands for none that are known.
type Evacuations struct {
	Revision uint64   `cbor:"1,keyasint"`           // of the store when it had this set
	Domains  []string `cbor:"2,keyasint,omitempty"` // sorted
	Era      uint64   `cbor:"3,keyasint,omitempty"` // of the store at that revision
}

// At returns when the store had this set, the zero Revision if none is known.
func (evacuations *Evacuations) At() Revision {
	if evacuations == nil {
		return Revision{}
	}
	return Revision{Era: evacuations.Era, Number: evacuations.Revision}
}

// Contains reports whether a failure domain is evacuated.
func (evacuations *Evacuations) Contains(domain string) bool {
	return evacuations != nil && slices.Contains(evacuations.Domains, domain)
}

// List returns the evacuated failure domains.
func (evacuations *Evacuations) List() []string {
	if evacuations == nil {
		return nil
	}
	return evacuations.Domains
}

// SameDomains reports whether both name the same failure domains.
func (evacuations *Evacuations) SameDomains(other *Evacuations) bool {
	return slices.Equal(evacuations.List(), other.List())
}

// HasDomain reports whether a server of the list is in a failure domain.
func (servers *Servers) HasDomain(domain string) bool {
	return slices.ContainsFunc(servers.List, func(server BackendServer) bool { return server.FailureDomain == domain })
}

// IsNewerThan reports whether the set was read at a newer revision of the store than other.
func (evacuations *Evacuations) IsNewerThan(other *Evacuations) bool {
	return evacuations != nil && (other == nil || evacuations.At().IsNewerThan(other.At()))
}
