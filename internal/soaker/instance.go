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

// Ports are the same on every instance; each has an address of its own.
const (
	packetPort  = 21001
	readyPort   = 21002
	controlPort = 21003
	peerPort    = 21004
	storePort   = 21005
)

// stateTimeout bounds a question for an instance's state.
const stateTimeout = 500 * time.Millisecond

// instance is one process of the product.
type instance struct {
	name    string
	address netip.Addr
	binary  string
	files   string // directory for settings and log
	domain  int    // number of the failure domain
	proxy   *proxy // to the store
	views   *proxy // from other instances that fetch its view
	link    *link  // from other instances' heartbeats
	ready   bool   // for the router, under its mutex

	life sync.Mutex // held while the process is ended and started again

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	version uint64 // of the configuration, as last seen of this process
}

// interpose puts proxies between the instance and the store, and between it and the others.
func (instance *instance) interpose(number int, store string) error {
	var err error
	if instance.proxy, err = newProxy(netip.AddrPortFrom(address(2, number), storePort), store); err != nil {
		return errors.Wrap(err, "proxy to the store")
	}
	if instance.views, err = newProxy(netip.AddrPortFrom(address(6, number), controlPort), instance.at(controlPort)); err != nil {
		return errors.Wrap(err, "proxy between instances")
	}
	peer := netip.AddrPortFrom(instance.address, peerPort)
	if instance.link, err = newLink(netip.AddrPortFrom(address(6, number), peerPort), peer); err != nil {
		return errors.Wrap(err, "link between instances")
	}
	return nil
}

// close ends the process and the proxies around it.
func (instance *instance) close() {
	instance.signal(syscall.SIGKILL)
	instance.await(time.Second)
	instance.proxy.listener.Close()
	instance.views.listener.Close()
	instance.link.socket.Close()
}

func (instance *instance) at(port uint16) string {
	return netip.AddrPortFrom(instance.address, port).String()
}

func (instance *instance) writeSettings(seeds []string) error {
	settings := map[string]any{
		"instance": instance.name, "failure_domain": fmt.Sprintf("domain-%d", instance.domain), "address": instance.address.String(),
		"advertised_address": instance.link.socket.LocalAddr().(*net.UDPAddr).IP.String(),
		"packet_address":     instance.at(packetPort), "ready_address": instance.at(readyPort),
		"control_address": instance.at(controlPort), "peer_ports": []int{peerPort}, "seeds": seeds,
		"store_address": instance.proxy.listener.Addr().String(), "stop_timeout": "6s",
		"log": map[string]any{"format": "json", "verbosity": 1},
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return os.WriteFile(instance.file("json"), content, 0o600)
}

func (instance *instance) file(kind string) string {
	return filepath.Join(instance.files, instance.name+"."+kind)
}

// start starts a process; its log is appended to the instance's file.
func (instance *instance) start() error {
	log, err := os.OpenFile(instance.file("log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(instance.binary, "serve", "--settings", instance.file("json"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", instance.name)
	}
	ended := make(chan struct{})
	instance.mutex.Lock()
	instance.command, instance.ended, instance.version = command, ended, 0
	instance.mutex.Unlock()
	go func() {
		command.Wait() // how it ended shows in its log and in what callers see
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this instance started last.
func (instance *instance) signal(signal syscall.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	select {
	case <-instance.ended:
	default:
		instance.command.Process.Signal(signal)
	}
}

// await waits until the process has ended, and kills it after a limit.
func (instance *instance) await(limit time.Duration) {
	instance.mutex.Lock()
	ended := instance.ended
	instance.mutex.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		instance.signal(syscall.SIGKILL)
		<-ended
	}
}

// look reads the version in force; it reports one that is lower than before in the same process.
func (instance *instance) look() (before, now uint64, back bool) {
	instance.mutex.Lock()
	command := instance.command
	instance.mutex.Unlock()
	client := &http.Client{Timeout: stateTimeout}
	response, err := client.Get(fmt.Sprintf("http://%s/state", instance.at(controlPort)))
	if err != nil {
		return 0, 0, false // it is down or paused
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
		return 0, 0, false // it was started again meanwhile
	}
	before = instance.version
	instance.version = max(before, state.Configuration)
	return before, state.Configuration, state.Configuration < before
}
