package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Figures of the small deployment tpl-trials.
const (
	heartbeat   = 1200 * time.Millisecond
	drainBound  = 3 * time.Second
	applyBound  = 3 * time.Second
	slots       = 3
	reports     = 4
	deskSync    = "desk-sync"
	reportDesk  = "report-desk"
	desks       = 6 // callers
	metricsPort = 9180
)

var (
	zones             = []string{"dakar-plateau", "dakar-almadies", "dakar-pikine"}
	instancesPerZone  = []int{3, 2, 2}
	schedule          = netip.MustParseAddrPort("127.65.0.1:8443")
	postureLog        = netip.MustParseAddrPort("127.65.0.1:8080")
	weeklyReport      = netip.MustParseAddrPort("127.65.0.2:8443")
	addedRoute        = netip.MustParseAddrPort("127.65.0.3:8443") // only in later versions
	errPortsNotFree   = errors.New("no port is free on all addresses")
	errInstanceFailed = errors.New("an instance ended by itself")
)

// instance is a process of the load balancer.
type instance struct {
	name, zone     string
	address        netip.Addr
	packets, ready netip.AddrPort
	control        netip.AddrPort
	peerPort       uint16
	store          netip.AddrPort
	seeds          []netip.AddrPort
	command        *exec.Cmd
	ended          chan struct{}
}

// settings returns what the template deploy/settings.json yields for the instance.
func (instance *instance) settings() map[string]any {
	return map[string]any{
		"instance": instance.name, "failure_domain": instance.zone, "address": instance.address,
		"packet_address": instance.packets, "ready_address": instance.ready, "control_address": instance.control,
		"peer_ports": []uint16{instance.peerPort, instance.peerPort + 15}, "seeds": instance.seeds,
		"processor_share": 0.088, "store_address": instance.store, "metrics_port": metricsPort,
		"stop_timeout": "6s", "drain_timeout": "3000ms", "apply_timeout": "3000ms",
		"prefer_own_domain": true, "reset_silent": true,
		"admission": map[string]any{"enabled": true, "max_shed_share": 0.2},
		"log":       map[string]any{"format": "json", "verbosity": 1},
	}
}

// shape is what differs between the deployments of the cases.
type shape struct {
	deskServers int
	work        time.Duration // of a request at them
	isOneZone   bool          // they are all in the first zone
	spares      int           // machines added to each zone
}

var usualShape = shape{deskServers: 14, work: 46 * time.Millisecond}

// deployment is a running deployment with its stand-ins.
type deployment struct {
	record    *record
	store     *store
	address   netip.AddrPort // of the store
	instances []*instance
	hosts     []*host
	callers   []*caller
	router    *router
	done      chan struct{}
	shape     shape
	frozen    netip.Addr // of the instance that a case freezes

	mutex      sync.Mutex
	runs       []requestRun
	violations []string
	requests   int
	answered   int
}

// loopback returns an address of a block of the loopback network.
func loopback(block, third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(block), byte(third), byte(fourth)})
}

// freeBlock returns a block in which the metrics port is free on the instances' addresses.
func freeBlock(spares int) (int, error) {
	for range 50 {
		block := 66 + rand.IntN(150)
		if isFree(instanceAddresses(block, spares), metricsPort, 1) {
			return block, nil
		}
	}
	return 0, errPortsNotFree
}

func instanceAddresses(block, spares int) []netip.Addr {
	var addresses []netip.Addr
	for zone := range zones {
		for i := range instancesPerZone[zone] + spares {
			addresses = append(addresses, loopback(block, zone+1, i+10))
		}
	}
	return addresses
}

// freePort returns a port, the first of count, that is free on all addresses.
func freePort(addresses []netip.Addr, count int) (uint16, error) {
	for range 200 {
		port := uint16(10_000 + rand.IntN(20_000))
		if isFree(addresses, port, count) {
			return port, nil
		}
	}
	return 0, errPortsNotFree
}

