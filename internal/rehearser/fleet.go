package rehearser

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/internal/standin"
	"github.com/pimentowind/pimentowind/loader"
	"github.com/pimentowind/pimentowind/storer"
)

const (
	platformToken = "rehearsal"
	pollInterval  = 100 * time.Millisecond
)

// Fleet holds the processes of one deployment and the addresses at which they are reached.
// Its methods must not be called concurrently.
type Fleet struct {
	directory        string
	binaries         string
	processes        map[string]*process
	instances        []decider.Instance
	adminAddresses   map[string]netip.AddrPort
	controlAddresses map[string]netip.AddrPort
	fabricAddress    netip.AddrPort
	platformURL      string
}

// process is a started process. Its output may be read once done is closed.
type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	done    chan struct{}
}

// Build compiles the executables pimentowind and standin from the repository at root into
// directory. The error contains the compiler's output.
func Build(ctx context.Context, root, directory string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/pimentowind", "./cmd/standin")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", output)
	}
	return nil
}

// NewFleet starts the platform and the fabric with the executables in the directory binaries,
// creates the certificate authority of the instances and writes its files to directory. The
// returned function kills every process of the fleet.
func NewFleet(ctx context.Context, directory, binaries string) (*Fleet, func(), error) {
	fleet := &Fleet{
		directory:        directory,
		binaries:         binaries,
		processes:        map[string]*process{},
		adminAddresses:   map[string]netip.AddrPort{},
		controlAddresses: map[string]netip.AddrPort{},
	}
	if err := fleet.startPlatformAndFabric(ctx); err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return fleet, fleet.Close, nil
}

func (fleet *Fleet) startPlatformAndFabric(ctx context.Context) error {
	platform := FreeAddress()
	fleet.platformURL = "http://" + platform.String()
	if err := fleet.startProcess("platform", "standin", "platform", "--address", platform.String(), "--token", platformToken); err != nil {
		return err
	}
	fleet.fabricAddress = FreeAddress()
	fleet.controlAddresses["fabric"] = FreeAddress()
	err := fleet.startProcess("fabric", "standin", "fabric",
		"--address", fleet.fabricAddress.String(), "--control", fleet.controlAddresses["fabric"].String())
	if err != nil {
		return err
	}
	if err := fleet.runCommand("pimentowind", "keys", "authority", "--out", fleet.directory); err != nil {
		return err
	}
	return fleet.waitUntil(ctx, "platform and fabric", func() bool {
		return acceptsConnections(platform) && acceptsConnections(fleet.controlAddresses["fabric"])
	})
}

// The ports of a fleet lie below the usual ephemeral range: an outgoing connection could
// otherwise be assigned the port between FreeAddress and its use.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address whose port is free for TCP and UDP. The addresses
// that one process gets differ until the port range is exhausted.
func FreeAddress() netip.AddrPort {
	for {
		offset := (uint32(os.Getpid())*64 + nextPort.Add(1)) % (lastPort - firstPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+offset))
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			continue
		}
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		listener.Close()
		if err == nil {
			socket.Close()
			return address
		}
	}
}

func acceptsConnections(address netip.AddrPort) bool {
	connection, err := net.DialTimeout("tcp4", address.String(), time.Second)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// startProcess starts an executable from the directory binaries as the named process.
func (fleet *Fleet) startProcess(name, binary string, arguments ...string) error {
	output := &bytes.Buffer{}
	command := exec.Command(filepath.Join(fleet.binaries, binary), arguments...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	started := &process{command: command, output: output, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = command.Wait() // the process reports its failure in its output
	}()
	fleet.processes[name] = started
	return nil
}

// runCommand runs an executable until it exits; the error contains its output.
func (fleet *Fleet) runCommand(binary string, arguments ...string) error {
	output, err := exec.Command(filepath.Join(fleet.binaries, binary), arguments...).CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "%s %s: %s", binary, strings.Join(arguments, " "), output)
	}
	return nil
}

// Signal sends a signal to the named process, which is an instance, a backend server, a
// caller, "platform" or "fabric".
func (fleet *Fleet) Signal(name string, signal syscall.Signal) error {
	if err := fleet.processes[name].command.Process.Signal(signal); err != nil {
		return errors.Wrapf(err, "signal %s", name)
	}
	return nil
}

// WaitForExit waits until the named process exits and returns its output, or an error if ctx
// is done first.
func (fleet *Fleet) WaitForExit(ctx context.Context, name string) (string, error) {
	select {
	case <-fleet.processes[name].done:
		return fleet.processes[name].output.String(), nil
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "wait for %s", name)
	}
}

