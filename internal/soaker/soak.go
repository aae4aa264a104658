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

// Time limits that the specification sets.
const (
	drainNoticeLimit        = 3 * time.Second        // from a server's announcement that it leaves to its last new flow
	configurationApplyLimit = 3 * time.Second        // from the removal of a route to the last new flow to it
	evacuationLimit         = 3 * time.Second        // from the evacuation of a failure domain to the last new flow to its servers
	warmNoticeLimit         = 2 * time.Second        // from the end of a server's warm-up until all instances know of it
	stabilizationTime       = 4 * time.Second        // without faults before the limits above apply
	recoveryLimit           = 12 * time.Second       // from the last fault; the specification requires a quarter to be served again by then
	stallLimit              = 200 * time.Millisecond // for which this process may not run
	timeTolerance           = 500 * time.Millisecond // added to a limit before a violation is recorded
)

// domainName returns the name of one of the failure domains, whose numbers repeat.
func (soak *soak) domainName(number int) string {
	return fmt.Sprintf("domain-%d", number%soak.settings.FailureDomains)
}

// Addresses of the routes, and the service behind each. The extra route is added
// and removed during the run.
var (
	mainRoute      = netip.MustParseAddrPort("198.18.0.1:443")
	reportRoute    = netip.MustParseAddrPort("198.18.0.2:443")
	extraRoute     = netip.MustParseAddrPort("198.18.0.3:443")
	bulkRoute      = netip.MustParseAddrPort("198.18.0.4:443") // less urgent than the others
	serviceByRoute = map[netip.AddrPort]string{mainRoute: "desk-sync", reportRoute: "report-desk", extraRoute: "desk-sync", bulkRoute: "report-desk"}
)

// Settings configures one run.
type Settings struct {
	Seed            uint64
	Duration        time.Duration // of fault injection, without startup and recovery
	Instances       int
	FailureDomains  int // over which instances and servers are spread
	Callers         int
	FaultKinds      int      // draws only from this many kinds at the head of the list; 0 for all
	FaultNames      []string // draws only from these kinds, if not empty
	CheckTimeLimits bool     // checks time limits as well as invariants
	Binary          string   // path of the load balancer
	Directory       string   // for settings, logs and the report
}

// Report is the result of one run. Refused and Failed leave out the extra route, which
// may be removed.
type Report struct {
	Seed       uint64
	Served     int      // requests that were answered
	Refused    int      // flows that were reset while opening
	Failed     int      // flows that did not open and requests without an answer
	Shed       int      // requests that a server did not execute, because its queue was full
	Timeline   []string // injected faults, with the time of each
	Violations []string
	Found      []time.Duration // from a server's silence to its declaration in its failure domain
	NotFound   int             // silences of foundLimit and longer without a declaration there in this time
}

// forwarder passes callers' packets to the system under test; key holds the source and
// the destination of a packet. Tests replace the router with faulty implementations.
type forwarder interface {
	forward(content []byte, key [2]netip.AddrPort) *instance
}

// soak is one run.
type soak struct {
	settings   Settings
	packetPort uint16
	store      *standin.Store
	forwarder  forwarder
	router     *router
	network    *callerNetwork
	instances  []*instance
	callers    []*caller
	startedAt  time.Time
	random     *rand.Rand // for faults and the first configuration; used by one goroutine

	mutex                sync.Mutex
	servers              map[string]*server
	executedBy           map[string]string // name of the server, by request ID
	report               Report
	activeFaults         int
	activeUnplanned      int // faults by which requests may fail
	lastUnplannedEnd     time.Time
	lastFaultEnd         time.Time
	extraRouteRemovedAt  time.Time            // zero while the extra route is configured
	evacuatedAt          map[string]time.Time // by failure domain; only while it is evacuated
	returnMutex          sync.Mutex           // held while evacuated failure domains are taken back cold
	returnedAt           map[string]time.Time // by failure domain; end of the last evacuation
	configurationVersion uint64
	lastServerNumber     uint64
	lastShedAt           time.Time      // by any server
	copies               []standin.Copy // of the store, oldest first
	sharedTokensUsed     int            // of sharedTokens

	openingMutex sync.Mutex // locked after a server's mutex and before soak.mutex
	openings     map[[2]netip.AddrPort]*opening
}

