package decider

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/parser"
)

// Sheet takes in a version of the sheet that was read from the platform.
func (decider *Decider) Sheet(now time.Time, version uint64, content []byte) {
	decider.now = now
	decider.takeSheet(version, content)
	decider.flushHeartbeat()
}

func (decider *Decider) takeSheet(version uint64, content []byte) {
	if version <= decider.sheetVersion {
		return
	}
	var sheet parser.Sheet
	if err := json.Unmarshal(content, &sheet); err != nil {
		decider.event(EventSheetInvalid, "version", version, "error", err.Error())
		return
	}
	decider.sheetVersion = version
	decider.sheetContent = content
	for _, service := range decider.catalogue {
		service.listed = false
	}
	for _, spec := range sheet.Services {
		decider.takeService(spec)
	}
	decider.heartbeatDue = true
	decider.event(EventSheetAccepted, "version", version)
	decider.runOwned()
}

func (decider *Decider) takeService(spec parser.Service) {
	service := decider.serviceNamed(spec.Name)
	encoded, err := json.Marshal(spec)
	if err != nil {
		return
	}
	if service.basis != 0 && specAddress(service.spec) != specAddress(spec) {
		delete(decider.addresses, specAddress(service.spec))
	}
	service.spec = spec
	service.basis = xxhash.Sum64(encoded)
	service.listed = true
	decider.addresses[specAddress(spec)] = service
	for _, row := range spec.BackendServers {
		service.server(decider, row.Name, row.Address).domain = row.FailureDomain
	}
}

func (decider *Decider) serviceNamed(name string) *service {
	hash := hashName(name)
	known, ok := decider.services[hash]
	if !ok {
		known = &service{name: name, hash: hash}
		decider.services[hash] = known
		decider.catalogue = append(decider.catalogue, known)
		slices.SortFunc(decider.catalogue, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	}
	return known
}
