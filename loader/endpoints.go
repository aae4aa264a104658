package loader

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/pimentowind/pimentowind/parser"
)

// maxRetiredEndpoints bounds the list of retired endpoints, oldest first out.
const maxRetiredEndpoints = 2000

// servicesByEndpoint returns the service of every endpoint in a sheet.
func servicesByEndpoint(sheet *parser.Sheet) map[string]string {
	result := map[string]string{}
	for _, service := range sheet.Services {
		for _, server := range service.BackendServers {
			result[server.Address.String()] = service.Name
		}
	}
	return result
}

// retiredEndpoints adds the endpoints that the new sheet leaves out to those retired before.
func retiredEndpoints(before SheetDocument, sheet *parser.Sheet, version uint64) []RetiredEndpoint {
	used := servicesByEndpoint(sheet)
	var retired []RetiredEndpoint
	for _, entry := range before.RetiredEndpoints {
		if _, again := used[entry.Endpoint]; !again {
			retired = append(retired, entry)
		}
	}
	for endpoint, service := range servicesByEndpoint(&before.Sheet) {
		if _, kept := used[endpoint]; !kept {
			retired = append(retired, RetiredEndpoint{Endpoint: endpoint, Service: service, Version: version})
		}
	}
	slices.SortFunc(retired, func(a, b RetiredEndpoint) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return retired[max(0, len(retired)-maxRetiredEndpoints):]
}

// checkEndpoints refuses an endpoint for a service while an instance may still
// send it packets of the service that it served before.
func (loader *Loader) checkEndpoints(ctx context.Context, document SheetDocument, before SheetDocument, current uint64) error {
	wanted := servicesByEndpoint(&document.Sheet)
	var findings []string
	for endpoint, service := range servicesByEndpoint(&before.Sheet) {
		if next, used := wanted[endpoint]; used && next != service {
			findings = append(findings, fmt.Sprintf(
				"endpoint %s serves service %q in version %d and %q in this sheet: load a sheet without it first", endpoint, service, current, next))
		}
	}
	moved := slices.DeleteFunc(slices.Clone(before.RetiredEndpoints), func(entry RetiredEndpoint) bool {
		next, used := wanted[entry.Endpoint]
		return !used || next == entry.Service
	})
	if len(moved) > 0 {
		progress, err := loader.Progress(ctx, current)
		if err != nil {
			return err
		}
		if !progress.Complete() {
			for _, entry := range moved {
				findings = append(findings, fmt.Sprintf(
					"endpoint %s served service %q until version %d: wait until version %d is in force everywhere (%s)",
					entry.Endpoint, entry.Service, entry.Version, current, progress))
			}
		}
	}
	if len(findings) == 0 {
		return nil
	}
	slices.Sort(findings)
	return &ReusedEndpointsError{Findings: findings}
}

// DiffSheets lists what one sheet has and the other has not, one line each.
func DiffSheets(theirs, ours *parser.Sheet) []string {
	their, our := describeSheet(theirs), describeSheet(ours)
	var differences []string
	for key, value := range their {
		if our[key] != value {
			differences = append(differences, fmt.Sprintf("%s: loaded %s, yours %s", key, value, cmp.Or(our[key], "absent")))
		}
	}
	for key, value := range our {
		if _, both := their[key]; !both {
			differences = append(differences, fmt.Sprintf("%s: loaded absent, yours %s", key, value))
		}
	}
	slices.Sort(differences)
	return differences
}

func describeSheet(sheet *parser.Sheet) map[string]string {
	result := map[string]string{}
	for _, service := range sheet.Services {
		result["service "+service.Name] = fmt.Sprintf("%s/%s idempotent %t", service.Address, service.Protocol, service.Idempotent)
		for _, server := range service.BackendServers {
			key := fmt.Sprintf("backend server %s of %s", server.Name, service.Name)
			result[key] = fmt.Sprintf("%s weight %g %s", server.Address, server.Weight, server.State)
		}
	}
	for _, instance := range sheet.Instances {
		result["instance "+instance.Name] = string(instance.State)
	}
	return result
}
