package rehearser

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/internal/standin"
)

// Outcome is what a rehearsal measured.
type Outcome struct {
	Callers   map[string]standin.CallerReport
	Servers   map[string]standin.BackendStats
	Imbalance map[string]float64 // by service: largest requests per strength over the mean
}

// Passed reports whether nothing was lost, doubled or sent to a wrong service.
func (outcome Outcome) Passed() bool {
	for _, report := range outcome.Callers {
		if report.Broken > 0 || report.Wrong > 0 || report.Answered != report.Requests || report.NotOpened > 0 {
			return false
		}
	}
	for _, stats := range outcome.Servers {
		if stats.WrongService > 0 || stats.ExecutedTwo > 0 || stats.UnknownFlow > 0 {
			return false
		}
	}
	return len(outcome.Callers) > 0
}

// Print writes the outcome for a person.
func (outcome Outcome) Print(output io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(outcome.Callers)) {
		report := outcome.Callers[name]
		fmt.Fprintf(output, "%-10s flows opened %d, not opened %d, answers whole %d of %d, broken %d, refused %v, repeated packets %d\n",
			name, report.Opened, report.NotOpened, report.Answered, report.Requests, report.Broken, report.Refused, report.Repeated)
	}
	for _, name := range slices.Sorted(maps.Keys(outcome.Servers)) {
		stats := outcome.Servers[name]
		fmt.Fprintf(output, "%-10s flows accepted %d, requests run %d, run twice %d, wrong service %d, unknown flow %d\n",
			name, stats.Accepted, stats.Executed, stats.ExecutedTwo, stats.WrongService, stats.UnknownFlow)
	}
	for _, name := range slices.Sorted(maps.Keys(outcome.Imbalance)) {
		fmt.Fprintf(output, "%-10s imbalance %.2f (requests per strength, largest over mean, of servers that stay)\n", name, outcome.Imbalance[name])
	}
}

// deployment is the sample that the rehearsal runs.
type deployment struct {
	fleet    *Fleet
	output   io.Writer
	services map[string]netip.AddrPort
	servers  []sampleServer
}

type sampleServer struct {
	name, service, domain string
	strength              float64
	address               netip.AddrPort
	state                 string
}

var domains = []string{"a", "b", "c"}

// Rehearse runs the sample: nine instances in three failure domains and four
// backend servers on two services; in the middle one instance is replaced and
// one backend server drains.
func Rehearse(ctx context.Context, directory, binaries string, duration time.Duration, output io.Writer) (Outcome, error) {
	fleet, cleanup, err := NewFleet(ctx, directory, binaries)
	if err != nil {
		return Outcome{}, err
	}
	defer cleanup()
	deployment := &deployment{
		fleet:  fleet,
		output: output,
		services: map[string]netip.AddrPort{
			"desk-sync":   netip.MustParseAddrPort("10.1.0.1:443"),
			"report-desk": netip.MustParseAddrPort("10.1.0.2:443"),
		},
		servers: []sampleServer{
			{name: "sync-1", service: "desk-sync", domain: "a", strength: 4, state: "active"},
			{name: "sync-2", service: "desk-sync", domain: "b", strength: 2, state: "active"},
			{name: "sync-3", service: "desk-sync", domain: "c", strength: 1, state: "active"},
			{name: "report-1", service: "report-desk", domain: "a", strength: 1, state: "active"},
		},
	}
	if err := deployment.start(ctx); err != nil {
		return Outcome{}, err
	}
	outcome, err := deployment.drive(ctx, duration)
	if err != nil {
		fleet.WriteLogs(output)
	}
	return outcome, err
}

func (deployment *deployment) start(ctx context.Context) error {
	for i := range deployment.servers {
		server := &deployment.servers[i]
		address, err := deployment.fleet.StartBackendServer(server.name, deployment.services[server.service], server.strength)
		if err != nil {
			return err
		}
		server.address = address
	}
	var names []string
	for _, domain := range domains {
		for number := 1; number <= 3; number++ {
			name := fmt.Sprintf("lb-%s%d", domain, number)
			names = append(names, name)
			if err := deployment.fleet.StartInstance(ctx, name, domain); err != nil {
				return err
			}
		}
	}
	if err := deployment.load(); err != nil {
		return err
	}
	if err := deployment.fleet.WaitUntilReady(ctx, names...); err != nil {
		return err
	}
	return deployment.fleet.SetFabricBalancers(names...)
}

