package sizer

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Target is the size that the users expect in two years.
var Target = FleetSize{
	Instances: 3100, FailureDomains: 8, Services: 12_000, Servers: 17_000,
	OpenFlows: 25e6, NewFlowsPerSecond: 340_000, ChangesPerDay: 8700, RestartsPerDay: 4700,
}

// FleetSize is the size of a fleet.
type FleetSize struct {
	Instances      float64
	FailureDomains float64
	Services       float64
	Servers        float64
	OpenFlows          float64 // open
	NewFlowsPerSecond       float64 // a second
	ChangesPerDay    float64
	RestartsPerDay   float64
}

// Budgets of the control work of one instance.
const (
	budgetBytes  = 5000     // a second
	budgetMemory = 32 << 20 // bytes
	budgetCore   = 0.011    // share of a core
)

// Assumptions about traffic that no slope gives.
const (
	packetsOfFlow  = 20   // on its way through balancers
	movedByChange  = 0.04 // share of a service's flows that a change of one of its rows moves
	secondsOfDay   = 86_400
	listPollPeriod = 30.0 // seconds between readings of the list of instances by one that does not lead
	platformReads  = 2000 // calls a second that the platform answers
	platformWrites = 300  // writes a second that the platform answers
	pinBytes       = 12
	cacheSeconds   = 60 // that a flow which was only met is kept
)

// line is one row of the table.
type line struct {
	role, what, value, budget, mechanism string
}

// Tables returns the tables of docs/CAPACITY.md for the content of a slopes file.
func Tables(content []byte) (string, error) {
	var slopes Slopes
	if err := json.Unmarshal(content, &slopes); err != nil {
		return "", fmt.Errorf("decode slopes: %w", err)
	}
	lines, err := aimLines(slopes, Target)
	if err != nil {
		return "", err
	}
	return slopeTable(slopes) + "\n" + aimTable(lines), nil
}

func slopeTable(slopes Slopes) string {
	var table strings.Builder
	table.WriteString("| slope | of | points (size: value) | intercept | gradient, per | stretched to the aim |\n|---|---|---|---|---|---|\n")
	sizes := map[string]float64{
		"instances": Target.Instances, "flows": Target.flowEntries(), "backend servers": Target.Servers,
		"backend servers of the service": 240,
	}
	for _, slope := range slopes.Slopes {
		var points []string
		for _, point := range slope.Points {
			points = append(points, fmt.Sprintf("%g: %s", point.Size, number(point.Value)))
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s, %s | %.1f times |\n", slope.Name, slope.Quantity, strings.Join(points, ", "),
			number(slope.Intercept), number(slope.Gradient), slope.GrowsWith, slope.ExtrapolationFactor(sizes[slope.GrowsWith]))
	}
	return table.String()
}

func aimTable(lines []line) string {
	var table strings.Builder
	table.WriteString("| role | what | at the aim | budget | mechanism |\n|---|---|---|---|---|\n")
	for _, line := range lines {
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s |\n", line.role, line.what, line.value, line.budget, line.mechanism)
	}
	return table.String()
}

