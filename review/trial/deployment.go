package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/platform/standin"
	"github.com/pimentowind/pimentowind/viewer"
)

// Ports of an instance, on an address of its own, and of a backend server.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	firstPort   = 7720
	lastPort    = 7735
	serverPort  = 8080
)

const (
	probeInterval = 500 * time.Millisecond // of the routers
	missedProbes  = 2                      // after which an instance is out of rotation
)

// deployment is a small deployment with all its stand-ins.
type deployment struct {
	binary, directory string
	block             byte // second byte of all addresses
	zones             []string
	bounds            bounds
	store             *standin.Store
	storeAddress      string
	recorder          *recorder

	mutex     sync.Mutex
	instances []*instance
	servers   map[string]*server
	names     uint32

	allowed map[string][]string // services to which any configuration has sent a route, by its address; routes that are left out are not checked
	ranAt   map[string]string   // by request
}

// bounds are the times that the settings state.
type bounds struct{ drain, apply, grace, stable time.Duration }

// instance is one process of the load balancer.
type instance struct {
	name, zone string
	address    netip.Addr
	settings   string
	command    *exec.Cmd
	exited     chan struct{}
	isReady    bool // guarded by the deployment's mutex
}

func newDeployment(binary, directory string, recorder *recorder) (*deployment, error) {
	deployment := &deployment{
		binary: binary, directory: directory, block: byte(20 + os.Getpid()%200), store: standin.NewStore(),
		recorder: recorder, servers: map[string]*server{}, allowed: map[string][]string{}, ranAt: map[string]string{},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	deployment.storeAddress = listener.Addr().String()
	go http.Serve(listener, deployment.store)
	return deployment, nil
}

// address returns a loopback address: a group of stand-ins, and a number in it.
func (deployment *deployment) address(group, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, deployment.block, group, number})
}

// configure writes a version of the configuration.
func (deployment *deployment) configure(configuration *viewer.Configuration) {
	deployment.store.Put(platform.ConfigurationKind, platform.ConfigurationName, platform.EncodeConfiguration(configuration))
	deployment.recorder.note("configuration %d is acknowledged: %s", configuration.Version, platform.EncodeConfiguration(configuration))
}

// addInstances writes the settings of count instances in each zone and starts them.
func (deployment *deployment) addInstances(count int) error {
	for i := range count {
		for z, zone := range deployment.zones {
			number := byte(10 + i*len(deployment.zones) + z)
			deployment.instances = append(deployment.instances, &instance{
				name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, address: deployment.address(1, number),
			})
		}
	}
	var seeds []string
	for _, instance := range deployment.instances[:min(3, len(deployment.instances))] {
		seeds = append(seeds, netip.AddrPortFrom(instance.address, controlPort).String())
	}
	for _, instance := range deployment.instances {
		if err := deployment.writeSettings(instance, seeds); err != nil {
			return err
		}
		if err := deployment.start(instance); err != nil {
			return err
		}
		go deployment.probe(instance)
	}
	return nil
}

// writeSettings writes what the platform makes of deploy/settings.json.
func (deployment *deployment) writeSettings(instance *instance, seeds []string) error {
	at := func(port uint16) string { return netip.AddrPortFrom(instance.address, port).String() }
	content, err := json.MarshalIndent(map[string]any{
		"instance": instance.name, "failure_domain": instance.zone, "address": instance.address.String(),
		"packet_address": at(packetPort), "ready_address": at(readyPort), "control_address": at(controlPort),
		"peer_ports": []int{firstPort, lastPort}, "seeds": seeds, "processor_share": 0.088,
		"store_address": deployment.storeAddress, "metrics_port": 9180,
		"stop_timeout": deployment.bounds.grace.String(), "drain_timeout": deployment.bounds.drain.String(), "apply_timeout": deployment.bounds.apply.String(),
		"prefer_own_domain": true, "reset_silent": true,
		"admission": map[string]any{"enabled": true, "max_shed_share": 0.2},
		"log":       map[string]any{"format": "json", "verbosity": 1},
	}, "", "  ")
	if err != nil {
		return err
	}
	instance.settings = filepath.Join(deployment.directory, instance.name+".json")
	return os.WriteFile(instance.settings, content, 0o600)
}

// start starts the process of an instance as the deploy file does.
func (deployment *deployment) start(instance *instance) error {
	log, err := os.OpenFile(filepath.Join(deployment.directory, instance.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(deployment.binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+instance.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	deployment.mutex.Lock()
	instance.command, instance.exited = command, exited
	deployment.mutex.Unlock()
	go func() {
		err := command.Wait()
		deployment.recorder.note("%s has ended: %v", instance.name, err)
		close(exited)
	}()
	return nil
}

// close kills all processes.
func (deployment *deployment) close() {
	for _, instance := range deployment.instances {
		if instance.command != nil {
			instance.command.Process.Kill()
			<-instance.exited
		}
	}
}

// probe asks an instance for its readiness as the routers do.
func (deployment *deployment) probe(instance *instance) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + netip.AddrPortFrom(instance.address, readyPort).String() + platform.ReadyPath
	for misses := missedProbes; ; time.Sleep(probeInterval) {
		response, err := client.Get(url)
		if err == nil {
			response.Body.Close()
		}
		misses++
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		}
		deployment.mutex.Lock()
		if isReady := misses < missedProbes; isReady != instance.isReady {
			instance.isReady = isReady
			deployment.recorder.note("%s is ready: %t", instance.name, isReady)
		}
		deployment.mutex.Unlock()
	}
}

// awaitReady waits until all instances are in rotation.
func (deployment *deployment) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		deployment.mutex.Lock()
		for _, instance := range deployment.instances {
			if instance.isReady {
				ready++
			}
		}
		deployment.mutex.Unlock()
		if ready == len(deployment.instances) {
			return nil
		}
	}
	return fmt.Errorf("not all instances are ready after %s", timeout)
}

// route returns the instance to which the routers of a zone hand a flow, or nil.
func (deployment *deployment) route(zone string, source, destination netip.AddrPort) *instance {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	var ready, all []*instance
	for _, instance := range deployment.instances {
		if instance.zone != zone {
			continue
		}
		all = append(all, instance)
		if instance.isReady {
			ready = append(ready, instance)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[hashFlow(source, destination)%uint64(len(ready))]
}
