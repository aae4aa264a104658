package soaker

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCheckerReportsOpenings(t *testing.T) {
	key := [2]netip.AddrPort{mainRoute, reportRoute}
	second := time.Now().Add(-time.Hour)
	cases := []struct {
		name, want string
		run        func(system *testSystem, at func(milliseconds int) time.Time, lb *instance)
	}{
		{"refused and sent", "reached server i-00000002 after it was refused", func(system *testSystem, _ func(int) time.Time, _ *instance) {
			system.checkRefusal(key)
			system.checkReception(key, system.reportServer, packet{})
		}},
		{"sent and refused", "was refused after it reached server i-00000002", func(system *testSystem, _ func(int) time.Time, _ *instance) {
			system.checkReception(key, system.reportServer, packet{})
			system.checkRefusal(key)
		}},
		{"refused with room", "after a server last shed a request", func(system *testSystem, _ func(int) time.Time, _ *instance) {
			system.checkRefusal(key)
		}},
		{"urgent opening overtaken", "refused an urgent opening", func(system *testSystem, at func(int) time.Time, lb *instance) {
			system.openings[key] = &opening{sentAt: at(0), refusedAt: at(100), route: reportRoute, instances: []*instance{lb}}
			system.openings[[2]netip.AddrPort{}] = &opening{sentAt: at(10), receivedAt: at(20), server: "i-1", route: bulkRoute, instances: []*instance{lb}}
			system.checkOrder()
		}},
		{"held for too long", "held the opening", func(system *testSystem, at func(int) time.Time, lb *instance) {
			system.openings[key].sentAt = at(0)
			system.checkReception(key, system.reportServer, packet{})
			system.openings[[2]netip.AddrPort{}] = &opening{sentAt: at(10), receivedAt: at(20), server: "i-1", route: mainRoute, instances: []*instance{lb}}
			system.checkOrder()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			system := newTestSystem(t)
			system.lastFaultEnd = second
			system.reportServer.coldUntil = time.Time{}
			lb := &instance{name: "lb-0"}
			system.openings[key] = &opening{sentAt: time.Now(), route: reportRoute, instances: []*instance{lb}}
			c.run(system, func(milliseconds int) time.Time { return second.Add(time.Duration(milliseconds) * time.Millisecond) }, lb)
			assert.Assert(t, strings.Contains(system.violations(), c.want), "violations: %q", system.violations())
		})
	}
}

func TestServerShedsRequestsBeyondItsSlots(t *testing.T) {
	system := newTestSystem(t)
	executed := 0
	for range 3 * slots * int(queueTime/processingTime) {
		if answer := system.deskServer.execute(netip.AddrPort{}.String()); string(answer.data) != shedAnswer(system.deskServer.name) {
			executed++
		}
	}
	assert.Equal(t, executed, slots*(1+int(queueTime/processingTime)))
}
