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
	token        = "rehearsal"
	pollInterval = 100 * time.Millisecond
)

// Fleet is a set of running processes.
type Fleet struct {
	directory string
	binaries  string
	processes map[string]*process
	instances []decider.Instance
	admin     map[string]netip.AddrPort
	controls  map[string]netip.AddrPort
	fabric    netip.AddrPort
	platform  string
}

type process struct {
	command *exec.Cmd
	output  *bytes.Buffer
	done    chan struct{}
}

// Build compiles the product and the stand-ins into directory.
func Build(ctx context.Context, root, directory string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", directory+string(filepath.Separator), "./cmd/pimentowind", "./cmd/standin")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", output)
	}
	return nil
}

// NewFleet starts the platform and the fabric; the returned function ends every process.
func NewFleet(ctx context.Context, directory, binaries string) (*Fleet, func(), error) {
	fleet := &Fleet{
		directory: directory,
		binaries:  binaries,
		processes: map[string]*process{},
		admin:     map[string]netip.AddrPort{},
		controls:  map[string]netip.AddrPort{},
	}
	if err := fleet.startSurroundings(ctx); err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return fleet, fleet.Close, nil
}

func (fleet *Fleet) startSurroundings(ctx context.Context) error {
	platform := FreeAddress()
	fleet.platform = "http://" + platform.String()
	if err := fleet.start("platform", "standin", "platform", "--address", platform.String(), "--token", token); err != nil {
		return err
	}
	fleet.fabric = FreeAddress()
	fleet.controls["fabric"] = FreeAddress()
	err := fleet.start("fabric", "standin", "fabric",
		"--address", fleet.fabric.String(), "--control", fleet.controls["fabric"].String())
	if err != nil {
		return err
	}
	if err := fleet.run("pimentowind", "keys", "authority", "--out", fleet.directory); err != nil {
		return err
	}
	return fleet.await(ctx, "platform and fabric", func() bool {
		return listens(platform) && listens(fleet.controls["fabric"])
	})
}

// Ports that fleets use lie below the usual ephemeral range, from which outgoing
// connections would take one between its choice and its use.
const (
	firstPort = 12_000
	lastPort  = 31_999
)

var nextPort atomic.Uint32

// FreeAddress returns a loopback address whose port is free for TCP and UDP; no
// two calls of one process return the same.
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

func listens(address netip.AddrPort) bool {
	connection, err := net.DialTimeout("tcp4", address.String(), time.Second)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

func (fleet *Fleet) start(name, binary string, arguments ...string) error {
	output := &bytes.Buffer{}
	command := exec.Command(filepath.Join(fleet.binaries, binary), arguments...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	started := &process{command: command, output: output, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		_ = command.Wait() // how it ended is in its output
	}()
	fleet.processes[name] = started
	return nil
}

// run runs a command of a binary to its end.
func (fleet *Fleet) run(binary string, arguments ...string) error {
	output, err := exec.Command(filepath.Join(fleet.binaries, binary), arguments...).CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "%s %s: %s", binary, strings.Join(arguments, " "), output)
	}
	return nil
}

// Signal sends a signal to a process that the fleet started.
func (fleet *Fleet) Signal(name string, signal syscall.Signal) error {
	if err := fleet.processes[name].command.Process.Signal(signal); err != nil {
		return errors.Wrapf(err, "signal %s", name)
	}
	return nil
}

// WaitForExit waits for the end of a process and returns what it printed.
func (fleet *Fleet) WaitForExit(ctx context.Context, name string) (string, error) {
	select {
	case <-fleet.processes[name].done:
		return fleet.processes[name].output.String(), nil
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "wait for %s", name)
	}
}

// Close ends every process.
func (fleet *Fleet) Close() {
	for _, process := range fleet.processes {
		_ = process.command.Process.Kill() // it may have ended already
		<-process.done
	}
}

// WriteLogs writes what the instances printed.
func (fleet *Fleet) WriteLogs(output io.Writer) {
	for _, instance := range fleet.instances {
		fmt.Fprintf(output, "--- %s\n%s", instance.Name, fleet.processes[instance.Name].output)
	}
}

