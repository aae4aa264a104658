package loader

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/pimentowind/pimentowind/parser"
)

// maxRetiredEndpoints is the maximum length of the list of retired endpoints; the oldest
// are removed first.
const maxRetiredEndpoints = 2000

// servicesByEndpoint returns the name of the service of every endpoint in a sheet.
func servicesByEndpoint(sheet *parser.Sheet) map[string]string {
	result := map[string]string{}
	for _, service := range sheet.Services {
		for _, server := range service.BackendServers {
			result[server.Address.String()] = service.Name
		}
	}
	return result
}

// retiredEndpoints returns the endpoints that sheet does not use: those retired before
// and those of the previous document, which is at version.
func retiredEndpoints(previous SheetDocument, sheet *parser.Sheet, version uint64) []RetiredEndpoint {
	used := servicesByEndpoint(sheet)
	var retired []RetiredEndpoint
	for _, entry := range previous.RetiredEndpoints {
		if _, usedAgain := used[entry.Endpoint]; !usedAgain {
			retired = append(retired, entry)
		}
	}
	for endpoint, service := range servicesByEndpoint(&previous.Sheet) {
		if _, stillUsed := used[endpoint]; !stillUsed {
			retired = append(retired, RetiredEndpoint{Endpoint: endpoint, Service: service, Version: version})
		}
	}
	slices.SortFunc(retired, func(a, b RetiredEndpoint) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return retired[max(0, len(retired)-maxRetiredEndpoints):]
}

// checkEndpoints rejects a sheet that moves an endpoint to another service while an
// instance may still send it packets of its previous service. The endpoint must first
// be absent from a version that is in force on every listed instance.
func (loader *Loader) checkEndpoints(ctx context.Context, document SheetDocument, previous SheetDocument, currentVersion uint64) error {
	assigned := servicesByEndpoint(&document.Sheet)
	findings := sharedIDs(assigned, previous)
	for endpoint, service := range servicesByEndpoint(&previous.Sheet) {
		if newService, used := assigned[endpoint]; used && newService != service {
			findings = append(findings, fmt.Sprintf(
				"endpoint %s serves service %q in version %d and %q in this sheet: load a sheet without it first", endpoint, service, currentVersion, newService))
		}
	}
	reassigned := slices.DeleteFunc(slices.Clone(previous.RetiredEndpoints), func(entry RetiredEndpoint) bool {
		newService, used := assigned[entry.Endpoint]
		return !used || newService == entry.Service
	})
	if len(reassigned) > 0 {
		progress, err := loader.Progress(ctx, currentVersion)
		if err != nil {
			return err
		}
		if !progress.Complete() {
			for _, entry := range reassigned {
				findings = append(findings, fmt.Sprintf(
					"endpoint %s served service %q until version %d: wait until version %d is in force everywhere (%s)",
					entry.Endpoint, entry.Service, entry.Version, currentVersion, progress))
			}
		}
	}
	if len(findings) == 0 {
		return nil
	}
	slices.Sort(findings)
	return &ReusedEndpointsError{Findings: findings}
}

// sharedIDs returns a line for each endpoint whose server would have the ID of one that the previous
// sheet or an earlier one had: instances that run since then would send its flows there.
func sharedIDs(assigned map[string]string, previous SheetDocument) []string {
	earlier := servicesByEndpoint(&previous.Sheet)
	for _, entry := range previous.RetiredEndpoints {
		earlier[entry.Endpoint] = entry.Service
	}
	endpointByID := map[uint32]string{}
	for endpoint, service := range earlier {
		endpointByID[serverID(service, endpoint)] = endpoint
	}
	var findings []string
	for endpoint, service := range assigned {
		other, isKnown := endpointByID[serverID(service, endpoint)]
		if isKnown && (other != endpoint || earlier[other] != service) {
			findings = append(findings, fmt.Sprintf(
				"endpoint %s would have the same number as %s of service %q had before: use another port", endpoint, other, earlier[other]))
		}
	}
	return findings
}

// serverID returns the ID of a server by its endpoint as text, 0 if that is no address.
func serverID(service, endpoint string) uint32 {
	address, err := netip.ParseAddrPort(endpoint)
	if err != nil {
		return 0
	}
	return parser.ServerID(service, address)
}

// DiffSheets returns one line for each service, backend server and instance that differs
// between the loaded sheet and the operator's.
func DiffSheets(loaded, own *parser.Sheet) []string {
	loadedRows, ownRows := describeSheet(loaded), describeSheet(own)
	var differences []string
	for key, value := range loadedRows {
		if ownRows[key] != value {
			differences = append(differences, fmt.Sprintf("%s: loaded %s, yours %s", key, value, cmp.Or(ownRows[key], "absent")))
		}
	}
	for key, value := range ownRows {
		if _, exists := loadedRows[key]; !exists {
			differences = append(differences, fmt.Sprintf("%s: loaded absent, yours %s", key, value))
		}
	}
	slices.Sort(differences)
	return differences
}

// describeSheet returns a description of every service, backend server and instance in
// a sheet, by its kind and name.
func describeSheet(sheet *parser.Sheet) map[string]string {
	rows := map[string]string{}
	for _, service := range sheet.Services {
		rows["service "+service.Name] = fmt.Sprintf("%s/%s idempotent %t", service.Address, service.Protocol, service.Idempotent)
		for _, server := range service.BackendServers {
			key := fmt.Sprintf("backend server %s of %s", server.Name, service.Name)
			rows[key] = fmt.Sprintf("%s weight %g %s", server.Address, server.Weight, server.State)
		}
	}
	for _, instance := range sheet.Instances {
		rows["instance "+instance.Name] = string(instance.State)
	}
	return rows
}
