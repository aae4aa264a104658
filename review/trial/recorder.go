package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recorder writes the record of a run and collects what broke the rule.
type recorder struct {
	mutex     sync.Mutex
	startedAt time.Time
	file      *os.File
	buffer    *bufio.Writer
	broken    []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{startedAt: time.Now(), file: file, buffer: bufio.NewWriter(file)}, nil
}

// note adds a line to the record.
func (recorder *recorder) note(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.write(fmt.Sprintf(format, arguments...))
}

// breaks adds a line that says how the rule was broken.
func (recorder *recorder) breaks(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	line := "BROKEN: " + fmt.Sprintf(format, arguments...)
	recorder.broken = append(recorder.broken, line)
	recorder.write(line)
}

// write writes a line with the time since the start. The mutex must be held.
func (recorder *recorder) write(line string) {
	fmt.Fprintf(recorder.buffer, "%8.3f %s\n", time.Since(recorder.startedAt).Seconds(), line)
}

// close writes the result and returns how often the rule was broken.
func (recorder *recorder) close() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.write(fmt.Sprintf("the rule was broken %d times", len(recorder.broken)))
	recorder.buffer.Flush()
	recorder.file.Close()
	return len(recorder.broken)
}

// hashFlow returns a hash of the addresses and ports of a flow.
func hashFlow(source, destination netip.AddrPort) uint64 {
	return xxhash.Sum64String(source.String() + ">" + destination.String())
}
