package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// withoutServers returns the sheet without the first backend servers of each service.
func withoutServers(sheet parser.Sheet, servers int) parser.Sheet {
	for i := range sheet.Services {
		sheet.Services[i].BackendServers = sheet.Services[i].BackendServers[servers:]
	}
	return sheet
}

// Guards against review/7 in balance: openings, and copies of openings that no server has accepted, that go to a
// server of weight 0 once the sheet lists it as leaving or no more.
func TestServerWithoutWeightGetsNoOpening(t *testing.T) {
	cases := []struct {
		name      string
		sheet     parser.Sheet
		isRefused bool
	}{
		{"one server leaves", testSheet(1), false},
		{"all servers leave", testSheet(1, 2, 3, 4), true},
		{"one server is gone", withoutServers(testSheet(), 1), false},
		{"all servers are gone", withoutServers(testSheet(), 4), true},
		{"the service is gone", parser.Sheet{FailureDomains: []string{"a", "b", "c"}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newStartedFleet(t)
			const flows = 60
			for port := 1; port <= flows; port++ {
				fleet.send("a1", openingPacket(port))
			}
			fleet.applySheet(2, c.sheet)
			fleet.run(3 * time.Second)
			for port := 1; port <= 2*flows; port++ { // the second half are first openings
				verdict := fleet.send(fleet.names[port%5], openingPacket(port))
				if !c.isRefused {
					assert.Equal(t, verdict.Kind, ToBackendServer)
					assert.Assert(t, verdict.Address != testServer(1, parser.Active).Address, "port %d", port)
					continue
				}
				assert.Equal(t, verdict.Kind, Refuse, "port %d", port)
				assert.Equal(t, verdict.Refusal.Reason, framer.ReasonNoBackendServer)
			}
			fleet.applySheet(3, testSheet(2))
			fleet.run(3 * time.Second)
			for port := 1; port <= 2*flows; port++ { // refused callers may come back from the same port
				verdict := fleet.send(fleet.names[port%5], openingPacket(port))
				assert.Equal(t, verdict.Kind, ToBackendServer)
				fleet.accept("b1", openingPacket(port).Tuple, verdict.Address)
				for _, name := range fleet.names {
					assert.Equal(t, fleet.send(name, dataPacket(port)).Address, verdict.Address, "port %d", port)
				}
			}
		})
	}
}
