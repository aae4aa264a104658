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

// Outcome holds what the callers and backend servers of a rehearsal counted, by their names.
type Outcome struct {
	Callers   map[string]standin.CallerReport
	Servers   map[string]standin.BackendStats
	Imbalance map[string]float64 // by service: largest ratio of executed requests to server speed, divided by the mean ratio
}

// Passed reports whether every flow opened, every request was answered and executed once, and
// no packet reached a backend server of another service or one that did not know its flow.
func (outcome Outcome) Passed() bool {
	for _, report := range outcome.Callers {
		if report.Broken > 0 || report.WrongAnswers > 0 || report.Answered != report.Requests || report.NotOpened > 0 {
			return false
		}
	}
	for _, stats := range outcome.Servers {
		if stats.WrongService > 0 || stats.ExecutedTwice > 0 || stats.UnknownFlow > 0 {
			return false
		}
	}
	return len(outcome.Callers) > 0
}

// Print writes the outcome as text, one line for each caller, backend server and service.
func (outcome Outcome) Print(output io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(outcome.Callers)) {
		report := outcome.Callers[name]
		fmt.Fprintf(output, "%-10s flows opened %d, not opened %d, requests answered %d of %d, broken %d, refused %v, repeated packets %d\n",
			name, report.Opened, report.NotOpened, report.Answered, report.Requests, report.Broken, report.RefusalsByReason, report.Retransmissions)
	}
	for _, name := range slices.Sorted(maps.Keys(outcome.Servers)) {
		stats := outcome.Servers[name]
		fmt.Fprintf(output, "%-10s flows accepted %d, requests executed %d, executed twice %d, wrong service %d, unknown flow %d\n",
			name, stats.Accepted, stats.Executed, stats.ExecutedTwice, stats.WrongService, stats.UnknownFlow)
	}
	for _, name := range slices.Sorted(maps.Keys(outcome.Imbalance)) {
		fmt.Fprintf(output, "%-10s imbalance %.2f (largest over mean of requests per server speed, without the drained server)\n", name, outcome.Imbalance[name])
	}
}

// deployment is the sample deployment that Rehearse runs. The addresses in services are by
// service name.
type deployment struct {
	fleet    *Fleet
	output   io.Writer
	services map[string]netip.AddrPort
	servers  []backendServer
}

// backendServer is a backend server of the deployment; the sheet gives its speed as its weight.
type backendServer struct {
	name, service, failureDomain string
	speed                        float64
	address                      netip.AddrPort
	state                        string
}

var failureDomains = []string{"a", "b", "c"}

// Rehearse starts a deployment of nine instances in three failure domains and of four backend
// servers for two services. Callers send requests for the duration, during which one instance
// is replaced and one backend server drained. Files are written to directory, the executables
// are read from binaries, and progress is written to output; after an error, so are the logs of
// the instances.
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
		servers: []backendServer{
			{name: "sync-1", service: "desk-sync", failureDomain: "a", speed: 4, state: "active"},
			{name: "sync-2", service: "desk-sync", failureDomain: "b", speed: 2, state: "active"},
			{name: "sync-3", service: "desk-sync", failureDomain: "c", speed: 1, state: "active"},
			{name: "report-1", service: "report-desk", failureDomain: "a", speed: 1, state: "active"},
		},
	}
	if err := deployment.start(ctx); err != nil {
		return Outcome{}, err
	}
	outcome, err := deployment.runTraffic(ctx, duration)
	if err != nil {
		fleet.WriteLogs(output)
	}
	return outcome, err
}

// start starts the backend servers and the instances, loads the sheet and sends the fabric's
// packets to the instances once they are ready.
func (deployment *deployment) start(ctx context.Context) error {
	for i := range deployment.servers {
		server := &deployment.servers[i]
		address, err := deployment.fleet.StartBackendServer(server.name, deployment.services[server.service], server.speed)
		if err != nil {
			return err
		}
		server.address = address
	}
	var names []string
	for _, domain := range failureDomains {
		for number := 1; number <= 3; number++ {
			name := fmt.Sprintf("lb-%s%d", domain, number)
			names = append(names, name)
			if err := deployment.fleet.StartInstance(ctx, name, domain); err != nil {
				return err
			}
		}
	}
	if err := deployment.loadSheet(); err != nil {
		return err
	}
	if err := deployment.fleet.WaitUntilReady(ctx, names...); err != nil {
		return err
	}
	return deployment.fleet.SetFabricBalancers(names...)
}

// loadSheet writes a sheet with the current states of the backend servers and loads it.
func (deployment *deployment) loadSheet() error {
	var rows []SheetRow
	for _, domain := range failureDomains {
		rows = append(rows, FailureDomainRow(domain))
	}
	for _, name := range slices.Sorted(maps.Keys(deployment.services)) {
		rows = append(rows, ServiceRow(name, deployment.services[name], "tcp", "no"))
	}
	for _, server := range deployment.servers {
		rows = append(rows, BackendServerRow(server.name, server.service, server.address, server.speed, server.failureDomain, server.state))
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

// runTraffic runs the callers while replaceAndDrain changes the deployment, and collects the
// outcome.
func (deployment *deployment) runTraffic(ctx context.Context, duration time.Duration) (Outcome, error) {
	callers := []CallerOptions{
		{Name: "desks", Source: "198.51.100.1", Service: deployment.services["desk-sync"], Flows: 120, Interval: 400 * time.Millisecond, Duration: duration},
		{Name: "logs", Source: "198.51.100.2", Service: deployment.services["desk-sync"], Flows: 40, Interval: 100 * time.Millisecond, Requests: 5, Duration: duration},
		{Name: "reports", Source: "198.51.100.3", Service: deployment.services["report-desk"], Flows: 30, Interval: 300 * time.Millisecond, Requests: 20, Duration: duration},
	}
	for _, caller := range callers {
		if err := deployment.fleet.StartCaller(caller); err != nil {
			return Outcome{}, err
		}
	}
	if err := deployment.replaceAndDrain(ctx, duration); err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Callers: map[string]standin.CallerReport{}, Servers: map[string]standin.BackendStats{}}
	for _, caller := range callers {
		report, err := deployment.fleet.WaitForCallerReport(ctx, caller.Name)
		if err != nil {
			return Outcome{}, err
		}
		outcome.Callers[caller.Name] = report
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

// replaceAndDrain replaces an instance and drains a backend server.
func (deployment *deployment) replaceAndDrain(ctx context.Context, duration time.Duration) error {
	time.Sleep(duration / 4)
	fmt.Fprintln(deployment.output, "replacing instance lb-b2 with lb-b4")
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
	return deployment.loadSheet()
}

// imbalance returns, by service, the largest ratio of executed requests to speed of an active
// backend server, divided by the mean ratio of the service.
func (deployment *deployment) imbalance(outcome Outcome) map[string]float64 {
	requestsPerSpeed := map[string][]float64{}
	for _, server := range deployment.servers {
		if server.state == "active" {
			requestsPerSpeed[server.service] = append(requestsPerSpeed[server.service], float64(outcome.Servers[server.name].Executed)/server.speed)
		}
	}
	result := map[string]float64{}
	for service, values := range requestsPerSpeed {
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
