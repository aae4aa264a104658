package rehearser

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
)

var syncService = netip.MustParseAddrPort("10.1.0.10:443")

// namesOfSharedID returns names of two services whose servers at two addresses have the same ID.
func namesOfSharedID(one, other netip.AddrPort) (string, string) {
	const names = 1 << 17
	known := map[uint32]string{}
	for i := range names {
		name := fmt.Sprint("log-", i)
		known[parser.ServerID(name, one)] = name
	}
	for i := 0; ; i++ {
		name := fmt.Sprint("sync-", i)
		if found, ok := known[parser.ServerID(name, other)]; ok {
			return found, name
		}
	}
}

// Guards against two backend servers with one ID, whose flows all go to the one that an instance saw first,
// of another service here: no such sheet is loaded, nor one with the ID of a server of an earlier sheet.
func TestServersWithTheSameIDAreNotLoaded(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, cleanup, err := NewFleet(ctx, t.TempDir(), binaries)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	logAddress, err := fleet.StartBackendServer("log-1", logService, 4)
	assert.NilError(t, err)
	syncAddress, err := fleet.StartBackendServer("sync-1", syncService, 4)
	assert.NilError(t, err)
	logName, syncName := namesOfSharedID(logAddress, syncAddress)
	assert.NilError(t, fleet.StartInstance(ctx, "lb-a", "a"))
	logRows := []SheetRow{ServiceRow(logName, logService, "tcp", "no"), BackendServerRow("log-1", logName, logAddress, 1, "a", "active")}
	syncRows := []SheetRow{ServiceRow(syncName, syncService, "tcp", "no"), BackendServerRow("sync-1", syncName, syncAddress, 1, "a", "active")}
	load := func(rows ...SheetRow) (string, error) {
		file := filepath.Join(t.TempDir(), "sheet.csv")
		assert.NilError(t, WriteSheet(file, append([]SheetRow{FailureDomainRow("a")}, rows...)))
		return fleet.LoadSheet(file, "awa", testTimeout)
	}
	if _, err := load(append(logRows, syncRows...)...); err == nil {
		assert.NilError(t, fleet.WaitUntilReady(ctx, "lb-a"))
		assert.NilError(t, fleet.SetFabricBalancers("lb-a"))
		options := callerOptions(2 * time.Second)
		options.Service = syncService
		assert.NilError(t, fleet.StartCaller(options))
		report, err := fleet.WaitForCallerReport(ctx, "desks")
		assert.NilError(t, err)
		stats, err := fleet.BackendServerStats("log-1")
		t.Fatalf("sheet was loaded; callers of %s: %+v; server of %s: %+v %v", syncName, report, logName, stats, err)
	}
	output, err := load(logRows...)
	assert.NilError(t, err, output)
	output, err = load(syncRows...)
	assert.Assert(t, err != nil && strings.Contains(output, "would have the same number"), output)
}