// load writes the sheet as the servers are now and loads it.
func (deployment *deployment) load() error {
	var rows []SheetRow
	for _, domain := range domains {
		rows = append(rows, FailureDomainRow(domain))
	}
	for _, name := range slices.Sorted(maps.Keys(deployment.services)) {
		rows = append(rows, ServiceRow(name, deployment.services[name], "tcp", "no"))
	}
	for _, server := range deployment.servers {
		rows = append(rows, BackendServerRow(server.name, server.service, server.address, server.strength, server.domain, server.state))
	}
	file := filepath.Join(deployment.fleet.directory, "sheet.csv")
	if err := WriteSheet(file, rows); err != nil {
		return err
	}
	line, err := deployment.fleet.LoadSheet(file, "rehearsal", 30*time.Second)
	fmt.Fprintln(deployment.output, "sheet load:", line)
	if err != nil {
		return errors.Wrap(err, "load sheet")
	}
	return nil
}

func (deployment *deployment) drive(ctx context.Context, duration time.Duration) (Outcome, error) {
	plans := []CallerOptions{
		{Name: "desks", Source: "198.51.100.1", Service: deployment.services["desk-sync"], Flows: 120, Interval: 400 * time.Millisecond, Duration: duration},
		{Name: "logs", Source: "198.51.100.2", Service: deployment.services["desk-sync"], Flows: 40, Interval: 100 * time.Millisecond, Requests: 5, Duration: duration},
		{Name: "reports", Source: "198.51.100.3", Service: deployment.services["report-desk"], Flows: 30, Interval: 300 * time.Millisecond, Requests: 20, Duration: duration},
	}
	for _, plan := range plans {
		if err := deployment.fleet.StartCaller(plan); err != nil {
			return Outcome{}, err
		}
	}
	if err := deployment.disturb(ctx, duration); err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Callers: map[string]standin.CallerReport{}, Servers: map[string]standin.BackendStats{}}
	for _, plan := range plans {
		report, err := deployment.fleet.WaitForCallerReport(ctx, plan.Name)
		if err != nil {
			return Outcome{}, err
		}
		outcome.Callers[plan.Name] = report
	}
	for _, server := range deployment.servers {
		stats, err := deployment.fleet.BackendServerStats(server.name)
		if err != nil {
			return Outcome{}, err
		}
		outcome.Servers[server.name] = stats
	}
	outcome.Imbalance = deployment.imbalance(outcome)
	return outcome, nil
}

// disturb replaces an instance and drains a backend server.
func (deployment *deployment) disturb(ctx context.Context, duration time.Duration) error {
	time.Sleep(duration / 4)
	fmt.Fprintln(deployment.output, "replacing instance lb-b2 by lb-b4")
	if err := deployment.fleet.StartInstance(ctx, "lb-b4", "b"); err != nil {
		return err
	}
	if err := deployment.fleet.WaitUntilReady(ctx, "lb-b4"); err != nil {
		return err
	}
	remaining := []string{"lb-a1", "lb-a2", "lb-a3", "lb-b1", "lb-b3", "lb-b4", "lb-c1", "lb-c2", "lb-c3"}
	if err := deployment.fleet.SetFabricBalancers(remaining...); err != nil {
		return err
	}
	if err := deployment.fleet.Signal("lb-b2", syscall.SIGTERM); err != nil {
		return err
	}
	if _, err := deployment.fleet.WaitForExit(ctx, "lb-b2"); err != nil {
		return err
	}
	if err := deployment.fleet.UnlistInstance(ctx, "lb-b2"); err != nil {
		return err
	}
	fmt.Fprintln(deployment.output, "draining backend server sync-2")
	for i := range deployment.servers {
		if deployment.servers[i].name == "sync-2" {
			deployment.servers[i].state = "leaving"
		}
	}
	return deployment.load()
}

// imbalance compares the requests that the remaining servers of a service ran with their strengths.
func (deployment *deployment) imbalance(outcome Outcome) map[string]float64 {
	shares := map[string][]float64{}
	for _, server := range deployment.servers {
		if server.state == "active" {
			shares[server.service] = append(shares[server.service], float64(outcome.Servers[server.name].Executed)/server.strength)
		}
	}
	result := map[string]float64{}
	for service, values := range shares {
		sum := 0.0
		for _, value := range values {
			sum += value
		}
		if sum > 0 {
			result[service] = slices.Max(values) / (sum / float64(len(values)))
		}
	}
	return result
}