// Close kills every process and waits until it has exited.
func (fleet *Fleet) Close() {
	for _, process := range fleet.processes {
		_ = process.command.Process.Kill() // fails if the process has already exited
		<-process.done
	}
}

// WriteLogs writes the output of every instance that UnlistInstance has not removed.
func (fleet *Fleet) WriteLogs(output io.Writer) {
	for _, instance := range fleet.instances {
		fmt.Fprintf(output, "--- %s\n%s", instance.Name, fleet.processes[instance.Name].output)
	}
}

// waitUntil polls until the condition holds; the error names what was waited for.
func (fleet *Fleet) waitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", description)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// StartInstance starts an instance and adds it to the platform's list of instances. The
// fabric sends it packets only after SetFabricBalancers.
func (fleet *Fleet) StartInstance(ctx context.Context, name, failureDomain string) error {
	if err := fleet.StartUnlistedInstance(name, failureDomain); err != nil {
		return err
	}
	return fleet.writeInstanceList(ctx)
}

// StartUnlistedInstance starts an instance without writing the platform's list of instances;
// the next write of the list includes it.
func (fleet *Fleet) StartUnlistedInstance(name, failureDomain string) error {
	if err := fleet.runCommand("pimentowind", "keys", "instance", name, "--authority", fleet.directory, "--out", fleet.directory); err != nil {
		return err
	}
	instance := decider.Instance{Name: name, FailureDomain: failureDomain, Peer: FreeAddress(), Tunnel: FreeAddress()}
	settings := fleet.newSettings(instance)
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(fleet.directory, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	fleet.instances = append(fleet.instances, instance)
	fleet.adminAddresses[name] = settings.AdminAddress
	if err := fleet.startProcess(name, "pimentowind", "balance", "--settings", file); err != nil {
		return err
	}
	return fleet.waitForStart(name)
}

// waitForStart waits until an instance accepts connections at its admin address, and returns
// its output as an error if it exits first.
func (fleet *Fleet) waitForStart(name string) error {
	for !acceptsConnections(fleet.adminAddresses[name]) {
		select {
		case <-fleet.processes[name].done:
			return errors.Errorf("instance %q exited during startup: %s", name, fleet.processes[name].output)
		case <-time.After(pollInterval / 10):
		}
	}
	return nil
}

// newSettings returns the settings of a new instance, whose peers are the instances started
// before it.
func (fleet *Fleet) newSettings(instance decider.Instance) *configurer.Settings {
	var peers []configurer.Peer
	for _, other := range fleet.instances {
		peers = append(peers, configurer.Peer{Instance: other.Name, PeerAddress: other.Peer})
	}
	keyPrefix := filepath.Join(fleet.directory, instance.Name)
	return &configurer.Settings{
		Instance:        instance.Name,
		FailureDomain:   instance.FailureDomain,
		TunnelAddress:   instance.Tunnel,
		PeerAddress:     instance.Peer,
		AdminAddress:    FreeAddress(),
		FabricAddresses: []netip.AddrPort{fleet.fabricAddress},
		Platform:        configurer.Platform{URL: fleet.platformURL, Token: platformToken, Timeout: configurer.Duration(2 * time.Second)},
		Keys:            configurer.Keys{Authority: filepath.Join(fleet.directory, "ca.crt"), Certificate: keyPrefix + ".crt", Key: keyPrefix + ".key"},
		Peers:           peers,
		Log:             configurer.Log{Format: "text"},
		MaxFlows:        100_000,
		DrainTimeout:    configurer.Duration(5 * time.Second),
	}
}

// UnlistInstance removes an instance from the platform's list of instances; its process is
// not stopped.
func (fleet *Fleet) UnlistInstance(ctx context.Context, name string) error {
	fleet.instances = slices.DeleteFunc(fleet.instances, func(instance decider.Instance) bool { return instance.Name == name })
	return fleet.writeInstanceList(ctx)
}

// writeInstanceList writes the platform's list of instances.
func (fleet *Fleet) writeInstanceList(ctx context.Context) error {
	content, err := json.Marshal(loader.InstanceList{Instances: fleet.instances})
	if err != nil {
		return errors.Wrap(err, "encode list of instances")
	}
	store, cleanup := storer.NewStorer(fleet.platformURL, platformToken, 5*time.Second)
	defer cleanup()
	object, err := store.Get(ctx, loader.InstancesObject)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	_, err = store.Put(ctx, loader.InstancesObject, object.Version, content)
	return err
}

// SetFabricBalancers replaces the set of instances over which the fabric distributes packets.
func (fleet *Fleet) SetFabricBalancers(names ...string) error {
	var addresses []netip.AddrPort
	for _, instance := range fleet.instances {
		if slices.Contains(names, instance.Name) {
			addresses = append(addresses, instance.Tunnel)
		}
	}
	return putJSON("http://"+fleet.controlAddresses["fabric"].String()+"/balancers", addresses)
}

// SetFaults replaces the faults that the platform injects.
func (fleet *Fleet) SetFaults(faults standin.PlatformFaults) error {
	return putJSON(fleet.platformURL+"/faults", faults)
}

func putJSON(url string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "put %s", url)
	}
	return response.Body.Close()
}

