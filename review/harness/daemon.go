package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The files of the repository that say how a process is started.
const (
	templateFile = "deploy/settings.json"
	program      = "target/pimentowind" // as deploy/system.toml has it
	role         = "serve"
	bootVariable = "PIMENTOWIND_BOOT"
)

// daemon is one process of the system.
type daemon struct {
	run        *run
	name, zone string
	address    netip.Addr
	command    *exec.Cmd
	inRotation bool // guarded by the router's mutex
}

// start writes the settings and starts the process.
func (daemon *daemon) start() error {
	settings, err := daemon.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(daemon.run.temporary, daemon.name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(daemon.run.temporary, daemon.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	daemon.command = exec.Command(program, role)
	daemon.command.Env = append(os.Environ(), bootVariable+"="+file)
	daemon.command.Stdout, daemon.command.Stderr = log, log
	return daemon.command.Start()
}

// stop kills the process and waits for its end.
func (daemon *daemon) stop() {
	if daemon.command != nil && daemon.command.Process != nil {
		daemon.command.Process.Signal(syscall.SIGKILL)
		daemon.command.Wait()
	}
}

// settings fills in the template of the deploy file with the values of a small deployment.
func (daemon *daemon) settings() (string, error) {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return "", err
	}
	endpoint := func(port uint16) string { return netip.AddrPortFrom(daemon.address, port).String() }
	values := map[string]any{
		"node_name": daemon.name, "zone": daemon.zone, "ip": daemon.address.String(),
		"listen.datagram_addr": endpoint(daemon.run.packetPort), "listen.ready_addr": endpoint(daemon.run.readyPort), "listen.control": endpoint(daemon.run.controlPort),
		"internal_ports": []uint16{daemon.run.peerPort, daemon.run.peerPort + 1}, "seeds": daemon.run.seeds(),
		"limits.cpu_share": 0.3, "platform.address": daemon.run.store.address,
		"bounds.grace_s": 6, "bounds.drain_ms": daemon.run.drainTime.Milliseconds(), "bounds.config_apply_ms": daemon.run.drainTime.Milliseconds(),
	}
	if daemon.run.coldRate > 0 {
		values["bounds.evacuate_ms"], values["bounds.cold_over"], values["bounds.cold_slack"] = 5000, coldOver, coldSlack
	}
	text := string(template)
	sections := regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	text = sections.ReplaceAllStringFunc(text, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	missing := ""
	text = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		name := strings.TrimSuffix(strings.Trim(placeholder, "{}"), "|json")
		value, ok := values[name]
		if !ok {
			missing = name
		}
		content, _ := json.Marshal(value)
		return string(content)
	})
	if missing != "" || strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has placeholders that are not known here: %s", missing)
	}
	return text, nil
}

// awaitReady waits until a number of daemons is in rotation.
func (run *run) awaitReady(count int, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(probeInterval / 5) {
		if run.router.readyCount() >= count {
			return nil
		}
	}
	return fmt.Errorf("%d of %d daemons are ready", run.router.readyCount(), count)
}
