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

// Scenario is what happens while the measurement runs.
type Scenario string

// Scenarios that are measured.
const (
	NoChange      Scenario = "no_change"
	DrainServer   Scenario = "drain"
	KillInstance  Scenario = "kill"
	ReplaceThree  Scenario = "replace_3"
	UnevenSheet   Scenario = "uneven_sheet"
	IsolateDomain     Scenario = "cut_30s"
	DrainAndKill  Scenario = "drain_kill"
	FreezeInstance Scenario = "freeze_5s"
	DrainAndReplace  Scenario = "drain_replace"
	DrainAndFreeze   Scenario = "drain_freeze"
	KillAndJoin   Scenario = "kill_join"
	KillTwo       Scenario = "kill_two"
	IsolateAndDrain   Scenario = "cut_drain"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{NoChange, DrainServer, KillInstance, ReplaceThree, UnevenSheet, IsolateDomain, DrainAndKill, FreezeInstance}
}

// CombinedScenarios lists the scenarios in which two faults or changes meet.
func CombinedScenarios() []Scenario {
	return []Scenario{DrainAndKill, DrainAndReplace, DrainAndFreeze, KillAndJoin, KillTwo, IsolateAndDrain}
}

// Deployment gives the size of a run.
type Deployment struct {
	Name        string
	FlowsPerServer int // open flows for each backend server of mean strength
	ServersPerService     [2]int
	WarmupTime      time.Duration
	MeasureTime     time.Duration
	MaxTraces      int // broken flows to explain
}

// Teranga and Saltfish are today's deployments of the users.
var (
	Teranga  = Deployment{Name: "teranga", FlowsPerServer: 2000, ServersPerService: [2]int{15, 4}, WarmupTime: 120 * time.Second, MeasureTime: 60 * time.Second}
	Saltfish = Deployment{Name: "saltfish", FlowsPerServer: 2000, ServersPerService: [2]int{15, 4}, WarmupTime: 120 * time.Second, MeasureTime: 60 * time.Second}
)

const (
	instancesPerDomain = 3
	utilization        = 0.6 // of all slots
	meanThink          = 5 * time.Second
)

var domains = []string{"a", "b", "c"}

// Run measures one method in one scenario.
func Run(deployment Deployment, method Method, scenario Scenario, seed uint64) *Result {
	world := newWorld(deployment, method, seed)
	world.traces = deployment.MaxTraces
	world.result.Scenario, world.result.Seed, world.result.Deployment = scenario, seed, deployment.Name
	world.runUntil(deployment.WarmupTime)
	world.startMeasuring()
	world.begin(scenario)
	world.runUntil(deployment.WarmupTime + deployment.MeasureTime)
	world.finish(deployment)
	return world.result
}

func newWorld(deployment Deployment, method Method, seed uint64) *Simulation {
	world := &Simulation{
		random:    rand.New(rand.NewPCG(seed, 0)),
		method:    method,
		byName:    map[string]*instance{},
		byTunnel:  map[netip.AddrPort]*instance{},
		byAddress: map[netip.AddrPort]*backend{},
		flows:     map[framer.Tuple]*flow{},
		cut:       map[string]bool{},
		result:    &Result{Method: method, BrokenByCause: map[string]int{}, ControlBytesByKind: map[string]int{}, waits: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)},
	}
	world.addServices(deployment)
	for _, domain := range domains {
		for number := range instancesPerDomain {
			world.addInstance(fmt.Sprintf("%s%d", domain, number+1), domain).sprayed = true
		}
	}
	world.list()
	world.loadSheet(func(int) time.Duration { return 0 })
	world.after(4*time.Second, world.openAll)
	world.after(time.Second, world.everySecond)
	return world
}

func (simulation *Simulation) addServices(deployment Deployment) {
	names := [2]string{"desk-sync", "report-desk"}
	means := [2]time.Duration{40 * time.Second, 20 * time.Second}
	for i, name := range names {
		service := &service{
			spec: parser.Service{
				Name: name, Protocol: parser.TCP,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, 0, byte(i + 1)}), 443),
			},
			flows: deployment.FlowsPerServer * deployment.ServersPerService[i],
			mean:  means[i],
			think: meanThink,
		}
		simulation.services = append(simulation.services, service)
		simulation.addBackends(service, deployment.ServersPerService[i])
		capacity := 0.0
		for _, backend := range service.backends {
			capacity += 3 * backend.strength
		}
		requests := float64(service.flows) / service.think.Seconds()
		service.work = utilization * capacity / requests
	}
}