func isFree(addresses []netip.Addr, port uint16, count int) bool {
	for _, address := range addresses {
		for offset := range count {
			at := netip.AddrPortFrom(address, port+uint16(offset))
			datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
			if err != nil {
				return false
			}
			datagrams.Close()
			stream, err := net.Listen("tcp4", at.String())
			if err != nil {
				return false
			}
			stream.Close()
		}
	}
	return true
}

// plan lays out the addresses and ports.
func (deployment *deployment) plan() error {
	block, err := freeBlock(deployment.shape.spares)
	if err != nil {
		return err
	}
	instanceAddresses := instanceAddresses(block, deployment.shape.spares)
	var callerAddresses, hostAddresses []netip.Addr
	for i := range desks {
		callerAddresses = append(callerAddresses, loopback(block, i%len(zones)+1, i+50))
	}
	deskServers := deployment.shape.deskServers
	for i := range deskServers + reports {
		hostAddresses = append(hostAddresses, loopback(block, i%len(zones)+1, i+100))
	}
	packetPort, err := freePort(append(append([]netip.Addr{}, instanceAddresses...), callerAddresses...), 1)
	if err != nil {
		return err
	}
	base, err := freePort(instanceAddresses, 20)
	if err != nil {
		return err
	}
	hostPort, err := freePort(hostAddresses, 1)
	if err != nil {
		return err
	}
	storeAddress := loopback(block, 0, 7)
	storePort, err := freePort([]netip.Addr{storeAddress}, 1)
	if err != nil {
		return err
	}
	deployment.address = netip.AddrPortFrom(storeAddress, storePort)
	zoneOf := map[netip.Addr]string{}
	next := 0
	for zone, count := range instancesPerZone {
		for i := range count + deployment.shape.spares {
			address := instanceAddresses[next]
			next++
			deployment.instances = append(deployment.instances, &instance{
				name: fmt.Sprintf("front-%s-%d", zones[zone], i+1), zone: zones[zone], address: address,
				packets: netip.AddrPortFrom(address, packetPort), ready: netip.AddrPortFrom(address, base),
				control: netip.AddrPortFrom(address, base+1), peerPort: base + 2, store: deployment.address,
			})
		}
	}
	var seeds []netip.AddrPort
	for _, zone := range zones {
		for _, instance := range deployment.instances {
			if instance.zone == zone {
				seeds = append(seeds, instance.control)
				break
			}
		}
	}
	for _, instance := range deployment.instances {
		instance.seeds = seeds
	}
	for i, address := range hostAddresses {
		service, work, zone := deskSync, deployment.shape.work, zones[i%len(zones)]
		if i >= deskServers {
			service, work = reportDesk, 5*time.Millisecond
		} else if deployment.shape.isOneZone {
			zone = zones[0]
		}
		id := rand.Uint32() | 1<<31
		deployment.hosts = append(deployment.hosts, &host{
			service: service, zone: zone, name: fmt.Sprintf("i-%08x", id), id: uint64(id),
			address: netip.AddrPortFrom(address, hostPort), callerPort: packetPort, slots: make(chan struct{}, slots),
			work: work, store: deployment.store, onRun: deployment.noteRun,
		})
	}
	for i, address := range callerAddresses {
		zoneOf[address] = zones[i%len(zones)]
	}
	deployment.router = newRouter(zoneOf, deployment.instances)
	for _, address := range callerAddresses {
		caller, err := newCaller(netip.AddrPortFrom(address, packetPort), deployment.router, deployment.record)
		if err != nil {
			return err
		}
		deployment.callers = append(deployment.callers, caller)
	}
	return nil
}

