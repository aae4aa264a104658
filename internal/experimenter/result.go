package experimenter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/parser"
)

// Result is what one run measured.
type Result struct {
	Deployment        string
	Method            Method
	Scenario          Scenario
	Seed              uint64
	Flows             int            // established in the measured time
	Broken            int            // flows
	BrokenByCause               map[string]int // broken flows by cause
	WrongService      int            // packets
	OfferedTwice      int            // openings that reached two backend servers
	Refused           int
	RefusedAfterOffer int
	Imbalance         float64 // worst ten seconds
	QueueWaitP99           time.Duration
	RelaysPerPacket        float64
	ControlBytesPerSecond       float64 // bytes a second and instance
	MaxControlBytesPerSecond      float64 // the same of the instance that sent most
	PeakControlBytes       int     // bytes in the worst second of any instance
	LastNewFlowDelay           time.Duration
	InForceDelay           time.Duration
	Counters          map[string]uint64 // of the product, added up
	ControlBytesByKind             map[string]int    // bytes of control by kind of message
	WeightLines           []string          // of the backend servers against their strengths
	Traces            []string          // of the first broken flows

	waits  *hdrhistogram.Histogram
	before map[string]uint64 // counters when the measurement began
}

// imbalanceWindow is the time over which open flows are averaged.
const imbalanceWindow = 10 // seconds

func (result *Result) countFlow(measuring bool) {
	if measuring {
		result.Flows++
	}
}

func (simulation *Simulation) finish(deployment Deployment) {
	result := simulation.result
	relays, packets, sent, worst, counted := 0, 0, 0, 0, 0
	result.Counters = simulation.counters()
	for name, value := range result.before {
		result.Counters[name] -= value
	}
	for _, instance := range simulation.instances {
		relays += instance.relays
		packets += instance.packets
		sent += instance.sent
		worst = max(worst, instance.sent)
		result.PeakControlBytes = max(result.PeakControlBytes, instance.peak)
		if instance.alive {
			counted++
		}
	}
	simulation.noteWeights()
	result.RelaysPerPacket = float64(relays) / float64(max(1, packets-relays))
	result.ControlBytesPerSecond = float64(sent) / float64(counted) / deployment.MeasureTime.Seconds()
	result.MaxControlBytesPerSecond = float64(worst) / deployment.MeasureTime.Seconds()
	result.QueueWaitP99 = time.Duration(result.waits.ValueAtQuantile(99)) * time.Microsecond
	result.Imbalance = simulation.imbalance(int(deployment.MeasureTime.Seconds()))
	if simulation.newest > 1 {
		result.LastNewFlowDelay = max(0, simulation.leaving().lastNew-simulation.loaded)
		if simulation.inForce > 0 {
			result.InForceDelay = simulation.inForce - simulation.loaded
		}
	}
}

// counters adds up the product's counters over all instances.
func (simulation *Simulation) counters() map[string]uint64 {
	sum := map[string]uint64{}
	for _, instance := range simulation.instances {
		if talker, ok := instance.node.(talker); ok {
			for name, value := range talker.Counters() {
				sum[name] += value
			}
		}
	}
	return sum
}

// noteWeights compares the product's weights with the true strengths.
func (simulation *Simulation) noteWeights() {
	for _, instance := range simulation.instances {
		product, ok := instance.node.(*decider.Decider)
		if !ok || !instance.alive {
			continue
		}
		for _, service := range simulation.services {
			weights := product.Weights(service.spec.Name)
			total, strengths := 0.0, 0.0
			for _, backend := range service.backends {
				total += weights[backend.row.Name]
				strengths += backend.strength
			}
			for _, backend := range service.backends {
				simulation.result.WeightLines = append(simulation.result.WeightLines, fmt.Sprintf("%s strength %.2f sheet %.2f weight/strength %.2f open/strength %.2f",
					backend.row.Name, backend.strength, backend.row.Weight/backend.strength, weights[backend.row.Name]/total*strengths/backend.strength, float64(backend.open)/backend.strength))
			}
		}
		return
	}
}

// imbalance is the largest open work over true strength, divided by the mean, in
// the worst window of the measured time, over the backend servers that stay.
func (simulation *Simulation) imbalance(seconds int) float64 {
	worst := 0.0
	for _, service := range simulation.services {
		var samples [][]int
		var strengths []float64
		for _, backend := range service.backends {
			if backend.row.State == parser.Active {
				samples = append(samples, backend.samples[len(backend.samples)-seconds:])
				strengths = append(strengths, backend.strength)
			}
		}
		for start := 0; start+imbalanceWindow <= seconds; start += imbalanceWindow {
			worst = max(worst, windowImbalance(samples, strengths, start))
		}
	}
	return worst
}

func windowImbalance(samples [][]int, strengths []float64, start int) float64 {
	largest, sum := 0.0, 0.0
	for i := range samples {
		open := 0
		for _, sample := range samples[i][start : start+imbalanceWindow] {
			open += sample
		}
		load := float64(open) / imbalanceWindow / strengths[i]
		largest = max(largest, load)
		sum += load
	}
	return largest / (sum / float64(len(samples)))
}

// PrintTable writes results as a table.
func PrintTable(output io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "deployment\tscenario\tmethod\tseed\tflows\tbroken\twrong service\toffered twice\trefused\trefused after offer\timbalance\twait p99 ms\trelay %\tcontrol B/s\tworst B/s\tpeak B/s\tlast new s\tin force s\tcauses\t")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.1f\t%.0f\t%.0f\t%d\t%.1f\t%.1f\t%s\t\n",
			result.Deployment, result.Scenario, result.Method, result.Seed, result.Flows, result.Broken, result.WrongService, result.OfferedTwice,
			result.Refused, result.RefusedAfterOffer, result.Imbalance, result.QueueWaitP99.Seconds()*1000, result.RelaysPerPacket*100,
			result.ControlBytesPerSecond, result.MaxControlBytesPerSecond, result.PeakControlBytes, result.LastNewFlowDelay.Seconds(), result.InForceDelay.Seconds(), result.causes())
	}
	return table.Flush()
}

func (result *Result) causes() string {
	var parts []string
	for _, why := range slices.Sorted(maps.Keys(result.BrokenByCause)) {
		parts = append(parts, fmt.Sprintf("%s: %d", why, result.BrokenByCause[why]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
