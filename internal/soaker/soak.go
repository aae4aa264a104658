package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/platform/standin"
	"github.com/pimentowind/pimentowind/viewer"
)

// Bounds of the users' pages.
const (
	drainLimit    = 3 * time.Second
	applyLimit    = 3 * time.Second
	stableTime    = 4 * time.Second  // without faults before a bound holds
	recoveryLimit = 12 * time.Second // until a quarter is served again
	slack         = 500 * time.Millisecond
)

// domains is the number of failure domains.
const domains = 3

// Services and the addresses of their routes; the last route comes and goes.
var (
	mainRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	reportRoute = netip.MustParseAddrPort("198.18.0.2:443")
	extraRoute  = netip.MustParseAddrPort("198.18.0.3:443")
	allowed     = map[netip.AddrPort]string{mainRoute: "desk-sync", reportRoute: "report-desk", extraRoute: "desk-sync"}
)

// Settings of a soak.
type Settings struct {
	Seed       uint64
	Duration   time.Duration // of the faults; the start and the recovery come on top
	Instances  int           // in three failure domains
	Callers    int
	FaultKinds      int  // of faults to draw from, the first ones; 0 for all
	CheckTimeLimits bool // whether bounds in time are checked, and not only what must never happen
	Binary     string
	Directory  string
}

// Report is what a soak saw.
type Report struct {
	Seed       uint64
	Served     int
	Refused    int
	Failed     int
	Timeline   []string // the faults
	Violations []string
}

// forwarder takes callers' packets into the system.
type forwarder interface {
	forward(content []byte, key [2]netip.AddrPort)
}

// soak is one running soak.
type soak struct {
	settings   Settings
	packetPort uint16
	store      *standin.Store
	router     forwarder
	routers    *router
	instances  []*instance
	callers    []*caller
	startedAt  time.Time
	random     *rand.Rand

	mutex     sync.Mutex
	servers   map[string]*server
	runs      map[string]string // server by request
	report    Report
	troubled  int       // faults under way
	calmAt    time.Time // when the last one ended
	extraGone time.Time // when the extra route was last taken away; zero while it is there
	version   uint64
	number    uint64 // of the last server
}

// Run runs one soak until its duration or ctx ends.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	soak := newSoak(settings)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := soak.build(ctx); err != nil {
		return nil, err
	}
	defer soak.close()
	if err := soak.awaitServing(ctx, time.Minute); err != nil {
		return nil, err
	}
	var work sync.WaitGroup
	calls, stopCalls := context.WithCancel(ctx)
	for i, caller := range soak.callers {
		random := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		work.Go(func() { soak.load(calls, caller, random) })
	}
	work.Go(func() { soak.watchVersions(calls) })
	soak.inject(ctx)
	err := soak.recover(ctx)
	stopCalls()
	work.Wait()
	return &soak.report, err
}

func newSoak(settings Settings) *soak {
	return &soak{
		settings: settings, packetPort: packetPort, store: standin.NewStore(), startedAt: time.Now(), calmAt: time.Now(),
		random:  rand.New(rand.NewPCG(settings.Seed, 0)),
		servers: map[string]*server{}, runs: map[string]string{}, report: Report{Seed: settings.Seed},
	}
}

// address returns a loopback address of this process; soaks side by side do not meet.
func address(group, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(group), byte(number + 1)})
}

func (soak *soak) build(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	server := &http.Server{Handler: soak.store}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	soak.publish(true)
	for i := range 9 {
		service := "desk-sync"
		if i%3 == 2 {
			service = "report-desk"
		}
		if _, err := soak.addServer(service); err != nil {
			return err
		}
	}
	if err := soak.buildInstances(listener.Addr().String()); err != nil {
		return err
	}
	if soak.routers, err = newRouter(ctx, address(5, 0), soak.instances); err != nil {
		return errors.Wrap(err, "router")
	}
	soak.router = soak.routers
	for i := range soak.settings.Callers {
		caller, err := newCaller(soak, address(3, i))
		if err != nil {
			return errors.Wrap(err, "caller")
		}
		soak.callers = append(soak.callers, caller)
	}
	return nil
}

