package sizer

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Target is the fleet size that the users expect in two years.
var Target = FleetSize{
	Instances: 3100, FailureDomains: 8, Services: 12_000, Servers: 17_000,
	OpenFlows: 25e6, NewFlowsPerSecond: 340_000, ChangesPerDay: 8700, RestartsPerDay: 4700,
}

// FleetSize holds the size of a fleet and of its traffic.
type FleetSize struct {
	Instances         float64
	FailureDomains    float64
	Services          float64
	Servers           float64
	OpenFlows         float64
	NewFlowsPerSecond float64
	ChangesPerDay     float64
	RestartsPerDay    float64
}

// Budgets of one instance for control work.
const (
	budgetBytesPerSecond = 5000
	budgetMemoryBytes    = 32 << 20
	budgetCoreShare      = 0.011 // of one core
)

// Assumptions that no slope gives.
const (
	packetsPerFlow          = 20   // each may go through another instance
	movedFlowShare          = 0.04 // share of a service's flows that get another server when one of its rows changes
	secondsPerDay           = 86_400
	listPollSeconds         = 30.0 // between reads of the list of instances by an instance that is not the reader
	platformReadsPerSecond  = 2000 // that the platform can answer
	platformWritesPerSecond = 300  // that the platform can answer
	pinBytes                = 12   // of one pin in a message
	transitFlowSeconds      = 60   // that an instance keeps a flow of which it only forwarded packets
)

// row is one row of the target table.
type row struct {
	role, quantity, value, budget, mechanism string
}

// Tables returns the tables of docs/CAPACITY.md for the content of a slopes file.
func Tables(content []byte) (string, error) {
	var slopes Slopes
	if err := json.Unmarshal(content, &slopes); err != nil {
		return "", fmt.Errorf("decode slopes: %w", err)
	}
	rows, err := targetRows(slopes, Target)
	if err != nil {
		return "", err
	}
	return slopeTable(slopes) + "\n" + targetTable(rows), nil
}

func slopeTable(slopes Slopes) string {
	var table strings.Builder
	table.WriteString("| slope | of | points (size: value) | intercept | gradient, per | stretched to the aim |\n|---|---|---|---|---|---|\n")
	targetSizes := map[string]float64{
		"instances": Target.Instances, "flows": Target.flowEntries(), "backend servers": Target.Servers,
		"backend servers of the service": 240,
	}
	for _, slope := range slopes.Slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %s", point.Size, formatNumber(point.Value)))
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s, %s | %.1f times |\n", slope.Name, slope.Quantity, strings.Join(points, ", "),
			formatNumber(slope.Intercept), formatNumber(slope.Gradient), slope.GrowsWith, slope.ExtrapolationFactor(targetSizes[slope.GrowsWith]))
	}
	return table.String()
}

func targetTable(rows []row) string {
	var table strings.Builder
	table.WriteString("| role | what | at the aim | budget | mechanism |\n|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s |\n", row.role, row.quantity, row.value, row.budget, row.mechanism)
	}
	return table.String()
}

