package experimenter

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// Scenario names the faults or changes that occur during the measurement.
type Scenario string

// Scenarios that can be measured.
const (
	NoChange        Scenario = "no_change"
	DrainServer     Scenario = "drain"        // a sheet in which one backend server is leaving
	KillInstance    Scenario = "kill"         // an instance ends without a graceful stop
	ReplaceThree    Scenario = "replace_3"    // three instances are replaced, one every ten seconds
	UnevenSheet     Scenario = "uneven_sheet" // as drain, but the instances receive the sheet over five seconds
	IsolateDomain   Scenario = "cut_30s"      // a failure domain is partitioned from the others
	DrainAndKill    Scenario = "drain_kill"
	FreezeInstance  Scenario = "freeze_5s" // an instance pauses and resumes
	DrainAndReplace Scenario = "drain_replace"
	DrainAndFreeze  Scenario = "drain_freeze"
	KillAndJoin     Scenario = "kill_join"
	KillTwo         Scenario = "kill_two"
	IsolateAndDrain Scenario = "cut_drain" // the sheet is loaded during a partition of ten seconds
)

// Scenarios returns the scenarios that are measured by default.
func Scenarios() []Scenario {
	return []Scenario{NoChange, DrainServer, KillInstance, ReplaceThree, UnevenSheet, IsolateDomain, DrainAndKill, FreezeInstance}
}

// CombinedScenarios returns the scenarios in which two faults or changes coincide.
func CombinedScenarios() []Scenario {
	return []Scenario{DrainAndKill, DrainAndReplace, DrainAndFreeze, KillAndJoin, KillTwo, IsolateAndDrain}
}

// Deployment sets the size and the duration of a run.
type Deployment struct {
	Name              string
	FlowsPerServer    int    // mean number of open flows per backend server
	ServersPerService [2]int // backend servers of each of the two services
	WarmupTime        time.Duration
	MeasureTime       time.Duration
	MaxTraces         int // broken flows for which a trace is recorded
}

// Teranga and Saltfish are the users' current deployments.
var (
	Teranga  = Deployment{Name: "teranga", FlowsPerServer: 2000, ServersPerService: [2]int{15, 4}, WarmupTime: 120 * time.Second, MeasureTime: 60 * time.Second}
	Saltfish = Deployment{Name: "saltfish", FlowsPerServer: 2000, ServersPerService: [2]int{15, 4}, WarmupTime: 120 * time.Second, MeasureTime: 60 * time.Second}
)

const (
	instancesPerDomain = 3
	utilization        = 0.6 // mean share of busy slots
	meanThinkTime      = 5 * time.Second
)

var domains = []string{"a", "b", "c"}

// Run simulates one method in one scenario and returns its measurements.
func Run(deployment Deployment, method Method, scenario Scenario, seed uint64) *Result {
	simulation := newSimulation(deployment, method, seed)
	simulation.tracesLeft = deployment.MaxTraces
	simulation.result.Scenario, simulation.result.Seed, simulation.result.Deployment = scenario, seed, deployment.Name
	simulation.runUntil(deployment.WarmupTime)
	simulation.startMeasuring()
	simulation.startScenario(scenario)
	simulation.runUntil(deployment.WarmupTime + deployment.MeasureTime)
	simulation.computeResult(deployment)
	return simulation.result
}

func newSimulation(deployment Deployment, method Method, seed uint64) *Simulation {
	simulation := &Simulation{
		random:    rand.New(rand.NewPCG(seed, 0)),
		method:    method,
		byName:    map[string]*instance{},
		byTunnel:  map[netip.AddrPort]*instance{},
		byAddress: map[netip.AddrPort]*backend{},
		flows:     map[framer.Tuple]*flow{},
		isolated:  map[string]bool{},
		result:    &Result{Method: method, BrokenByCause: map[string]int{}, ControlBytesByKind: map[string]int{}, queueWaits: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)},
	}
	simulation.addServices(deployment)
	for _, domain := range domains {
		for number := range instancesPerDomain {
			simulation.addInstance(fmt.Sprintf("%s%d", domain, number+1), domain).receivesTraffic = true
		}
	}
	simulation.updateInstanceLists()
	simulation.loadSheet(func(int) time.Duration { return 0 })
	simulation.schedule(4*time.Second, simulation.openAllFlows)
	simulation.schedule(time.Second, simulation.sampleEverySecond)
	return simulation
}

