package rehearser

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// StartIdleInstances starts size instances, loads a sheet with one backend server and returns
// the names of the instances, which handle no flows.
func (fleet *Fleet) StartIdleInstances(ctx context.Context, size int) ([]string, error) {
	service := netip.MustParseAddrPort("10.1.0.9:443")
	rows := []SheetRow{FailureDomainRow("a"), FailureDomainRow("b"), FailureDomainRow("c"), ServiceRow("desk-log", service, "tcp", "no")}
	rows = append(rows, BackendServerRow("log-1", "desk-log", FreeAddress(), 1, "a", "active"))
	var names []string
	for number := range size {
		name := fmt.Sprintf("lb-%d", number)
		names = append(names, name)
		if err := fleet.StartInstance(ctx, name, failureDomains[number%len(failureDomains)]); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(fleet.directory, "sheet.csv")
	if err := WriteSheet(file, rows); err != nil {
		return nil, err
	}
	if line, err := fleet.LoadSheet(file, "idle", time.Minute); err != nil {
		return nil, errors.Wrapf(err, "load sheet: %s", line)
	}
	if err := fleet.WaitUntilReady(ctx, names...); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // until the last handover is complete
	return names, nil
}

// PlatformCalls returns the number of requests that the platform has received since it started.
func (fleet *Fleet) PlatformCalls() (int, error) {
	var calls map[string]int
	if err := getJSON(fleet.platformURL+"/calls", &calls); err != nil {
		return 0, err
	}
	total := 0
	for _, count := range calls {
		total += count
	}
	return total, nil
}

// ResidentMemory returns the resident memory of the named process in bytes.
func (fleet *Fleet) ResidentMemory(name string) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", fleet.processes[name].command.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, errors.Errorf("statm %q has no resident size", content)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse resident memory")
	}
	return pages * float64(os.Getpagesize()), nil
}
