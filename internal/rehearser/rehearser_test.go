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

// patience is how long a test waits for a state; it judges no time.
const patience = 2 * time.Minute

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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// smallFleet is three instances in three failure domains before two backend servers.
func smallFleet(t *testing.T, ctx context.Context) (*Fleet, []SheetRow) {
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

func (fleet *Fleet) loadRows(t *testing.T, rows []SheetRow) {
	t.Helper()
	file := filepath.Join(fleet.directory, "sheet.csv")
	assert.NilError(t, WriteSheet(file, rows))
	line, err := fleet.LoadSheet(file, "awa", patience)
	assert.NilError(t, err, line)
	t.Log(line)
}

func callers(duration time.Duration) CallerOptions {
	return CallerOptions{
		Name: "desks", Source: "198.51.100.7", Service: logService, Flows: 40, Interval: 200 * time.Millisecond, Duration: duration,
	}
}

// checkLogs asserts that every log was answered and ran once.
func checkLogs(t *testing.T, ctx context.Context, fleet *Fleet) {
	t.Helper()
	report, err := fleet.WaitForCallerReport(ctx, "desks")
	assert.NilError(t, err)
	t.Logf("%+v", report)
	assert.Equal(t, report.Broken, 0)
	assert.Equal(t, report.Wrong, 0)
	assert.Equal(t, report.Answered, report.Requests)
	for _, name := range []string{"log-1", "log-2"} {
		stats, err := fleet.BackendServerStats(name)
		assert.NilError(t, err)
		assert.Equal(t, stats.ExecutedTwo, 0)
		assert.Equal(t, stats.WrongService, 0)
	}
}

func TestAKilledInstanceLosesNoLog(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fleet, _ := smallFleet(t, ctx)
	assert.NilError(t, fleet.StartCaller(callers(6*time.Second)))
	time.Sleep(2 * time.Second)
	assert.NilError(t, fleet.SetFabricBalancers("lb-a", "lb-c"))
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGKILL))
	checkLogs(t, ctx, fleet)
}

func TestAFrozenInstanceWakesHarmlessly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fleet, _ := smallFleet(t, ctx)
	assert.NilError(t, fleet.StartCaller(callers(9*time.Second)))
	time.Sleep(time.Second)
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	assert.NilError(t, fleet.Signal("lb-b", syscall.SIGCONT))
	checkLogs(t, ctx, fleet)
	vars, err := fleet.Vars("lb-b")
	assert.NilError(t, err)
	assert.Assert(t, vars["decisions"]["pauses"] >= 1)
}

func TestAnInstanceJoinsWhileThePlatformIsDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fleet, _ := smallFleet(t, ctx)
	assert.NilError(t, fleet.SetFaults(standin.Faults{Down: true}))
	assert.NilError(t, fleet.StartCaller(callers(6*time.Second)))
	assert.NilError(t, fleet.StartUnlistedInstance("lb-d", "a"))
	assert.NilError(t, fleet.WaitUntilReady(ctx, "lb-d"))
	assert.NilError(t, fleet.SetFabricBalancers("lb-a", "lb-b", "lb-c", "lb-d"))
	status, err := fleet.Status("lb-d")
	assert.NilError(t, err)
	assert.Equal(t, status.SheetVersion, uint64(1))
	checkLogs(t, ctx, fleet)
}

func TestALostAnswerLoadsTheSheetOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fleet, rows := smallFleet(t, ctx)
	assert.NilError(t, fleet.SetFaults(standin.Faults{LoseAnswers: 1}))
	rows[len(rows)-1].State = "leaving"
	fleet.loadRows(t, rows)
	for _, name := range []string{"lb-a", "lb-b", "lb-c"} {
		status, err := fleet.Status(name)
		assert.NilError(t, err)
		assert.Equal(t, status.SheetVersion, uint64(2))
	}
}