// formatNumber formats a number with three significant digits and a unit prefix.
func formatNumber(value float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e9, " G"}, {1e6, " M"}, {1e3, " k"}} {
		if value >= unit.size || value <= -unit.size {
			return fmt.Sprintf("%.3g%s", value/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%.3g", value)
}

// flowEntries returns the number of flows in the flow table of one instance.
func (fleetSize FleetSize) flowEntries() float64 {
	open := fleetSize.OpenFlows * packetsPerFlow / fleetSize.Instances
	transit := fleetSize.NewFlowsPerSecond * packetsPerFlow / fleetSize.Instances * transitFlowSeconds
	return open + transit
}

// slopeLookup looks up slopes by name and keeps the first error.
type slopeLookup struct {
	slopes Slopes
	err    error
}

func (slopeLookup *slopeLookup) valueAt(name string, size float64) float64 {
	slope, err := slopeLookup.slopes.Find(name)
	if err != nil && slopeLookup.err == nil {
		slopeLookup.err = err
	}
	return slope.ValueAt(size)
}

// gradient returns the gradient of a slope, for quantities that add to a process that runs anyway,
// so that its intercept is left out.
func (slopeLookup *slopeLookup) gradient(name string) float64 {
	slope, err := slopeLookup.slopes.Find(name)
	if err != nil && slopeLookup.err == nil {
		slopeLookup.err = err
	}
	return slope.Gradient
}

func targetRows(slopes Slopes, fleetSize FleetSize) ([]row, error) {
	slopeLookup := &slopeLookup{slopes: slopes}
	rows := append(receiverRows(slopeLookup, fleetSize), homeRows(slopeLookup, fleetSize)...)
	rows = append(rows, relayRows(slopeLookup, fleetSize)...)
	rows = append(rows, platformRows(slopeLookup, fleetSize)...)
	return rows, slopeLookup.err
}

func receiverRows(slopeLookup *slopeLookup, fleetSize FleetSize) []row {
	packetsPerSecond := fleetSize.NewFlowsPerSecond * packetsPerFlow / fleetSize.Instances
	nanosecondsPerPacket := slopeLookup.valueAt("known", fleetSize.flowEntries())
	flowBytes := slopeLookup.gradient("flow_state") * fleetSize.flowEntries()
	return []row{
		{"receiver", "packets decided a second", formatNumber(packetsPerSecond), "", "forwarder, built"},
		{"receiver", "processor time of packets of known flows, share of a core", fmt.Sprintf("%.4f", nanosecondsPerPacket*packetsPerSecond/1e9), "not control", "flow table, built"},
		{"receiver", "flows remembered", formatNumber(fleetSize.flowEntries()), "", "home, replica and a minute of others, built"},
		{"receiver", "memory for flows, bytes", formatNumber(flowBytes), formatNumber(budgetMemoryBytes) + " with all below", "flow table, built"},
		{"receiver", "memory for services and backend servers, bytes", formatNumber(slopeLookup.gradient("server_state") * fleetSize.Servers), "", "every instance holds the whole sheet, built; sheet shards by manifest, design only"},
		{"receiver", "resident memory of an idle process in a fleet of 24, bytes", formatNumber(slopeLookup.valueAt("resident", 24)), formatNumber(budgetMemoryBytes), "built; the program itself takes most of it"},
		{"receiver", "memory for other instances, bytes", formatNumber(slopeLookup.gradient("peer_state") * fleetSize.Instances), "", "every instance knows every other, built; a tree of views, design only"},
	}
}

func homeRows(slopeLookup *slopeLookup, fleetSize FleetSize) []row {
	openingsPerSecond := fleetSize.NewFlowsPerSecond / fleetSize.Instances
	nanosecondsPerOpening := slopeLookup.valueAt("open", fleetSize.Instances)
	flowsPerService := fleetSize.OpenFlows / fleetSize.Services
	pinBytesPerSecond := flowsPerService * movedFlowShare * pinBytes * (fleetSize.Instances - 1) / fleetSize.Instances * fleetSize.ChangesPerDay / secondsPerDay
	worstPinBytesPerSecond := flowsPerService * movedFlowShare * pinBytes * (fleetSize.Instances - 1) / 13
	return []row{
		{"home", "openings decided a second", formatNumber(openingsPerSecond), "", "rendezvous over all instances, built"},
		{"home", "nanoseconds for one opening", formatNumber(nanosecondsPerOpening), "", "grows with the fleet; a table of 65,537 slots over instances, design only"},
		{"home", "processor time of openings, share of a core", fmt.Sprintf("%.4f", nanosecondsPerOpening*openingsPerSecond/1e9), fmt.Sprint(budgetCoreShare), "as above"},
		{"home", "bytes a second of pins, mean over the day", formatNumber(pinBytesPerSecond), formatNumber(budgetBytesPerSecond), "pins broadcast to all, built; budget in the code 2,000"},
		{"home", "bytes a second, if one home sent all pins of a change within 13 s", formatNumber(worstPinBytesPerSecond), formatNumber(budgetBytesPerSecond), "breaks the budget: exceptions only to replicas, and ambiguous flows asked of the home (built for moves above the budget)"},
	}
}

func relayRows(slopeLookup *slopeLookup, fleetSize FleetSize) []row {
	idleBytesPerSecond := slopeLookup.valueAt("idle_bytes", fleetSize.Instances)
	coreShare := slopeLookup.valueAt("idle_cpu", fleetSize.Instances) / 1e9
	changeBytesPerSecond := slopeLookup.valueAt("change_bytes", fleetSize.Instances) * fleetSize.ChangesPerDay / secondsPerDay
	joinBytesPerSecond := slopeLookup.valueAt("join_bytes", fleetSize.Instances) * fleetSize.RestartsPerDay / secondsPerDay / fleetSize.Instances
	const fanOut = 16
	treeBytesPerSecond := slopeLookup.valueAt("idle_bytes", fanOut+1)
	return []row{
		{"relay of versions", "bytes a second of heartbeats, each instance to each", formatNumber(idleBytesPerSecond), formatNumber(budgetBytesPerSecond), "built; breaks the budget above the fleet size in the text"},
		{"relay of versions", "fleet size at which heartbeats alone reach the budget", formatNumber((budgetBytesPerSecond - slopeLookup.valueAt("idle_bytes", 0)) / slopeLookup.gradient("idle_bytes")), "", "as above"},
		{"relay of versions", "bytes a second on the wire, measured on processes", formatNumber(slopeLookup.valueAt("wire_bytes", fleetSize.Instances)), formatNumber(budgetBytesPerSecond), "as above"},
		{"relay of versions", "processor time of heartbeats, share of a core", fmt.Sprintf("%.4f", coreShare), fmt.Sprint(budgetCoreShare), "as above"},
		{"relay of versions", fmt.Sprintf("bytes a second in a tree of fan-out %d", fanOut), formatNumber(treeBytesPerSecond), formatNumber(budgetBytesPerSecond), "design only: heartbeats to parent and children, views as versions"},
		{"relay of versions", "bytes a second for changes of the sheet", formatNumber(changeBytesPerSecond), "in the above", "every instance tells every other each step, built; acknowledgements added up along the tree, design only"},
		{"relay of versions", "bytes a second for planned stops, without flows", formatNumber(slopeLookup.valueAt("leave_bytes", fleetSize.Instances) * fleetSize.RestartsPerDay / secondsPerDay / fleetSize.Instances), "in the above", "hand-over to new homes, built"},
		{"relay of versions", "bytes a second for restarts, without pins", formatNumber(joinBytesPerSecond), "in the above", "hand-over by every instance, built; by the parent alone, design only"},
	}
}

func platformRows(slopeLookup *slopeLookup, fleetSize FleetSize) []row {
	domains := fleetSize.FailureDomains
	listReadsPerSecond := (fleetSize.Instances - domains) / listPollSeconds
	changesPerHour := fleetSize.ChangesPerDay / 24
	return []row{
		{"lease holder", "waiting watches", formatNumber(2 * domains), formatNumber(platformReadsPerSecond), "first live instance of a failure domain, built (no lease needed: two are harmless)"},
		{"lease holder", "status writes a second when every change is reported", formatNumber(domains * fleetSize.ChangesPerDay / secondsPerDay), formatNumber(platformWritesPerSecond), "one object a failure domain, built"},
		{"platform object", "calls a second of an idle fleet, by the slope of processes", formatNumber(slopeLookup.valueAt("platform_calls", fleetSize.Instances)), formatNumber(platformReadsPerSecond), "watches and polls together, built"},
		{"platform object", "readings of the list of instances a second", formatNumber(listReadsPerSecond), formatNumber(platformReadsPerSecond), "every instance that does not lead, each half minute, built"},
		{"platform object", "bytes of the sheet", formatNumber(fleetSize.Servers*170 + fleetSize.Services*110), formatNumber(1 << 20), "one object, built; breaks the limit: manifest and shards, design only"},
		{"platform object", "a failure domain back whole: calls in the first second", formatNumber(3 * fleetSize.Instances / domains), formatNumber(platformReadsPerSecond), "three reads at a start, built; spread only by process start"},
		{"platform object", "whole fleet replaced within an hour: calls a second", formatNumber(3 * fleetSize.Instances / 3600), formatNumber(platformReadsPerSecond), "as above"},
		{"operator command", "changes waiting after an outage of an hour", formatNumber(changesPerHour), "", "each loads by a conditional write, one wins, the others load again; at 10 ms a write " + fmt.Sprintf("%.0f s", changesPerHour*0.01*2)},
		{"operator command", "reads a second of one waiting load", formatNumber((1 + domains) / 0.3), formatNumber(platformReadsPerSecond), "list and status objects every 0.3 s, built; watches, design only"},
	}
}
