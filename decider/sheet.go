package decider

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/parser"
)

// ApplySheet applies a version of the sheet that was read from the platform, a parser.Sheet in JSON;
// older versions are ignored, and one that cannot be decoded is rejected.
func (decider *Decider) ApplySheet(now time.Time, version uint64, content []byte) {
	decider.now = now
	decider.applySheet(version, content)
	decider.flushHeartbeat()
}

// applySheet follows a sheet that is newer than the one in use, if it can be decoded.
func (decider *Decider) applySheet(version uint64, content []byte) {
	if version <= decider.sheetVersion {
		return
	}
	var sheet parser.Sheet
	if err := json.Unmarshal(content, &sheet); err != nil {
		decider.recordEvent(EventSheetInvalid, "version", version, "error", err.Error())
		return
	}
	decider.sheetVersion = version
	decider.sheetContent = content
	for _, service := range decider.sortedServices {
		service.listed = false
	}
	for _, spec := range sheet.Services {
		decider.applyService(spec)
	}
	decider.heartbeatDue = true
	decider.recordEvent(EventSheetAccepted, "version", version)
	decider.runOwnedServices()
}

func (decider *Decider) applyService(spec parser.Service) {
	service := decider.serviceNamed(spec.Name)
	encoded, err := json.Marshal(spec)
	if err != nil {
		return
	}
	if service.sheetDigest != 0 && serviceAddressOf(service.spec) != serviceAddressOf(spec) {
		delete(decider.servicesByAddress, serviceAddressOf(service.spec))
	}
	service.spec = spec
	service.sheetDigest = xxhash.Sum64(encoded)
	service.listed = true
	decider.servicesByAddress[serviceAddressOf(spec)] = service
	for _, row := range spec.BackendServers {
		service.server(decider, row.Name, row.Address).failureDomain = row.FailureDomain
	}
}

// serviceNamed returns the service of a name, and adds it if it is new.
func (decider *Decider) serviceNamed(name string) *service {
	hash := hashName(name)
	result, ok := decider.services[hash]
	if !ok {
		result = &service{name: name, hash: hash}
		decider.services[hash] = result
		decider.sortedServices = append(decider.sortedServices, result)
		slices.SortFunc(decider.sortedServices, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	}
	return result
}