// configuration returns a version of the operator's configuration, with routes besides the usual ones.
func configuration(version int, added ...string) string {
	route := func(name string, address netip.AddrPort, kind string, timeout, objective, priority int, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","type":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":%d,"service":%q,"max_attempts":2}`,
			name, address.Addr(), address.Port(), kind, timeout, objective, priority, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}`, name)
	}
	routes := []string{
		route("r-sched", schedule, "safe", 2000, 200, 2, deskSync),
		route("r-log", postureLog, "unsafe", 2500, 250, 1, deskSync),
		route("r-report", weeklyReport, "download", 5000, 500, 2, reportDesk),
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(append(routes, added...), ","), service(deskSync), service(reportDesk))
}

// allowed is the service that the configuration names for each route.
var allowed = map[netip.AddrPort]string{schedule: deskSync, postureLog: deskSync, weeklyReport: reportDesk, addedRoute: deskSync}

// start starts all parts, and returns when all instances are ready.
func (deployment *deployment) start(folder string) error {
	if err := deployment.plan(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", deployment.address.String())
	if err != nil {
		return err
	}
	go http.Serve(listener, deployment.store)
	deployment.store.put("config", "main", configuration(7))
	for _, host := range deployment.hosts {
		if err := host.start(); err != nil {
			return err
		}
		deployment.record.line("server %s service=%s address=%s zone=%s", host.name, host.service, host.address, host.zone)
	}
	for _, instance := range deployment.instances {
		if err := instance.start(folder); err != nil {
			return err
		}
		deployment.record.line("instance %s process=%d packets=%s", instance.name, instance.command.Process.Pid, instance.packets)
	}
	deployment.router.probe(deployment.done)
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if deployment.router.allReady() {
			return nil
		}
	}
	return errors.New("not all instances became ready within 10 s")
}

// stop ends all processes.
func (deployment *deployment) stop() {
	close(deployment.done)
	for _, instance := range deployment.instances {
		instance.stop()
	}
	for _, host := range deployment.hosts {
		if host.connection != nil {
			host.stop()
		}
	}
}

// noteRun records a run and checks that a configuration allows it.
func (deployment *deployment) noteRun(run requestRun) {
	deployment.record.line("run request=%s server=%s service=%s route=%s", run.requestID, run.host.name, run.host.service, run.route)
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.runs = append(deployment.runs, run)
	if run.host.service != allowed[run.route] {
		deployment.violations = append(deployment.violations, fmt.Sprintf("ROUTE: request %s of route %s was run by %s of service %s; only %s is allowed", run.requestID, run.route, run.host.name, run.host.service, allowed[run.route]))
	}
}

// violate notes that a rule was broken.
func (deployment *deployment) violate(violation string) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.violations = append(deployment.violations, violation)
}

// load sends requests of all kinds for a time.
func (deployment *deployment) load(duration time.Duration) {
	kinds := []requestKind{
		{name: "sched-fetch", route: schedule, service: deskSync, method: "GET", deadline: 2 * time.Second, isSafe: true, maxRetries: 2},
		{name: "posture-log", route: postureLog, service: deskSync, method: "POST", deadline: 2500 * time.Millisecond, maxRetries: 2},
		{name: "weekly-report", route: weeklyReport, service: reportDesk, method: "GET", deadline: 5 * time.Second, isSafe: true, maxRetries: 2},
	}
	mix := []int{0, 0, 0, 0, 0, 0, 0, 1, 1, 2}
	var work sync.WaitGroup
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end); number++ {
		caller := deployment.callers[number%len(deployment.callers)]
		kind := &kinds[mix[rand.IntN(len(mix))]]
		work.Go(func() {
			outcome := caller.request(kind, fmt.Sprintf("q%d", number))
			deployment.count(outcome)
		})
		time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
	}
	work.Wait()
}

// checkProcesses returns an error if an instance has ended by itself.
func (deployment *deployment) checkProcesses() error {
	for _, instance := range deployment.instances {
		if instance.hasEnded() {
			return errors.Wrap(errInstanceFailed, instance.name)
		}
	}
	return nil
}
