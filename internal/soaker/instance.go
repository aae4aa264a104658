package soaker

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

	"github.com/go-faster/errors"
)

// Ports of an instance. They are the same for all, since every instance has its own address.
const (
	packetPort  = 21001
	readyPort   = 21002
	controlPort = 21003
	peerPort    = 21004
	storePort   = 21005
)

// stateTimeout limits a request for an instance's state. The state is polled at the
// same interval.
const stateTimeout = 500 * time.Millisecond

// instance runs one process of the load balancer at a time.
type instance struct {
	name          string
	address       netip.Addr
	binary        string
	directory     string // for settings and log
	failureDomain string
	storeProxy    *proxy    // carries the instance's connections to the store
	viewProxy     *proxy    // carries requests of other instances for its view
	heartbeatLink *link     // carries heartbeats from other instances
	ready         bool      // guarded by the router's mutex
	activeFaults  int       // guarded by the soak's mutex
	lastFaultEnd  time.Time // likewise

	restartMutex sync.Mutex // held while the process is restarted

	mutex          sync.Mutex
	command        *exec.Cmd
	exited         chan struct{}
	isEnded        bool   // the process was told to end, or its own end was reported
	highestVersion uint64 // of the configuration, as reported by this process
}

// startProxies starts the proxies between the instance and the store, and between the
// other instances and this one.
func (instance *instance) startProxies(number int, storeAddress string) error {
	var err error
	if instance.storeProxy, err = newProxy(netip.AddrPortFrom(address(2, number), storePort), storeAddress); err != nil {
		return errors.Wrap(err, "start proxy to the store")
	}
	if instance.viewProxy, err = newProxy(netip.AddrPortFrom(address(6, number), controlPort), instance.endpoint(controlPort)); err != nil {
		return errors.Wrap(err, "start proxy between instances")
	}
	peer := netip.AddrPortFrom(instance.address, peerPort)
	if instance.heartbeatLink, err = newLink(netip.AddrPortFrom(address(6, number), peerPort), peer); err != nil {
		return errors.Wrap(err, "start link between instances")
	}
	return nil
}

// close kills the process and closes its proxies.
func (instance *instance) close() {
	instance.signal(syscall.SIGKILL)
	instance.awaitExit(time.Second)
	instance.storeProxy.listener.Close()
	instance.viewProxy.listener.Close()
	instance.heartbeatLink.socket.Close()
}

func (instance *instance) endpoint(port uint16) string {
	return netip.AddrPortFrom(instance.address, port).String()
}

// writeSettings writes the settings file of the process; seeds are the addresses of
// the peers that it contacts first.
func (instance *instance) writeSettings(seeds []string) error {
	settings := map[string]any{
		"instance": instance.name, "failure_domain": instance.failureDomain, "address": instance.address.String(),
		"advertised_address": instance.heartbeatLink.socket.LocalAddr().(*net.UDPAddr).IP.String(),
		"packet_address":     instance.endpoint(packetPort), "ready_address": instance.endpoint(readyPort),
		"control_address": instance.endpoint(controlPort), "peer_ports": []int{peerPort}, "seeds": seeds,
		"store_address": instance.storeProxy.listener.Addr().String(), "stop_timeout": "6s",
		"prefer_own_domain": true, "reset_silent": true, "admission": map[string]any{"enabled": true},
		"warm_up_excess": warmUpExcess, "warm_up_slack": warmUpSlack,
		"log": map[string]any{"format": "json", "verbosity": 1},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return os.WriteFile(instance.filePath("json"), content, 0o600)
}

func (instance *instance) filePath(extension string) string {
	return filepath.Join(instance.directory, instance.name+"."+extension)
}

// start starts a process that appends to the instance's log file.
func (instance *instance) start() error {
	log, err := os.OpenFile(instance.filePath("log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(instance.binary, "serve", "--settings", instance.filePath("json"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", instance.name)
	}
	exited := make(chan struct{})
	instance.mutex.Lock()
	instance.command, instance.exited, instance.isEnded, instance.highestVersion = command, exited, false, 0
	instance.mutex.Unlock()
	go func() {
		command.Wait() // an unexpected exit is visible in the log and to callers
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process, if it is still running.
func (instance *instance) signal(signal syscall.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		instance.isEnded = true
	}
	select {
	case <-instance.exited:
	default:
		instance.command.Process.Signal(signal)
	}
}

// hasEnded reports once whether the process has ended without being told.
func (instance *instance) hasEnded() bool {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	select {
	case <-instance.exited:
		wasEnded := instance.isEnded
		instance.isEnded = true
		return !wasEnded
	default:
		return false
	}
}

// awaitExit waits until the process has exited, and kills it after timeout.
func (instance *instance) awaitExit(timeout time.Duration) {
	instance.mutex.Lock()
	exited := instance.exited
	instance.mutex.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		instance.signal(syscall.SIGKILL)
		<-exited
	}
}

// readVersion reads the configuration version in force. It reports a decrease if the
// same process has reported a higher version before; previous is the highest one.
func (instance *instance) readVersion() (previous, current uint64, decreased bool) {
	instance.mutex.Lock()
	command := instance.command
	instance.mutex.Unlock()
	client := &http.Client{Timeout: stateTimeout}
	response, err := client.Get(fmt.Sprintf("http://%s/state", instance.endpoint(controlPort)))
	if err != nil {
		return 0, 0, false // the process is down or paused
	}
	defer response.Body.Close()
	var state struct {
		Configuration uint64 `json:"configuration_version"`
	}
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return 0, 0, false
	}
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if instance.command != command {
		return 0, 0, false // the process was restarted during the request
	}
	previous = instance.highestVersion
	instance.highestVersion = max(previous, state.Configuration)
	return previous, state.Configuration, state.Configuration < previous
}
