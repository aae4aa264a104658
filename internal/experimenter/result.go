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

// Result holds the measurements of one run. Broken flows, their causes and traces, and packets
// to a wrong service are counted from the start of the run, all else during the measurement.
type Result struct {
	Deployment               string
	Method                   Method
	Scenario                 Scenario
	Seed                     uint64
	Flows                    int               // established
	Broken                   int               // established flows that were refused, lost a packet or reached a wrong backend server
	BrokenByCause            map[string]int    // broken flows by cause
	WrongService             int               // packets delivered to a server of another service
	OfferedTwice             int               // openings that reached two backend servers
	Refused                  int               // packets that an instance refused
	RefusedAfterOffer        int               // refusals of flows whose opening had reached a backend server
	Imbalance                float64           // in the worst ten seconds, see worstImbalance
	QueueWaitP99             time.Duration     // 99th percentile of the time that requests waited for a slot
	RelaysPerPacket          float64           // relays between instances for each packet from a caller or backend server
	ControlBytesPerSecond    float64           // mean over the instances
	MaxControlBytesPerSecond float64           // of the instance that sent the most
	PeakControlBytes         int               // most bytes that one instance sent in one second
	LastNewFlowDelay         time.Duration     // from loading the sheet to the last new flow at the leaving server
	InForceDelay             time.Duration     // from loading the sheet until it was in force on all live instances that were not frozen; 0 if it never was
	Counters                 map[string]uint64 // of the product, summed over the instances
	ControlBytesByKind       map[string]int    // bytes of control traffic by kind of message
	WeightLines              []string          // each backend server's weight and load relative to its speed
	Traces                   []string          // what each instance knew of the first broken flows, up to MaxTraces

	queueWaits      *hdrhistogram.Histogram
	countersAtStart map[string]uint64 // counters at the start of the measurement
}

// imbalanceWindow is the number of one-second samples over which open flows are averaged.
const imbalanceWindow = 10

func (result *Result) countFlow(measuring bool) {
	if measuring {
		result.Flows++
	}
}

func (simulation *Simulation) computeResult(deployment Deployment) {
	result := simulation.result
	relays, packets, controlBytes, maxControlBytes, aliveInstances := 0, 0, 0, 0, 0
	result.Counters = simulation.counters()
	for name, value := range result.countersAtStart {
		result.Counters[name] -= value
	}
	for _, instance := range simulation.instances {
		relays += instance.relays
		packets += instance.packets
		controlBytes += instance.controlBytes
		maxControlBytes = max(maxControlBytes, instance.controlBytes)
		result.PeakControlBytes = max(result.PeakControlBytes, instance.peakSecondBytes)
		if instance.alive {
			aliveInstances++
		}
	}
	simulation.recordWeights()
	result.RelaysPerPacket = float64(relays) / float64(max(1, packets-relays))
	result.ControlBytesPerSecond = float64(controlBytes) / float64(aliveInstances) / deployment.MeasureTime.Seconds()
	result.MaxControlBytesPerSecond = float64(maxControlBytes) / deployment.MeasureTime.Seconds()
	result.QueueWaitP99 = time.Duration(result.queueWaits.ValueAtQuantile(99)) * time.Microsecond
	result.Imbalance = simulation.worstImbalance(int(deployment.MeasureTime.Seconds()))
	if simulation.newestVersion > 1 {
		result.LastNewFlowDelay = max(0, simulation.drainedServer().lastNewFlow-simulation.loadedAt)
		if simulation.inForceAt > 0 {
			result.InForceDelay = simulation.inForceAt - simulation.loadedAt
		}
	}
}

// counters sums the product's counters over all instances.
func (simulation *Simulation) counters() map[string]uint64 {
	sum := map[string]uint64{}
	for _, instance := range simulation.instances {
		if peer, ok := instance.balancer.(peerBalancer); ok {
			for name, value := range peer.Counters() {
				sum[name] += value
			}
		}
	}
	return sum
}

// recordWeights records how the product's weights compare with the true speeds of the
// backend servers, as seen by the first live instance.
func (simulation *Simulation) recordWeights() {
	for _, instance := range simulation.instances {
		product, ok := instance.balancer.(*decider.Decider)
		if !ok || !instance.alive {
			continue
		}
		for _, service := range simulation.services {
			weights := product.Weights(service.spec.Name)
			total, slotSpeeds := 0.0, 0.0
			for _, backend := range service.backends {
				total += weights[backend.row.Name]
				slotSpeeds += backend.slotSpeed
			}
			for _, backend := range service.backends {
				simulation.result.WeightLines = append(simulation.result.WeightLines, fmt.Sprintf("%s strength %.2f sheet %.2f weight/strength %.2f open/strength %.2f",
					backend.row.Name, backend.slotSpeed, backend.row.Weight/backend.slotSpeed, weights[backend.row.Name]/total*slotSpeeds/backend.slotSpeed, float64(backend.openFlows)/backend.slotSpeed))
			}
		}
		return
	}
}

// worstImbalance returns the largest ratio, over all windows of the measurement, between the
// highest and the mean load of a service's active backend servers. The load of a server is
// its mean number of open flows divided by its true speed.
func (simulation *Simulation) worstImbalance(seconds int) float64 {
	worst := 0.0
	for _, service := range simulation.services {
		var samples [][]int
		var slotSpeeds []float64
		for _, backend := range service.backends {
			if backend.row.State == parser.Active {
				samples = append(samples, backend.openFlowSamples[len(backend.openFlowSamples)-seconds:])
				slotSpeeds = append(slotSpeeds, backend.slotSpeed)
			}
		}
		for start := 0; start+imbalanceWindow <= seconds; start += imbalanceWindow {
			worst = max(worst, windowImbalance(samples, slotSpeeds, start))
		}
	}
	return worst
}

// windowImbalance returns the ratio between the highest and the mean load in the window that
// begins at sample number start.
func windowImbalance(samples [][]int, slotSpeeds []float64, start int) float64 {
	largest, sum := 0.0, 0.0
	for i := range samples {
		open := 0
		for _, sample := range samples[i][start : start+imbalanceWindow] {
			open += sample
		}
		load := float64(open) / imbalanceWindow / slotSpeeds[i]
		largest = max(largest, load)
		sum += load
	}
	return largest / (sum / float64(len(samples)))
}

// PrintTable writes the results as a table, one row each.
func PrintTable(output io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "deployment\tscenario\tmethod\tseed\tflows\tbroken\twrong service\toffered twice\trefused\trefused after offer\timbalance\twait p99 ms\trelay %\tcontrol B/s\tworst B/s\tpeak B/s\tlast new s\tin force s\tcauses\t")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.1f\t%.0f\t%.0f\t%d\t%.1f\t%.1f\t%s\t\n",
			result.Deployment, result.Scenario, result.Method, result.Seed, result.Flows, result.Broken, result.WrongService, result.OfferedTwice,
			result.Refused, result.RefusedAfterOffer, result.Imbalance, result.QueueWaitP99.Seconds()*1000, result.RelaysPerPacket*100,
			result.ControlBytesPerSecond, result.MaxControlBytesPerSecond, result.PeakControlBytes, result.LastNewFlowDelay.Seconds(), result.InForceDelay.Seconds(), result.formatCauses())
	}
	return table.Flush()
}

func (result *Result) formatCauses() string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(result.BrokenByCause)) {
		parts = append(parts, fmt.Sprintf("%s: %d", cause, result.BrokenByCause[cause]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
