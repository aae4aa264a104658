package director

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// freePort returns a loopback port that nothing listens on.
func freePort(t *testing.T) uint16 {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort().Port()
}

// syncBuffer is a buffer that a running instance writes to.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (syncBuffer *syncBuffer) Write(content []byte) (int, error) {
	syncBuffer.mutex.Lock()
	defer syncBuffer.mutex.Unlock()
	return syncBuffer.buffer.Write(content)
}

func (syncBuffer *syncBuffer) contains(text string) poll.Check {
	return func(poll.LogT) poll.Result {
		syncBuffer.mutex.Lock()
		defer syncBuffer.mutex.Unlock()
		if strings.Contains(syncBuffer.buffer.String(), text) {
			return poll.Success()
		}
		return poll.Continue("the log lacks %q", text)
	}
}

func writeSettings(t *testing.T, file string, settings map[string]any) {
	t.Helper()
	content, err := json.Marshal(settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, content, 0o600))
}

func sampleSettings(t *testing.T) map[string]any {
	t.Helper()
	at := func() string { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), freePort(t)).String() }
	return map[string]any{
		"instance": "lb-1", "failure_domain": "dakar-1", "address": "127.0.0.1",
		"packet_address": at(), "ready_address": at(), "control_address": at(),
		"peer_ports": []uint16{freePort(t)}, "store_address": at(), "stop_timeout": "2s",
		"log": map[string]any{"format": "json", "verbosity": 1},
	}
}

func TestAHangupReloadsTheSettingsAndAStopEndsTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	settings := sampleSettings(t)
	writeSettings(t, file, settings)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := &syncBuffer{}
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, file, log) }()
	poll.WaitOn(t, log.contains("instance started"))

	settings["peer_ports"] = []uint16{1}
	writeSettings(t, file, settings)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	poll.WaitOn(t, log.contains(`"at_next_start":["peer_ports"]`))

	settings["instance"] = ""
	writeSettings(t, file, settings)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	poll.WaitOn(t, log.contains("instance: must not be empty"))

	response, err := http.Get(fmt.Sprintf("http://%s/-/ready", settings["ready_address"]))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	stop()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not stop")
	}
	poll.WaitOn(t, log.contains("instance stopped"))
}

func TestAChangeWithoutASignalIsFound(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	settings := sampleSettings(t)
	writeSettings(t, file, settings)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := &syncBuffer{}
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, file, log) }()
	poll.WaitOn(t, log.contains("instance started"))
	settings["seeds"] = []string{"127.0.0.1:1"}
	writeSettings(t, file, settings)
	assert.NilError(t, os.Chtimes(file, time.Time{}, time.Now().Add(time.Hour)))
	poll.WaitOn(t, log.contains("settings loaded again"))
	stop()
	assert.NilError(t, <-ended)
}