// addBackends spreads strengths from 1 to 8 and makes the sheet's weights wrong by up to a factor of two.
func (simulation *Simulation) addBackends(service *service, count int) {
	for number := range count {
		strength := math.Pow(8, float64(number)/float64(count-1))
		wrong := math.Pow(2, 2*simulation.random.Float64()-1)
		added := &backend{
			service:  service,
			strength: strength,
			row: parser.BackendServer{
				Name:          fmt.Sprintf("%s-%d", service.spec.Name, number+1),
				Address:       addressOf(len(simulation.backends) + 1),
				Weight:        strength * wrong,
				FailureDomain: domains[number%len(domains)],
				State:         parser.Active,
				Connections:   8 * service.flows / count,
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
		panic(err) // the sheet is made here
	}
	return content
}

// openAll opens the flows of every service over ten seconds.
func (simulation *Simulation) openAll() {
	for _, service := range simulation.services {
		for range service.flows {
			simulation.after(time.Duration(simulation.random.Int64N(int64(10*time.Second))), func() { simulation.openFlow(service) })
		}
	}
}

func (simulation *Simulation) startMeasuring() {
	simulation.measuring = true
	for _, instance := range simulation.instances {
		instance.sent = 0
	}
	simulation.result.before = simulation.counters()
}

// begin sets off what the scenario is about.
func (simulation *Simulation) begin(scenario Scenario) {
	soon := func(int) time.Duration { return time.Duration(simulation.random.Int64N(int64(time.Second))) }
	switch scenario {
	case DrainServer:
		simulation.drain(soon)
	case KillInstance:
		simulation.kill(simulation.instances[4])
	case ReplaceThree:
		for i := range 3 {
			simulation.after(time.Duration(10*i)*time.Second, func() { simulation.replaceInstance(i * instancesPerDomain) })
		}
	case UnevenSheet:
		simulation.drain(func(number int) time.Duration { return time.Duration(number) * 5 * time.Second / 8 })
	case IsolateDomain:
		simulation.cutOff(30 * time.Second)
	case IsolateAndDrain:
		simulation.cutOff(10 * time.Second)
		simulation.after(3*time.Second, func() { simulation.drain(soon) })
	case DrainAndReplace:
		simulation.drain(soon)
		simulation.replaceInstance(0)
	case DrainAndFreeze:
		simulation.drain(soon)
		simulation.freeze(simulation.instances[4], 4*time.Second)
	case KillAndJoin:
		simulation.kill(simulation.instances[4])
		simulation.replaceInstance(0)
	case KillTwo:
		simulation.kill(simulation.instances[1])
		simulation.kill(simulation.instances[4])
	case DrainAndKill:
		simulation.drain(soon)
		simulation.after(700*time.Millisecond, func() { simulation.kill(simulation.instances[4]) })
	case FreezeInstance:
		simulation.freeze(simulation.instances[4], 5*time.Second)
	}
}

// cutOff separates one failure domain from the others for a time.
func (simulation *Simulation) cutOff(duration time.Duration) {
	simulation.cut["c"] = true
	simulation.after(duration, func() { simulation.cut["c"] = false })
}

func (simulation *Simulation) freeze(frozen *instance, duration time.Duration) {
	frozen.frozen = true
	simulation.after(duration, func() { simulation.wake(frozen) })
}

// drain loads a sheet in which one backend server of middling strength leaves.
func (simulation *Simulation) drain(delay func(int) time.Duration) {
	simulation.leaving().row.State = parser.Leaving
	simulation.loadSheet(delay)
}

func (simulation *Simulation) leaving() *backend {
	return simulation.services[0].backends[len(simulation.services[0].backends)/2]
}

func (simulation *Simulation) kill(instance *instance) {
	instance.alive, instance.sprayed = false, false
	simulation.list()
}

// stop lets an instance that has left say so and end.
func (simulation *Simulation) stop(instance *instance) {
	if talker, ok := instance.node.(talker); ok {
		talker.Close(simulation.clock())
		simulation.carryMessages(instance)
	}
	simulation.kill(instance)
}

// wake delivers what a frozen instance has missed; its clock has gone on.
func (simulation *Simulation) wake(instance *instance) {
	instance.frozen = false
	held := instance.held
	instance.held = nil
	for _, arrival := range held {
		arrival()
	}
}

// replaceInstance starts an instance beside an old one, and stops the old one once the new one decides.
func (simulation *Simulation) replaceInstance(number int) {
	old := simulation.instances[number]
	added := simulation.addInstance(old.Name+"x", old.FailureDomain)
	added.node.ApplySheet(simulation.clock(), simulation.newest, simulation.sheets[len(simulation.sheets)-1])
	simulation.list()
	simulation.after(6*time.Second, func() {
		added.sprayed, old.sprayed = true, false
		if talker, ok := old.node.(talker); ok {
			talker.Leave(simulation.clock())
			simulation.carryMessages(old)
		}
		simulation.after(3*time.Second, func() { simulation.stop(old) })
	})
}