// WaitUntilReady waits until each of the instances answers 200 at /ready.
func (fleet *Fleet) WaitUntilReady(ctx context.Context, names ...string) error {
	for _, name := range names {
		url := "http://" + fleet.adminAddresses[name].String() + "/ready"
		err := fleet.waitUntil(ctx, name+" to be ready", func() bool {
			response, err := http.Get(url)
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// StartBackendServer starts a backend server that processes speed work units a second in each
// of its slots, and returns its tunnel address.
func (fleet *Fleet) StartBackendServer(name string, service netip.AddrPort, speed float64) (netip.AddrPort, error) {
	address := FreeAddress()
	fleet.controlAddresses[name] = FreeAddress()
	err := fleet.startProcess(name, "standin", "backend", "--name", name, "--address", address.String(),
		"--fabric", fleet.fabricAddress.String(), "--service", service.String(),
		"--control", fleet.controlAddresses[name].String(), "--strength", fmt.Sprint(speed))
	return address, err
}

// BackendServerStats returns the counters of a backend server.
func (fleet *Fleet) BackendServerStats(name string) (standin.BackendStats, error) {
	var stats standin.BackendStats
	err := getJSON("http://"+fleet.controlAddresses[name].String()+"/stats", &stats)
	return stats, err
}

// Status returns the status that an instance reports at /status.
func (fleet *Fleet) Status(name string) (decider.Status, error) {
	var status decider.Status
	err := getJSON("http://"+fleet.adminAddresses[name].String()+"/status", &status)
	return status, err
}

// Vars returns the counters that an instance exports at /debug/vars, by component and name.
func (fleet *Fleet) Vars(name string) (map[string]map[string]uint64, error) {
	var vars map[string]map[string]uint64
	err := getJSON("http://"+fleet.adminAddresses[name].String()+"/debug/vars", &vars)
	return vars, err
}

func getJSON(url string, value any) error {
	response, err := http.Get(url)
	if err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return errors.Wrapf(err, "decode %s", url)
	}
	return nil
}

// CallerOptions describes the flows that a caller opens. Flows is how many are open at once
// and Interval the time between the requests of one flow. After Requests requests a flow is
// closed and another one opened; if Requests is 0, it stays open. The caller exits after
// Duration.
type CallerOptions struct {
	Name     string
	Source   string // source address of its packets
	Service  netip.AddrPort
	UDP      bool
	Flows    int
	Interval time.Duration
	Requests int
	Duration time.Duration
}

// StartCaller starts a caller, whose report WaitForCallerReport returns.
func (fleet *Fleet) StartCaller(options CallerOptions) error {
	arguments := []string{
		"caller", "--address", FreeAddress().String(), "--fabric", fleet.fabricAddress.String(),
		"--service", options.Service.String(), "--source", options.Source,
		"--flows", fmt.Sprint(options.Flows), "--interval", options.Interval.String(),
		"--requests", fmt.Sprint(options.Requests), "--duration", options.Duration.String(),
	}
	if options.UDP {
		arguments = append(arguments, "--udp")
	}
	return fleet.startProcess(options.Name, "standin", arguments...)
}

// WaitForCallerReport waits until a caller exits and returns its report.
func (fleet *Fleet) WaitForCallerReport(ctx context.Context, name string) (standin.CallerReport, error) {
	var report standin.CallerReport
	output, err := fleet.WaitForExit(ctx, name)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal([]byte(output), &report); err != nil {
		return report, errors.Wrapf(err, "decode report of %s: %s", name, output)
	}
	return report, nil
}

// LoadSheet runs 'pimentowind sheet load' for the file, which waits at most the given time until
// the sheet is in force on every instance, and returns what the command printed.
func (fleet *Fleet) LoadSheet(file, operator string, wait time.Duration) (string, error) {
	output, err := exec.Command(filepath.Join(fleet.binaries, "pimentowind"), "sheet", "load", file,
		"--platform", fleet.platformURL, "--token", platformToken, "--operator", operator, "--wait", wait.String()).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}