func (simulation *Simulation) addServices(deployment Deployment) {
	names := [2]string{"desk-sync", "report-desk"}
	meanLifetimes := [2]time.Duration{40 * time.Second, 20 * time.Second}
	for i, name := range names {
		service := &service{
			spec: parser.Service{
				Name: name, Protocol: parser.TCP,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, 0, byte(i + 1)}), 443),
			},
			targetFlows:   deployment.FlowsPerServer * deployment.ServersPerService[i],
			meanLifetime:  meanLifetimes[i],
			meanThinkTime: meanThinkTime,
		}
		simulation.services = append(simulation.services, service)
		simulation.addBackends(service, deployment.ServersPerService[i])
		capacity := 0.0
		for _, backend := range service.backends {
			capacity += 3 * backend.slotSpeed
		}
		requests := float64(service.targetFlows) / service.meanThinkTime.Seconds()
		service.meanRequestWork = utilization * capacity / requests
	}
}

// addBackends adds backend servers with slot speeds from 1 to 8. Their weights in the sheet
// deviate from the speeds by a random factor of up to two.
func (simulation *Simulation) addBackends(service *service, count int) {
	for number := range count {
		slotSpeed := math.Pow(8, float64(number)/float64(count-1))
		weightError := math.Pow(2, 2*simulation.random.Float64()-1)
		added := &backend{
			service:   service,
			slotSpeed: slotSpeed,
			row: parser.BackendServer{
				Name:          fmt.Sprintf("%s-%d", service.spec.Name, number+1),
				Address:       backendAddress(len(simulation.backends) + 1),
				Weight:        slotSpeed * weightError,
				FailureDomain: domains[number%len(domains)],
				State:         parser.Active,
				Connections:   8 * service.targetFlows / count,
			},
		}
		service.backends = append(service.backends, added)
		simulation.backends = append(simulation.backends, added)
		simulation.byAddress[added.row.Address] = added
	}
}

func (simulation *Simulation) sheetContent() []byte {
	sheet := parser.Sheet{FailureDomains: domains}
	for _, service := range simulation.services {
		spec := service.spec
		for _, backend := range service.backends {
			spec.BackendServers = append(spec.BackendServers, backend.row)
		}
		sheet.Services = append(sheet.Services, spec)
	}
	content, err := json.Marshal(sheet)
	if err != nil {
		panic(err) // the sheet is built here and can always be encoded
	}
	return content
}

// openAllFlows opens the flows of every service at random times within ten seconds.
func (simulation *Simulation) openAllFlows() {
	for _, service := range simulation.services {
		for range service.targetFlows {
			simulation.schedule(time.Duration(simulation.random.Int64N(int64(10*time.Second))), func() { simulation.openFlow(service) })
		}
	}
}

func (simulation *Simulation) startMeasuring() {
	simulation.measuring = true
	for _, instance := range simulation.instances {
		instance.controlBytes = 0
	}
	simulation.result.countersAtStart = simulation.counters()
}

