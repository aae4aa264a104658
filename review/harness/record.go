package main

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"
)

// run is one run of a script.
type run struct {
	store       *store
	router      *router
	daemons     []*daemon
	temporary   string
	hostNumber  int
	packetPort  uint16
	readyPort   uint16
	controlPort uint16
	peerPort    uint16
	coldRate    float64       // cold_per_s of all services; 0 if none is stated
	slots       int           // of each host
	queueLength int           // of each host
	drainTime   time.Duration // drain_ms, and config_apply_ms, which is the same on each sheet
	rule        string        // of the case
	deadline    time.Duration
	startedAt   time.Time

	mutex    sync.Mutex
	output   io.Writer
	file     *os.File
	isBroken bool
	hosts    map[[2]netip.AddrPort][]*host   // that took a flow's SYN
	opened   map[[2]netip.AddrPort]time.Time // when the client sent the first SYN of a flow
	work     map[string]string               // what became of each request at a host
	counts   map[string]int                  // of the ways in which requests ended
}

// note writes a line to the record.
func (run *run) note(format string, arguments ...any) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.write(format, arguments...)
}

func (run *run) write(format string, arguments ...any) {
	fmt.Fprintf(run.output, "%8.3f %s\n", time.Since(run.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// broken records that a rule was broken. Only the rule of the case counts; what another rule would say
// is noted, as its excuses are not checked.
func (run *run) broken(rule, format string, arguments ...any) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.breaks(rule, format, arguments...)
}

// breaks is broken; the mutex must be held.
func (run *run) breaks(rule, format string, arguments ...any) {
	verdict := "noted, not judged"
	if rule == run.rule {
		run.isBroken, verdict = true, "IS BROKEN"
	}
	run.write("%s %s: %s", rule, verdict, fmt.Sprintf(format, arguments...))
}

func (run *run) hostTook(taker *host, key [2]netip.AddrPort) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.hosts[key] = append(run.hosts[key], taker)
	run.write("host %s takes the SYN of %s", taker.id, key[0])
}

// opening records that the client is about to send the first SYN of a flow.
func (run *run) opening(key [2]netip.AddrPort) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.opened[key] = time.Now()
}

// openedAt returns when the client sent the first SYN of a flow.
func (run *run) openedAt(key [2]netip.AddrPort) time.Time {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return run.opened[key]
}

func (run *run) sent(id string, key [2]netip.AddrPort, work time.Duration) {
	run.note("client sends request %s of %d ms on flow %s to %s", id, work.Milliseconds(), key[0], key[1])
}

func (run *run) began(runner *host, id string, work time.Duration) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if before, ok := run.work[id]; ok {
		run.breaks("UNASKED", "request %s runs again, before: %s", id, before)
	}
	run.work[id] = "running at " + runner.id
	run.write("host %s runs request %s for %d ms", runner.id, id, work.Milliseconds())
}

func (run *run) finished(runner *host, id string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.work[id] = "run by " + runner.id
	run.write("host %s has run request %s", runner.id, id)
}

func (run *run) ended(id string, key [2]netip.AddrPort, outcome string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.write("request %s on flow %s ended: %s", id, key[0], outcome)
	kind := outcome
	if len(kind) > 12 {
		kind = kind[:12]
	}
	run.counts[kind]++
}

// resetOpenFlow judges a reset that a client got on a flow that it has opened.
func (run *run) resetOpenFlow(id string, flow *clientFlow, received *packet) string {
	if received.sum != 0 {
		return "reset by its host"
	}
	if distance := int64(int32(received.seq - flow.expected)); max(distance, -distance) > resetWindow {
		return "reset by the system with a seq outside its window"
	}
	run.mutex.Lock()
	takers := run.hosts[flow.key]
	state := run.work[id]
	run.mutex.Unlock()
	for _, taker := range takers {
		if taker.holds(flow.key) {
			run.broken("FLOW", "request %s, flow %s: a reset that its host did not send; host %s lives and holds the flow; the request is %s", id, flow.key[0], taker.id, state)
			return "reset by the system although its host lives"
		}
	}
	return "reset by the system"
}
