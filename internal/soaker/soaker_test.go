package soaker

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/internal/rehearser"
)

// The checker is checked: each of these plays a program with one fault in the
// place of the instances, and the soak has to say what it does.

// forwardFunc is a system of one function.
type forwardFunc func(content []byte, key [2]netip.AddrPort)

func (forwardFunc forwardFunc) forward(content []byte, key [2]netip.AddrPort) {
	forwardFunc(content, key)
}

// stage is a soak without instances: one caller and two servers.
type stage struct {
	*soak
	desk, reports *server
}

func newStage(t *testing.T) *stage {
	t.Helper()
	soak := newSoak(Settings{Seed: 1, CheckTimeLimits: true})
	soak.packetPort = rehearser.FreeAddress().Port()
	stage := &stage{soak: soak}
	var err error
	stage.desk, err = soak.addServer("desk-sync")
	assert.NilError(t, err)
	stage.reports, err = soak.addServer("report-desk")
	assert.NilError(t, err)
	built, err := newCaller(soak, address(3, 0))
	assert.NilError(t, err)
	soak.callers = []*caller{built}
	t.Cleanup(func() {
		built.socket.Close()
		stage.desk.end()
		stage.reports.end()
	})
	return stage
}

// deliver hands a caller's packet to a server as an instance does.
func (stage *stage) deliver(content []byte, server *server) {
	datagram := binary.BigEndian.AppendUint64(nil, server.identity)
	stage.callers[0].socket.WriteToUDPAddrPort(append(datagram, content...), server.socket.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort())
}

// reset sends a caller a reset of the system's own.
func (stage *stage) reset(key [2]netip.AddrPort) {
	reset := packet{source: key[1], destination: key[0], flags: flagRST}
	stage.callers[0].socket.WriteToUDPAddrPort(reset.encode(), netip.AddrPortFrom(key[0].Addr(), stage.packetPort))
}

func (stage *stage) violations() string {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	return strings.Join(stage.report.Violations, "\n")
}

func TestASystemWithoutFaultsIsClean(t *testing.T) {
	stage := newStage(t)
	stage.router = forwardFunc(func(content []byte, _ [2]netip.AddrPort) { stage.deliver(content, stage.desk) })
	stage.callers[0].call(mainRoute, 3, 0)
	assert.Equal(t, stage.violations(), "")
	assert.Equal(t, stage.served(), 3)
}

func TestTheCheckerFindsFaultsOfTheSystem(t *testing.T) {
	cases := []struct {
		name   string
		want   string
		system func(stage *stage) forwardFunc
	}{
		{"a reset of an open flow", "was reset by the system", func(stage *stage) forwardFunc {
			requests := 0
			return func(content []byte, key [2]netip.AddrPort) {
				stage.deliver(content, stage.desk)
				if len(content) > headLength {
					requests++
				}
				if requests == 2 {
					stage.reset(key)
				}
			}
		}},
		{"a flow to a server of another service", "of service report-desk", func(stage *stage) forwardFunc {
			return func(content []byte, _ [2]netip.AddrPort) { stage.deliver(content, stage.reports) }
		}},
		{"changed data", "that no caller wrote", func(stage *stage) forwardFunc {
			return func(content []byte, _ [2]netip.AddrPort) {
				content[16] ^= 1
				stage.deliver(content, stage.desk)
			}
		}},
		{"a new flow to a server that left", "after it began to leave", func(stage *stage) forwardFunc {
			stage.calmAt = time.Now().Add(-time.Hour)
			stage.desk.leavingAt = time.Now().Add(-time.Minute)
			return func(content []byte, _ [2]netip.AddrPort) { stage.deliver(content, stage.desk) }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stage := newStage(t)
			stage.router = c.system(stage)
			stage.callers[0].call(mainRoute, 3, 0)
			assert.Assert(t, strings.Contains(stage.violations(), c.want), "violations: %q", stage.violations())
		})
	}
}

func TestTheCheckerFindsARemovedRouteThatIsServed(t *testing.T) {
	stage := newStage(t)
	stage.calmAt = time.Now().Add(-time.Hour)
	stage.extraGone = time.Now().Add(-time.Minute)
	stage.router = forwardFunc(func(content []byte, _ [2]netip.AddrPort) { stage.deliver(content, stage.desk) })
	stage.callers[0].call(extraRoute, 1, 0)
	assert.Assert(t, strings.Contains(stage.violations(), "route that was removed"))
}

func TestTheCheckerFindsARequestThatRunsTwice(t *testing.T) {
	stage := newStage(t)
	stage.ran("a/0", stage.desk)
	stage.ran("a/0", stage.reports)
	assert.Assert(t, strings.Contains(stage.violations(), "request a/0 ran at"))
}

func TestTheCheckerFindsAFlowThatMoved(t *testing.T) {
	flow := &callerFlow{caller: newStage(t).callers[0], server: "i-1"}
	flow.take("x", packet{data: []byte("answer to x by i-2")})
	assert.Assert(t, strings.Contains(strings.Join(flow.caller.soak.report.Violations, ""), "went from server i-1 to i-2"))
}

// TestAShortSoak judges no times, so its verdict does not depend on the machine.
func TestAShortSoak(t *testing.T) {
	directory := t.TempDir()
	assert.NilError(t, rehearser.Build(t.Context(), "../..", directory))
	report, err := Run(context.Background(), Settings{
		Seed: 7, Duration: 8 * time.Second, Instances: 3, Callers: 2,
		Binary: filepath.Join(directory, "pimentowind"), Directory: directory,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Violations), 0, "%v", report)
	assert.Assert(t, report.Served > 0)
}

func TestTheCheckerFindsAnInstanceThatGoesBackAVersion(t *testing.T) {
	stage := newStage(t)
	instance := &instance{name: "lb-0", address: address(9, 0)}
	listener, err := net.Listen("tcp4", instance.at(controlPort))
	assert.NilError(t, err)
	versions := []int{3, 5, 4, 5}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(writer, `{"configuration_version": %d}`, versions[0])
		versions = append(versions[1:], versions[0])
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	stage.instances = append(stage.instances, instance)
	ctx, cancel := context.WithCancel(t.Context())
	go stage.watchVersions(ctx)
	for !strings.Contains(stage.violations(), "lb-0 went back from version 5 to 4") {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
}