// Run injects faults for settings.Duration, or until ctx ends, and then waits for the
// system to recover. It returns an error if the system can't be started, if not all
// instances serve within a minute of the start, or if ctx ends.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	soak := newSoak(settings)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := soak.startSystem(ctx); err != nil {
		return nil, err
	}
	defer soak.close()
	if err := soak.awaitServing(ctx, time.Minute); err != nil {
		return nil, err
	}
	soak.copies = append(soak.copies, soak.store.Copy())
	var group sync.WaitGroup
	loadContext, stopLoad := context.WithCancel(ctx)
	for i, caller := range soak.callers {
		random := rand.New(rand.NewPCG(settings.Seed, uint64(i)))
		group.Go(func() { soak.generateLoad(loadContext, caller, random) })
	}
	group.Go(func() { soak.watchVersions(loadContext) })
	group.Go(func() { soak.watchStalls(loadContext) })
	group.Go(func() { soak.keepCopies(loadContext) })
	soak.injectFaults(ctx)
	err := soak.awaitRecovery(ctx)
	stopLoad()
	group.Wait()
	soak.checkOrder()
	soak.checkDeclarations()
	return &soak.report, err
}

func newSoak(settings Settings) *soak {
	return &soak{
		settings: settings, packetPort: packetPort, network: newCallerNetwork(settings.Seed), store: standin.NewStore(), startedAt: time.Now(), lastFaultEnd: time.Now(), lastUnplannedEnd: time.Now(),
		random:  rand.New(rand.NewPCG(settings.Seed, 0)),
		servers: map[string]*server{}, executedBy: map[string]string{}, evacuatedAt: map[string]time.Time{}, returnedAt: map[string]time.Time{}, openings: map[[2]netip.AddrPort]*opening{}, report: Report{Seed: settings.Seed},
	}
}

// startSystem starts the store, nine backend servers, the instances, the router and
// the callers.
func (soak *soak) startSystem(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	server := &http.Server{Handler: soak.store}
	go server.Serve(listener)
	context.AfterFunc(ctx, func() { server.Close() })
	soak.publishConfiguration(soak.random.IntN(3), true)
	for i := range 9 {
		service := "desk-sync"
		if i%3 == 2 {
			service = "report-desk"
		}
		if _, err := soak.addServer(service); err != nil {
			return err
		}
	}
	if err := soak.startInstances(listener.Addr().String()); err != nil {
		return err
	}
	if soak.router, err = newRouter(ctx, address(5, 0), soak.instances, soak.network); err != nil {
		return errors.Wrap(err, "start router")
	}
	soak.forwarder = soak.router
	for i := range soak.settings.Callers {
		caller, err := newCaller(soak, address(3, i))
		if err != nil {
			return errors.Wrap(err, "start caller")
		}
		soak.callers = append(soak.callers, caller)
	}
	return nil
}

