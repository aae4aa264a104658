package director

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentowind/pimentowind/internal/rehearser"
	"github.com/pimentowind/pimentowind/platform"
)

// syncBuffer collects the log of a running instance; it is safe for concurrent use.
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
		return poll.Continue("the log does not contain %q", text)
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
	freeAddress := func() string { return rehearser.FreeAddress().String() }
	return map[string]any{
		"instance": "lb-1", "failure_domain": "dakar-1", "address": "127.0.0.1",
		"packet_address": freeAddress(), "ready_address": freeAddress(), "control_address": freeAddress(),
		"peer_ports": []uint16{rehearser.FreeAddress().Port()}, "store_address": freeAddress(), "stop_timeout": "2s",
		"log": map[string]any{"format": "json", "verbosity": 1},
	}
}

// process is an instance that runs inside the test process.
type process struct {
	file     string
	settings map[string]any
	log      *syncBuffer
	stop     func() error // stops the instance and returns the result of Run
}

// startProcess starts an instance and waits for its log line about the start.
func startProcess(t *testing.T, settings map[string]any) *process {
	t.Helper()
	process := &process{file: filepath.Join(t.TempDir(), "settings.json"), settings: settings, log: &syncBuffer{}}
	writeSettings(t, process.file, settings)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, process.file, process.log) }()
	process.stop = sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	t.Cleanup(func() { assert.NilError(t, process.stop()) })
	poll.WaitOn(t, process.log.contains("instance started"))
	return process
}

func TestSIGHUPReloadsSettingsAndCancelStopsInstance(t *testing.T) {
	process := startProcess(t, sampleSettings(t))
	hangup := func() { assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	process.settings["peer_ports"] = []uint16{1}
	process.settings["processor_share"] = 0.5
	writeSettings(t, process.file, process.settings)
	hangup()
	poll.WaitOn(t, process.log.contains(`"at_next_start":["peer_ports","processor_share"]`))

	process.settings["instance"] = ""
	writeSettings(t, process.file, process.settings)
	hangup()
	poll.WaitOn(t, process.log.contains("instance: must not be empty"))

	response, err := http.Get(fmt.Sprintf("http://%s%s", process.settings["ready_address"], platform.ReadyPath))
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, process.stop())
	poll.WaitOn(t, process.log.contains("instance stopped"))
}

func TestChangedSettingsFileIsReloadedWithoutSignal(t *testing.T) {
	process := startProcess(t, sampleSettings(t))
	process.settings["seeds"] = []string{"127.0.0.1:1"}
	writeSettings(t, process.file, process.settings)
	assert.NilError(t, os.Chtimes(process.file, time.Time{}, time.Now().Add(time.Hour)))
	poll.WaitOn(t, process.log.contains("settings reloaded"))
}