func (fleet *Fleet) await(ctx context.Context, what string, ready func() bool) error {
	for !ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// StartInstance starts an instance, lists it and lets the fabric use it once it is ready.
func (fleet *Fleet) StartInstance(ctx context.Context, name, failureDomain string) error {
	if err := fleet.StartUnlistedInstance(name, failureDomain); err != nil {
		return err
	}
	return fleet.publish(ctx)
}

// StartUnlistedInstance starts an instance without listing it.
func (fleet *Fleet) StartUnlistedInstance(name, failureDomain string) error {
	if err := fleet.run("pimentowind", "keys", "instance", name, "--authority", fleet.directory, "--out", fleet.directory); err != nil {
		return err
	}
	instance := decider.Instance{Name: name, FailureDomain: failureDomain, Peer: FreeAddress(), Tunnel: FreeAddress()}
	settings := fleet.settings(instance)
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(fleet.directory, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	fleet.instances = append(fleet.instances, instance)
	fleet.admin[name] = settings.AdminAddress
	if err := fleet.start(name, "pimentowind", "balance", "--settings", file); err != nil {
		return err
	}
	return fleet.awaitStart(name)
}

// awaitStart waits until an instance answers at its admin address, and says what it printed when it ends instead.
func (fleet *Fleet) awaitStart(name string) error {
	for !listens(fleet.admin[name]) {
		select {
		case <-fleet.processes[name].done:
			return errors.Errorf("instance %q ended at its start: %s", name, fleet.processes[name].output)
		case <-time.After(pollInterval / 10):
		}
	}
	return nil
}

func (fleet *Fleet) settings(instance decider.Instance) *configurer.Settings {
	var peers []configurer.Peer
	for _, other := range fleet.instances {
		peers = append(peers, configurer.Peer{Instance: other.Name, PeerAddress: other.Peer})
	}
	stem := filepath.Join(fleet.directory, instance.Name)
	return &configurer.Settings{
		Instance:        instance.Name,
		FailureDomain:   instance.FailureDomain,
		TunnelAddress:   instance.Tunnel,
		PeerAddress:     instance.Peer,
		AdminAddress:    FreeAddress(),
		FabricAddresses: []netip.AddrPort{fleet.fabric},
		Platform:        configurer.Platform{URL: fleet.platform, Token: token, Timeout: configurer.Duration(2 * time.Second)},
		Keys:            configurer.Keys{Authority: filepath.Join(fleet.directory, "ca.crt"), Certificate: stem + ".crt", Key: stem + ".key"},
		Peers:           peers,
		Log:             configurer.Log{Format: "text"},
		MaxFlows:        100_000,
		DrainTimeout:    configurer.Duration(5 * time.Second),
	}
}

// UnlistInstance takes an instance off the platform's list.
func (fleet *Fleet) UnlistInstance(ctx context.Context, name string) error {
	fleet.instances = slices.DeleteFunc(fleet.instances, func(instance decider.Instance) bool { return instance.Name == name })
	return fleet.publish(ctx)
}

// publish writes the platform's list of instances.
func (fleet *Fleet) publish(ctx context.Context) error {
	content, err := json.Marshal(loader.InstanceList{Instances: fleet.instances})
	if err != nil {
		return errors.Wrap(err, "encode list of instances")
	}
	store, cleanup := storer.NewStorer(fleet.platform, token, 5*time.Second)
	defer cleanup()
	object, err := store.Get(ctx, loader.InstancesObject)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	_, err = store.Put(ctx, loader.InstancesObject, object.Version, content)
	return err
}

// SetFabricBalancers lets the fabric use the instances.
func (fleet *Fleet) SetFabricBalancers(names ...string) error {
	var addresses []netip.AddrPort
	for _, instance := range fleet.instances {
		if slices.Contains(names, instance.Name) {
			addresses = append(addresses, instance.Tunnel)
		}
	}
	return put("http://"+fleet.controls["fabric"].String()+"/balancers", addresses)
}

// SetFaults makes the platform misbehave.
func (fleet *Fleet) SetFaults(faults standin.Faults) error {
	return put(fleet.platform+"/faults", faults)
}

func put(url string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
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

// WaitUntilReady waits until the instances answer that they are ready.
func (fleet *Fleet) WaitUntilReady(ctx context.Context, names ...string) error {
	for _, name := range names {
		url := "http://" + fleet.admin[name].String() + "/ready"
		err := fleet.await(ctx, name+" to be ready", func() bool {
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

// StartBackendServer starts a backend server and returns its tunnel address.
func (fleet *Fleet) StartBackendServer(name string, service netip.AddrPort, strength float64) (netip.AddrPort, error) {
	address := FreeAddress()
	fleet.controls[name] = FreeAddress()
	err := fleet.start(name, "standin", "backend", "--name", name, "--address", address.String(),
		"--fabric", fleet.fabric.String(), "--service", service.String(),
		"--control", fleet.controls[name].String(), "--strength", fmt.Sprint(strength))
	return address, err
}

// BackendServerStats asks a backend server what it saw.
func (fleet *Fleet) BackendServerStats(name string) (standin.BackendStats, error) {
	var stats standin.BackendStats
	err := getJSON("http://"+fleet.controls[name].String()+"/stats", &stats)
	return stats, err
}

// Status asks an instance what it knows.
func (fleet *Fleet) Status(name string) (decider.Status, error) {
	var status decider.Status
	err := getJSON("http://"+fleet.admin[name].String()+"/status", &status)
	return status, err
}

// Vars asks an instance for its counters.
func (fleet *Fleet) Vars(name string) (map[string]map[string]uint64, error) {
	var vars map[string]map[string]uint64
	err := getJSON("http://"+fleet.admin[name].String()+"/debug/vars", &vars)
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

// CallerOptions says what a caller does.
type CallerOptions struct {
	Name     string
	Source   string
	Service  netip.AddrPort
	UDP      bool
	Flows    int
	Interval time.Duration
	Requests int
	Duration time.Duration
}

// StartCaller starts a caller; CallerReport returns what it saw.
func (fleet *Fleet) StartCaller(plan CallerOptions) error {
	arguments := []string{
		"caller", "--address", FreeAddress().String(), "--fabric", fleet.fabric.String(),
		"--service", plan.Service.String(), "--source", plan.Source,
		"--flows", fmt.Sprint(plan.Flows), "--interval", plan.Interval.String(),
		"--requests", fmt.Sprint(plan.Requests), "--duration", plan.Duration.String(),
	}
	if plan.UDP {
		arguments = append(arguments, "--udp")
	}
	return fleet.start(plan.Name, "standin", arguments...)
}

// WaitForCallerReport waits for the end of a caller.
func (fleet *Fleet) WaitForCallerReport(ctx context.Context, name string) (standin.CallerReport, error) {
	var report standin.CallerReport
	output, err := fleet.WaitForExit(ctx, name)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal([]byte(output), &report); err != nil {
		return report, errors.Wrapf(err, "report of %s: %s", name, output)
	}
	return report, nil
}

// LoadSheet runs the operator's command and returns its line.
func (fleet *Fleet) LoadSheet(file, operator string, wait time.Duration) (string, error) {
	output, err := exec.Command(filepath.Join(fleet.binaries, "pimentowind"), "sheet", "load", file,
		"--platform", fleet.platform, "--token", token, "--operator", operator, "--wait", wait.String()).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}