// startInstances starts the instances behind their proxies; storeAddress is the
// address of the store.
func (soak *soak) startInstances(storeAddress string) error {
	for i := range soak.settings.Instances {
		instance := &instance{
			name: fmt.Sprintf("lb-%d", i), address: address(1, i), binary: soak.settings.Binary,
			directory: soak.settings.Directory, failureDomain: soak.domainName(i),
		}
		if err := instance.startProxies(i, storeAddress); err != nil {
			return err
		}
		soak.instances = append(soak.instances, instance)
	}
	seeds := []string{soak.instances[0].viewProxy.listener.Addr().String()}
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

// close kills every process and closes every socket that the run opened.
func (soak *soak) close() {
	for _, instance := range soak.instances {
		instance.close()
	}
	for _, caller := range soak.callers {
		caller.socket.Close()
	}
	for _, server := range soak.servers {
		server.stop()
	}
	soak.router.socket.Close()
}

// publishConfiguration writes a later version of the configuration to the store, which skips some.
func (soak *soak) publishConfiguration(skipped int, withExtraRoute bool) {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.configurationVersion += 1 + uint64(skipped)
	routes := []viewer.Route{newRoute("main", mainRoute), newRoute("report", reportRoute), newRoute("bulk", bulkRoute)}
	if withExtraRoute {
		routes = append(routes, newRoute("extra", extraRoute))
		soak.extraRouteRemovedAt = time.Time{}
	} else if soak.extraRouteRemovedAt.IsZero() {
		soak.extraRouteRemovedAt = time.Now()
	}
	configuration := &viewer.Configuration{Version: soak.configurationVersion, Routes: routes, Services: ratedServices()}
	soak.store.Put(platform.ConfigurationKind, platform.ConfigurationName, platform.EncodeConfiguration(configuration))
}

// newRoute returns a route to a service; the other service stands by and must get no flow.
func newRoute(name string, address netip.AddrPort) viewer.Route {
	route := viewer.Route{Name: name, Address: address}
	for _, service := range []string{"desk-sync", "report-desk"} {
		share := viewer.Share{Service: service}
		if service == serviceByRoute[address] {
			share.Weight = 1
		}
		route.Shares = append(route.Shares, share)
	}
	if address == bulkRoute {
		route.Priority = 1
	}
	return route
}

// addServer starts a backend server and writes its entry to the store.
func (soak *soak) addServer(service string) (*server, error) {
	server, err := soak.startServer(service, 0)
	if err != nil {
		return nil, err
	}
	if len(soak.instances) > 0 { // not those that the run starts with
		server.warmUp()
	}
	server.writeEntry(parser.Active)
	return server, nil
}

// startServer starts a backend server that has no entry yet. Its identity is its number if 0 is given.
func (soak *soak) startServer(service string, identity uint64) (*server, error) {
	soak.mutex.Lock()
	soak.lastServerNumber++
	number := soak.lastServerNumber
	soak.mutex.Unlock()
	if identity == 0 {
		identity = number
	}
	endpoint := netip.AddrPortFrom(address(4, int(number%250)), 8080)
	server, err := newServer(soak, fmt.Sprintf("i-%08x", identity), identity, service, endpoint)
	if err != nil {
		return nil, errors.Wrap(err, "start backend server")
	}
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.servers[server.name] = server
	return server, nil
}

// generateLoad opens flows until ctx ends, most of them for a single request and one
// in five for five requests with pauses.
func (soak *soak) generateLoad(ctx context.Context, caller *caller, random *rand.Rand) {
	var flows sync.WaitGroup
	defer flows.Wait()
	for ctx.Err() == nil {
		route := []netip.AddrPort{mainRoute, mainRoute, reportRoute, extraRoute, bulkRoute}[random.IntN(5)]
		requests, pause := 1, time.Duration(0)
		if random.IntN(5) == 0 {
			requests, pause = 5, time.Duration(random.IntN(1500))*time.Millisecond
		}
		flows.Go(func() { caller.call(route, requests, pause) })
		time.Sleep(time.Duration(20+random.IntN(40)) * time.Millisecond)
	}
}

// watchVersions periodically checks that no instance returns to an older
// configuration version.
func (soak *soak) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, instance := range soak.instances {
			if instance.hasEnded() {
				soak.recordViolation("%s ended by itself", instance.name)
			}
			if previous, current, decreased := instance.readVersion(); decreased {
				soak.recordViolation("%s reverted from configuration version %d to %d", instance.name, previous, current)
			}
		}
		time.Sleep(stateTimeout)
	}
}

// awaitServing waits until all instances are ready and a request is served. It
// returns an error if that takes longer than timeout.
func (soak *soak) awaitServing(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if soak.router.readyCount() == len(soak.instances) {
			servedBefore := soak.servedCount()
			soak.callers[0].call(mainRoute, 1, 0)
			if soak.servedCount() > servedBefore {
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return errors.Errorf("not all instances serve after %s; see the logs in %s", timeout, soak.settings.Directory)
}

// awaitRecovery waits until the system serves again after the last fault, and records
// a violation if that takes longer than recoveryLimit, or than a minute when time
// limits are not checked.
func (soak *soak) awaitRecovery(ctx context.Context) error {
	timeout := time.Minute
	if soak.settings.CheckTimeLimits {
		timeout = recoveryLimit
	}
	if err := soak.awaitServing(ctx, timeout); err != nil {
		soak.recordViolation("%v", err)
	}
	return ctx.Err()
}

func (soak *soak) servedCount() int {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.report.Served
}

// Save writes the faults and violations to report.txt in directory.
func (report *Report) Save(directory string) error {
	lines := slices.Concat(report.Timeline, []string{"violations:"}, report.Violations)
	content := ""
	for _, line := range lines {
		content += line + "\n"
	}
	return os.WriteFile(filepath.Join(directory, "report.txt"), []byte(content), 0o600)
}
