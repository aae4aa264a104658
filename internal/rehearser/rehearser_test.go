package rehearser

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/internal/standin"
)

// testTimeout limits how long a test waits for a process or a state. It is generous, since no
// test checks a duration.
const testTimeout = 2 * time.Minute

var binaries string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "pimentowind-test")
	if err == nil {
		err = Build(context.Background(), "../..", directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = directory
	code := m.Run()
	os.RemoveAll(directory)
	os.Exit(code)
}

func TestRehearsal(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	outcome, err := Rehearse(ctx, t.TempDir(), binaries, 8*time.Second, testWriter{t})
	assert.NilError(t, err)
	outcome.Print(testWriter{t})
	assert.Assert(t, outcome.Passed())
}

// testWriter writes to the log of a test.
type testWriter struct{ t *testing.T }

func (testWriter testWriter) Write(line []byte) (int, error) {
	testWriter.t.Logf("%s", line)
	return len(line), nil
}

var logService = netip.MustParseAddrPort("10.1.0.9:443")

// startSmallFleet starts three instances in three failure domains and two backend servers of
// one service, and returns the fleet and the rows of its sheet.
func startSmallFleet(t *testing.T, ctx context.Context) (*Fleet, []SheetRow) {
	t.Helper()
	fleet, cleanup, err := NewFleet(ctx, t.TempDir(), binaries)
	assert.NilError(t, err)
	t.Cleanup(func() {
		cleanup()
		if t.Failed() {
			fleet.WriteLogs(testWriter{t})
		}
	})
	rows := []SheetRow{FailureDomainRow("a"), FailureDomainRow("b"), FailureDomainRow("c"), ServiceRow("desk-log", logService, "tcp", "no")}
	for number, domain := range []string{"a", "b"} {
		name := fmt.Sprintf("log-%d", number+1)
		address, err := fleet.StartBackendServer(name, logService, 4)
		assert.NilError(t, err)
		rows = append(rows, BackendServerRow(name, "desk-log", address, 1, domain, "active"))
	}
	for _, domain := range []string{"a", "b", "c"} {
		assert.NilError(t, fleet.StartInstance(ctx, "lb-"+domain, domain))
	}
	fleet.loadRows(t, rows)
	assert.NilError(t, fleet.WaitUntilReady(ctx, "lb-a", "lb-b", "lb-c"))
	assert.NilError(t, fleet.SetFabricBalancers("lb-a", "lb-b", "lb-c"))
	return fleet, rows
}

// loadRows loads a sheet and asserts that it comes into force on every instance.
func (fleet *Fleet) loadRows(t *testing.T, rows []SheetRow) {
	t.Helper()
	file := filepath.Join(fleet.directory, "sheet.csv")
	assert.NilError(t, WriteSheet(file, rows))
	line, err := fleet.LoadSheet(file, "awa", testTimeout)
	assert.NilError(t, err, line)
	t.Log(line)
}

func callerOptions(duration time.Duration) CallerOptions {
	return CallerOptions{
		Name: "desks", Source: "198.51.100.7", Service: logService, Flows: 40, Interval: 200 * time.Millisecond, Duration: duration,
	}
}

// checkAnswers asserts that every request was answered and none was executed twice.
func checkAnswers(t *testing.T, ctx context.Context, fleet *Fleet) {
	t.Helper()
	report, err := fleet.WaitForCallerReport(ctx, "desks")
	assert.NilError(t, err)
	t.Logf("%+v", report)
	assert.Equal(t, report.Broken, 0)
	assert.Equal(t, report.WrongAnswers, 0)
	assert.Equal(t, report.Answered, report.Requests)
	for _, name := range []string{"log-1", "log-2"} {
		stats, err := fleet.BackendServerStats(name)
		assert.NilError(t, err)
		assert.Equal(t, stats.ExecutedTwice, 0)
		assert.Equal(t, stats.WrongService, 0)
	}
}

// The flows of a killed instance continue through the others once the fabric avoids it.
func TestKilledInstanceLosesNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, _ := startSmallFleet(t, ctx)
	assert.NilError(t, fleet.StartCaller(callerOptions(6*time.Second)))
	time.Sleep(2 * time.Second)
	assert.NilError(t, fleet.SetFabricBalancers("lb-a", "lb-c"))
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGKILL))
	checkAnswers(t, ctx, fleet)
}

// An instance that resumes after a pause of 3 s, the fabric still sending it packets, must not
// decide on flows from its outdated state.
func TestSuspendedInstanceResumesWithoutLoss(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, _ := startSmallFleet(t, ctx)
	assert.NilError(t, fleet.StartCaller(callerOptions(9*time.Second)))
	time.Sleep(time.Second)
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGCONT))
	checkAnswers(t, ctx, fleet)
	vars, err := fleet.Vars("lb-b")
	assert.NilError(t, err)
	assert.Assert(t, vars["decisions"]["pauses"] >= 1)
}

// An instance that starts while the platform is unavailable receives the sheet from its peers.
func TestInstanceJoinsWhilePlatformIsDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, _ := startSmallFleet(t, ctx)
	assert.NilError(t, fleet.SetFaults(standin.PlatformFaults{Down: true}))
	assert.NilError(t, fleet.StartCaller(callerOptions(6*time.Second)))
	assert.NilError(t, fleet.StartUnlistedInstance("lb-d", "a"))
	assert.NilError(t, fleet.WaitUntilReady(ctx, "lb-d"))
	assert.NilError(t, fleet.SetFabricBalancers("lb-a", "lb-b", "lb-c", "lb-d"))
	status, err := fleet.Status("lb-d")
	assert.NilError(t, err)
	assert.Equal(t, status.SheetVersion, uint64(1))
	checkAnswers(t, ctx, fleet)
}

// The platform applies the write but answers 502. The retry must find that write instead of
// loading the sheet again as another version.
func TestLostPlatformAnswerLoadsSheetOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, rows := startSmallFleet(t, ctx)
	assert.NilError(t, fleet.SetFaults(standin.PlatformFaults{LostResponses: 1}))
	rows[len(rows)-1].State = "leaving"
	fleet.loadRows(t, rows)
	for _, name := range []string{"lb-a", "lb-b", "lb-c"} {
		status, err := fleet.Status(name)
		assert.NilError(t, err)
		assert.Equal(t, status.SheetVersion, uint64(2))
	}
}