// startScenario triggers or schedules the faults and changes of the scenario.
func (simulation *Simulation) startScenario(scenario Scenario) {
	randomDelay := func(int) time.Duration { return time.Duration(simulation.random.Int64N(int64(time.Second))) }
	switch scenario {
	case DrainServer:
		simulation.drainServer(randomDelay)
	case KillInstance:
		simulation.killInstance(simulation.instances[4])
	case ReplaceThree:
		for i := range 3 {
			simulation.schedule(time.Duration(10*i)*time.Second, func() { simulation.replaceInstance(i * instancesPerDomain) })
		}
	case UnevenSheet:
		simulation.drainServer(func(number int) time.Duration { return time.Duration(number) * 5 * time.Second / 8 })
	case IsolateDomain:
		simulation.isolateDomain(30 * time.Second)
	case IsolateAndDrain:
		simulation.isolateDomain(10 * time.Second)
		simulation.schedule(3*time.Second, func() { simulation.drainServer(randomDelay) })
	case DrainAndReplace:
		simulation.drainServer(randomDelay)
		simulation.replaceInstance(0)
	case DrainAndFreeze:
		simulation.drainServer(randomDelay)
		simulation.freezeInstance(simulation.instances[4], 4*time.Second)
	case KillAndJoin:
		simulation.killInstance(simulation.instances[4])
		simulation.replaceInstance(0)
	case KillTwo:
		simulation.killInstance(simulation.instances[1])
		simulation.killInstance(simulation.instances[4])
	case DrainAndKill:
		simulation.drainServer(randomDelay)
		simulation.schedule(700*time.Millisecond, func() { simulation.killInstance(simulation.instances[4]) })
	case FreezeInstance:
		simulation.freezeInstance(simulation.instances[4], 5*time.Second)
	}
}

// isolateDomain partitions failure domain c from the others for the duration.
func (simulation *Simulation) isolateDomain(duration time.Duration) {
	simulation.isolated["c"] = true
	simulation.schedule(duration, func() { simulation.isolated["c"] = false })
}

func (simulation *Simulation) freezeInstance(frozen *instance, duration time.Duration) {
	frozen.frozen = true
	simulation.schedule(duration, func() { simulation.resumeInstance(frozen) })
}

// drainServer loads a sheet in which one backend server of medium speed is leaving.
func (simulation *Simulation) drainServer(delay func(int) time.Duration) {
	simulation.drainedServer().row.State = parser.Leaving
	simulation.loadSheet(delay)
}

// drainedServer returns the backend server that drainServer drains.
func (simulation *Simulation) drainedServer() *backend {
	return simulation.services[0].backends[len(simulation.services[0].backends)/2]
}

func (simulation *Simulation) killInstance(instance *instance) {
	instance.alive, instance.receivesTraffic = false, false
	simulation.updateInstanceLists()
}

// stopInstance ends an instance that has handed its flows over and announces the stop to the
// other instances.
func (simulation *Simulation) stopInstance(instance *instance) {
	if peer, ok := instance.balancer.(peerBalancer); ok {
		peer.Close(simulation.clock())
		simulation.sendMessages(instance)
	}
	simulation.killInstance(instance)
}

// resumeInstance ends a freeze and delivers what arrived in the meantime; the instance's clock
// did not stop.
func (simulation *Simulation) resumeInstance(instance *instance) {
	instance.frozen = false
	deferred := instance.deferred
	instance.deferred = nil
	for _, arrival := range deferred {
		arrival()
	}
}

// replaceInstance starts a new instance beside an old one. After six seconds, when the new one
// decides about packets, it moves the traffic over and stops the old one gracefully.
func (simulation *Simulation) replaceInstance(number int) {
	old := simulation.instances[number]
	added := simulation.addInstance(old.Name+"x", old.FailureDomain)
	added.balancer.ApplySheet(simulation.clock(), simulation.newestVersion, simulation.sheets[len(simulation.sheets)-1])
	simulation.updateInstanceLists()
	simulation.schedule(6*time.Second, func() {
		added.receivesTraffic, old.receivesTraffic = true, false
		if peer, ok := old.balancer.(peerBalancer); ok {
			peer.Leave(simulation.clock())
			simulation.sendMessages(old)
		}
		simulation.schedule(3*time.Second, func() { simulation.stopInstance(old) })
	})
}
