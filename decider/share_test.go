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

// Guards against review/7 in balance: openings that go to a server of weight 0 once the sheet lists
// it as leaving or no more. A copy still follows the first one, which its server may have accepted.
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
			first := fleet.send("a1", openingPacket(1))
			fleet.applySheet(2, c.sheet)
			fleet.run(3 * time.Second)
			assert.Equal(t, fleet.send("b1", openingPacket(1)).Address, first.Address)
			for port := 2; port <= 60; port++ {
				verdict := fleet.send(fleet.names[port%5], openingPacket(port))
				if !c.isRefused {
					assert.Equal(t, verdict.Kind, ToBackendServer)
					assert.Assert(t, verdict.Address != testServer(1, parser.Active).Address, "port %d", port)
					continue
				}
				assert.Equal(t, verdict.Kind, Refuse, "port %d", port)
				assert.Equal(t, verdict.Refusal.Reason, framer.ReasonNoBackendServer)
			}
		})
	}
}