// number writes a figure with three significant digits and a unit prefix.
func number(value float64) string {
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

// flowEntries is the number of flows that one instance remembers.
func (fleetSize FleetSize) flowEntries() float64 {
	open := fleetSize.OpenFlows * packetsOfFlow / fleetSize.Instances
	met := fleetSize.NewFlowsPerSecond * packetsOfFlow / fleetSize.Instances * cacheSeconds
	return open + met
}

// finder looks slopes up and keeps the first error.
type finder struct {
	slopes Slopes
	err    error
}

func (finder *finder) at(name string, size float64) float64 {
	slope, err := finder.slopes.Find(name)
	if err != nil && finder.err == nil {
		finder.err = err
	}
	return slope.ValueAt(size)
}

// gradient is the slope's growth alone, for what comes on top of a process that runs anyway.
func (finder *finder) gradient(name string) float64 {
	slope, err := finder.slopes.Find(name)
	if err != nil && finder.err == nil {
		finder.err = err
	}
	return slope.Gradient
}

func aimLines(slopes Slopes, sizes FleetSize) ([]line, error) {
	finder := &finder{slopes: slopes}
	lines := append(receiverLines(finder, sizes), homeLines(finder, sizes)...)
	lines = append(lines, relayLines(finder, sizes)...)
	lines = append(lines, platformLines(finder, sizes)...)
	return lines, finder.err
}

func receiverLines(finder *finder, sizes FleetSize) []line {
	packets := sizes.NewFlowsPerSecond * packetsOfFlow / sizes.Instances
	known := finder.at("known", sizes.flowEntries())
	flows := finder.gradient("flow_state") * sizes.flowEntries()
	return []line{
		{"receiver", "packets decided a second", number(packets), "", "forwarder, built"},
		{"receiver", "processor time of packets of known flows, share of a core", fmt.Sprintf("%.4f", known*packets/1e9), "not control", "flow table, built"},
		{"receiver", "flows remembered", number(sizes.flowEntries()), "", "home, replica and a minute of others, built"},
		{"receiver", "memory for flows, bytes", number(flows), number(budgetMemory) + " with all below", "flow table, built"},
		{"receiver", "memory for services and backend servers, bytes", number(finder.gradient("server_state") * sizes.Servers), "", "every instance holds the whole sheet, built; sheet shards by manifest, design only"},
		{"receiver", "resident memory of an idle process in a fleet of 24, bytes", number(finder.at("resident", 24)), number(budgetMemory), "built; the program itself takes most of it"},
		{"receiver", "memory for other instances, bytes", number(finder.gradient("peer_state") * sizes.Instances), "", "every instance knows every other, built; a tree of views, design only"},
	}
}

func homeLines(finder *finder, sizes FleetSize) []line {
	openings := sizes.NewFlowsPerSecond / sizes.Instances
	opening := finder.at("open", sizes.Instances)
	perService := sizes.OpenFlows / sizes.Services
	pins := perService * movedByChange * pinBytes * (sizes.Instances - 1) / sizes.Instances * sizes.ChangesPerDay / secondsOfDay
	worst := perService * movedByChange * pinBytes * (sizes.Instances - 1) / 13
	return []line{
		{"home", "openings decided a second", number(openings), "", "rendezvous over all instances, built"},
		{"home", "nanoseconds for one opening", number(opening), "", "grows with the fleet; a table of 65,537 slots over instances, design only"},
		{"home", "processor time of openings, share of a core", fmt.Sprintf("%.4f", opening*openings/1e9), fmt.Sprint(budgetCore), "as above"},
		{"home", "bytes a second of pins, mean over the day", number(pins), number(budgetBytes), "pins broadcast to all, built; budget in the code 2,000"},
		{"home", "bytes a second, if one home sent all pins of a change within 13 s", number(worst), number(budgetBytes), "breaks the budget: exceptions only to replicas, and ambiguous flows asked of the home (built for moves above the budget)"},
	}
}

func relayLines(finder *finder, sizes FleetSize) []line {
	idle := finder.at("idle_bytes", sizes.Instances)
	share := finder.at("idle_cpu", sizes.Instances) / 1e9
	change := finder.at("change_bytes", sizes.Instances) * sizes.ChangesPerDay / secondsOfDay
	join := finder.at("join_bytes", sizes.Instances) * sizes.RestartsPerDay / secondsOfDay / sizes.Instances
	const fanOut = 16
	tree := finder.at("idle_bytes", fanOut+1)
	return []line{
		{"relay of versions", "bytes a second of heartbeats, each instance to each", number(idle), number(budgetBytes), "built; breaks the budget above the fleet size in the text"},
		{"relay of versions", "fleet size at which heartbeats alone reach the budget", number((budgetBytes - finder.at("idle_bytes", 0)) / finder.gradient("idle_bytes")), "", "as above"},
		{"relay of versions", "bytes a second on the wire, measured on processes", number(finder.at("wire_bytes", sizes.Instances)), number(budgetBytes), "as above"},
		{"relay of versions", "processor time of heartbeats, share of a core", fmt.Sprintf("%.4f", share), fmt.Sprint(budgetCore), "as above"},
		{"relay of versions", fmt.Sprintf("bytes a second in a tree of fan-out %d", fanOut), number(tree), number(budgetBytes), "design only: heartbeats to parent and children, views as versions"},
		{"relay of versions", "bytes a second for changes of the sheet", number(change), "in the above", "every instance tells every other each step, built; acknowledgements added up along the tree, design only"},
		{"relay of versions", "bytes a second for planned stops, without flows", number(finder.at("leave_bytes", sizes.Instances) * sizes.RestartsPerDay / secondsOfDay / sizes.Instances), "in the above", "hand-over to new homes, built"},
		{"relay of versions", "bytes a second for restarts, without pins", number(join), "in the above", "hand-over by every instance, built; by the parent alone, design only"},
	}
}

func platformLines(finder *finder, sizes FleetSize) []line {
	domains := sizes.FailureDomains
	polls := (sizes.Instances - domains) / listPollPeriod
	hourOfChanges := sizes.ChangesPerDay / 24
	return []line{
		{"lease holder", "waiting watches", number(2 * domains), number(platformReads), "first live instance of a failure domain, built (no lease needed: two are harmless)"},
		{"lease holder", "status writes a second when every change is reported", number(domains * sizes.ChangesPerDay / secondsOfDay), number(platformWrites), "one object a failure domain, built"},
		{"platform object", "calls a second of an idle fleet, by the slope of processes", number(finder.at("platform_calls", sizes.Instances)), number(platformReads), "watches and polls together, built"},
		{"platform object", "readings of the list of instances a second", number(polls), number(platformReads), "every instance that does not lead, each half minute, built"},
		{"platform object", "bytes of the sheet", number(sizes.Servers*170 + sizes.Services*110), number(1 << 20), "one object, built; breaks the limit: manifest and shards, design only"},
		{"platform object", "a failure domain back whole: calls in the first second", number(3 * sizes.Instances / domains), number(platformReads), "three reads at a start, built; spread only by process start"},
		{"platform object", "whole fleet replaced within an hour: calls a second", number(3 * sizes.Instances / 3600), number(platformReads), "as above"},
		{"operator command", "changes waiting after an outage of an hour", number(hourOfChanges), "", "each loads by a conditional write, one wins, the others load again; at 10 ms a write " + fmt.Sprintf("%.0f s", hourOfChanges*0.01*2)},
		{"operator command", "reads a second of one waiting load", number((1 + domains) / 0.3), number(platformReads), "list and status objects every 0.3 s, built; watches, design only"},
	}
}