func (soak *soak) buildInstances(store string) error {
	for i := range soak.settings.Instances {
		instance := &instance{
			name: fmt.Sprintf("lb-%d", i), address: address(1, i), binary: soak.settings.Binary,
			files: soak.settings.Directory, domain: i % domains,
		}
		if err := instance.interpose(i, store); err != nil {
			return err
		}
		soak.instances = append(soak.instances, instance)
	}
	seeds := []string{soak.instances[0].views.listener.Addr().String()}
	for _, instance := range soak.instances {
		if err := instance.writeSettings(seeds); err != nil {
			return err
		}
		if err := instance.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends every process and socket that the soak started.
func (soak *soak) close() {
	for _, instance := range soak.instances {
		instance.close()
	}
	for _, caller := range soak.callers {
		caller.socket.Close()
	}
	for _, server := range soak.servers {
		server.end()
	}
	soak.routers.socket.Close()
}

// publish writes the next version of the configuration, with or without the extra route.
func (soak *soak) publish(extra bool) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.version += 1 + uint64(soak.random.IntN(3))
	routes := []viewer.Route{route("main", mainRoute), route("report", reportRoute)}
	if extra {
		routes = append(routes, route("extra", extraRoute))
		soak.extraGone = time.Time{}
	} else if soak.extraGone.IsZero() {
		soak.extraGone = time.Now()
	}
	configuration := &viewer.Configuration{Version: soak.version, Routes: routes}
	soak.store.Put(platform.ConfigurationKind, platform.ConfigurationName, platform.EncodeConfiguration(configuration))
}

func route(name string, address netip.AddrPort) viewer.Route {
	return viewer.Route{Name: name, Address: address, Shares: []viewer.Share{{Service: allowed[address], Weight: 1}}}
}

// addServer starts a backend server and writes its entry.
func (soak *soak) addServer(service string) (*server, error) {
	soak.mutex.Lock()
	soak.number++
	number := soak.number
	soak.mutex.Unlock()
	endpoint := netip.AddrPortFrom(address(4, int(number%250)), 8080)
	server, err := newServer(soak, fmt.Sprintf("i-%08x", number), number, service, endpoint)
	if err != nil {
		return nil, errors.Wrap(err, "backend server")
	}
	soak.mutex.Lock()
	soak.servers[server.name] = server
	soak.mutex.Unlock()
	server.write(parser.Active)
	return server, nil
}

// load calls services until ctx ends: short flows, and some that stay open for several requests.
func (soak *soak) load(ctx context.Context, caller *caller, random *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		route := []netip.AddrPort{mainRoute, mainRoute, reportRoute, extraRoute}[random.IntN(4)]
		requests, pause := 1, time.Duration(0)
		if random.IntN(5) == 0 {
			requests, pause = 5, time.Duration(random.IntN(1500))*time.Millisecond
		}
		open.Go(func() { caller.call(route, requests, pause) })
		time.Sleep(time.Duration(20+random.IntN(40)) * time.Millisecond)
	}
}

// watchVersions reads every instance's version now and then.
func (soak *soak) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, instance := range soak.instances {
			if before, now, back := instance.look(); back {
				soak.violate("%s went back from version %d to %d", instance.name, before, now)
			}
		}
		time.Sleep(stateTimeout)
	}
}

// awaitServing waits until all instances are ready and a request is served.
func (soak *soak) awaitServing(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if soak.routers.readyCount() == len(soak.instances) {
			before := soak.served()
			soak.callers[0].call(mainRoute, 1, 0)
			if soak.served() > before {
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return errors.Errorf("not all instances serve after %s; logs are in %s", limit, soak.settings.Directory)
}

// recover ends the faults' time: all is served again within the bound.
func (soak *soak) recover(ctx context.Context) error {
	limit := time.Minute
	if soak.settings.CheckTimeLimits {
		limit = recoveryLimit
	}
	if err := soak.awaitServing(ctx, limit); err != nil {
		soak.violate("%v", err)
	}
	return ctx.Err()
}

func (soak *soak) served() int {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.report.Served
}

// Save writes the report's faults and violations into the soak's directory.
func (report *Report) Save(directory string) error {
	lines := slices.Concat(report.Timeline, []string{"violations:"}, report.Violations)
	content := ""
	for _, line := range lines {
		content += line + "\n"
	}
	return os.WriteFile(filepath.Join(directory, "report.txt"), []byte(content), 0o600)
}
