package decider

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

func TestAllInstancesForwardFlowToSameServer(t *testing.T) {
	fleet := newStartedFleet(t)
	for port := 1; port <= 200; port++ {
		first := fleet.send(fleet.names[port%5], openingPacket(port))
		assert.Equal(t, first.Kind, ToBackendServer)
		fleet.accept(fleet.names[(port+1)%5], openingPacket(port).Tuple, first.Address)
		for _, name := range fleet.names {
			assert.Equal(t, fleet.send(name, dataPacket(port)).Address, first.Address)
		}
	}
}

func TestFlowsSurviveDrain(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(200)
	fleet.applySheet(2, testSheet(2))
	fleet.run(4 * time.Second)
	leaver := testServer(2, parser.Leaving).Address
	for port := 1; port <= 200; port++ {
		for _, name := range fleet.names {
			assert.Equal(t, fleet.send(name, dataPacket(port)).Address, servers[port].Address)
		}
		assert.Assert(t, fleet.send("c1", openingPacket(1000+port)).Address != leaver, "new flow on a leaving server")
	}
}

func TestFlowsSurviveLossOfHomeAndDrain(t *testing.T) {
	for _, failed := range []string{"a1", "a2", "b1", "b2", "c1"} {
		t.Run(failed, func(t *testing.T) {
			fleet := newStartedFleet(t)
			servers := fleet.openFlows(100)
			fleet.applySheet(2, testSheet(3))
			fleet.stopped[failed] = true
			fleet.run(6 * time.Second)
			fleet.checkFlows(servers)
		})
	}
}

func TestRepeatedOpeningGoesToSameServer(t *testing.T) {
	fleet := newStartedFleet(t)
	for port := 1; port <= 60; port++ {
		first := fleet.send("a1", openingPacket(port))
		second := fleet.send("b2", openingPacket(port))
		assert.Equal(t, first.Address, second.Address)
	}
}

func TestRepeatedOpeningIsNotRefusedWhenServersAreFull(t *testing.T) {
	fleet := newStartedFleet(t)
	var forwarded []int
	refused := 0
	for port := 1; port <= 2400; port++ {
		verdict := fleet.send("a1", openingPacket(port))
		switch verdict.Kind {
		case ToBackendServer:
			forwarded = append(forwarded, port)
		case Refuse:
			refused++
			assert.Equal(t, verdict.Refusal.Reason, framer.ReasonBackendServersFull)
			assert.Assert(t, verdict.Refusal.RetryAfter > 0)
		}
	}
	assert.Assert(t, refused > 0)
	for _, port := range forwarded {
		assert.Equal(t, fleet.send("b1", openingPacket(port)).Kind, ToBackendServer)
	}
}

func TestNonIdempotentDatagramReachesOneServer(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(*fleet)
	}{
		{"nothing between the copies", func(*fleet) {}},
		{"a drain", func(fleet *fleet) { fleet.applySheet(2, testSheet(1)); fleet.run(3 * time.Second) }},
		{"the failure of an instance", func(fleet *fleet) { fleet.stopped["a2"] = true; fleet.run(3 * time.Second) }},
		{"a drain and a failure", func(fleet *fleet) {
			fleet.applySheet(2, testSheet(1))
			fleet.stopped["a2"] = true
			fleet.run(5 * time.Second)
		}},
		{"a join and a drain", func(fleet *fleet) {
			fleet.add("c2")
			fleet.run(2 * time.Second)
			fleet.applySheet(2, testSheet(1))
			fleet.run(3 * time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newStartedFleet(t)
			first := map[int]Verdict{}
			for port := 1; port <= 80; port++ {
				first[port] = fleet.send("b1", logPacket(port))
				assert.Equal(t, first[port].Kind, ToBackendServer)
			}
			c.disturb(fleet)
			for port := 1; port <= 80; port++ {
				second := fleet.send("c1", logPacket(port))
				switch second.Kind {
				case ToBackendServer:
					assert.Equal(t, second.Address, first[port].Address)
				case Refuse:
					assert.Equal(t, second.Refusal.Reason, framer.ReasonOutcomeUnknown)
				}
			}
		})
	}
}

func TestLatePacketsOfEarlierFlowAreDropped(t *testing.T) {
	fleet := newStartedFleet(t)
	first := fleet.send("a1", openingPacket(1))
	fleet.accept("a2", openingPacket(1).Tuple, first.Address)
	for number := 1; number <= 4; number++ {
		other := testServer(number, parser.Active).Address
		if other == first.Address {
			continue
		}
		late := framer.Packet{Tuple: openingPacket(1).Tuple.Reverse(), Flags: framer.FlagACK, PayloadLength: 5, TunnelSource: other}
		assert.Equal(t, fleet.send("b1", late).Kind, Drop)
	}
}

func TestPacketsOfUnknownServiceOrServerAreDropped(t *testing.T) {
	fleet := newStartedFleet(t)
	unknown := openingPacket(1)
	unknown.Tuple.DestinationPort = 444
	verdict := fleet.send("a1", unknown)
	assert.Equal(t, verdict.Kind, Drop)
	assert.Equal(t, verdict.Reason, CountUnknownService)

	first := fleet.send("a1", openingPacket(1))
	answer := framer.Packet{Tuple: openingPacket(1).Tuple.Reverse(), Flags: framer.FlagACK, TunnelSource: testServer(11, parser.Active).Address}
	assert.Equal(t, fleet.send("a1", answer).Reason, CountUnknownBackendServer, "a server of another service answers")
	answer.TunnelSource = first.Address
	assert.Equal(t, fleet.send("a1", answer).Kind, ToCaller)
}

func TestJoinerIntegratesBeforeItDecides(t *testing.T) {
	fleet := newStartedFleet(t)
	joiner := fleet.add("c2")
	joiner.Tick(fleet.now)
	assert.Equal(t, joiner.Status().Integrated, false)
	fleet.run(time.Second)
	assert.Equal(t, joiner.Status().Integrated, true)
	assert.Equal(t, joiner.Status().SheetVersion, uint64(1), "the sheet is received from the others")
}

func TestLoneInstanceServesAfterGracePeriod(t *testing.T) {
	fleet := newFleet(t, "a1")
	fleet.applySheet(1, testSheet())
	fleet.run(startupGracePeriod - 10*testTick)
	assert.Equal(t, fleet.send("a1", openingPacket(1)).Kind, Drop)
	fleet.run(time.Second)
	assert.Equal(t, fleet.send("a1", openingPacket(1)).Kind, ToBackendServer)
}

func TestPausedInstanceDoesNotDecideOnResume(t *testing.T) {
	fleet := newStartedFleet(t)
	fleet.stopped["b1"] = true
	fleet.run(2 * time.Second)
	fleet.applySheet(2, testSheet(1))
	fleet.run(4 * time.Second)
	fleet.stopped["b1"] = false
	verdict := fleet.deciders["b1"].HandlePacket(fleet.now, &framer.Packet{Tuple: openingPacket(7).Tuple, Flags: framer.FlagSYN})
	assert.Equal(t, verdict.Kind, ToInstance, "the opening is relayed to another instance")
	assert.Equal(t, fleet.deciders["b1"].Status().Integrated, false)
	fleet.run(3 * time.Second)
	assert.Equal(t, fleet.deciders["b1"].InForce(), uint64(2))
}

func TestSheetVersionNeverDecreases(t *testing.T) {
	fleet := newStartedFleet(t)
	fleet.applySheet(3, testSheet(1))
	fleet.run(4 * time.Second)
	fleet.applySheet(2, testSheet())
	old := fleet.deciders["a1"].services[hashName("counter")].active.Epoch
	old.ID.SheetVersion = 1
	fleet.deciders["a1"].HandleMessage(fleet.now, "b1", Message{Epochs: []Epoch{old}})
	fleet.run(4 * time.Second)
	for _, name := range fleet.names {
		assert.Equal(t, fleet.deciders[name].InForce(), uint64(3))
		assert.Equal(t, fleet.deciders[name].services[hashName("counter")].active.ID.SheetVersion, uint64(3))
	}
}

func TestUnreadableSheetIsRejected(t *testing.T) {
	fleet := newStartedFleet(t)
	fleet.deciders["a1"].ApplySheet(fleet.now, 9, []byte("{"))
	fleet.run(time.Second)
	assert.Equal(t, fleet.deciders["a1"].InForce(), uint64(1))
	assert.Equal(t, fleet.send("a1", openingPacket(1)).Kind, ToBackendServer)
}

func TestUnresponsiveServerIsEjectedAndProbed(t *testing.T) {
	fleet := newStartedFleet(t)
	unresponsive := testServer(1, parser.Active).Address
	weight := func() float32 {
		service := fleet.deciders["a1"].services[hashName("counter")]
		return service.active.weight(serverID("counter", unresponsive))
	}
	lowest := float32(1)
	for port := 1; port <= 400; port++ {
		verdict := fleet.send(fleet.names[port%5], openingPacket(port))
		if verdict.Kind == ToBackendServer && verdict.Address != unresponsive {
			fleet.accept("a1", openingPacket(port).Tuple, verdict.Address)
			fin := dataPacket(port)
			fin.Flags |= framer.FlagRST
			fleet.send(fleet.names[port%5], fin)
		}
		fleet.run(40 * time.Millisecond)
		lowest = min(lowest, weight())
	}
	assert.Equal(t, lowest, float32(0))
	fleet.run(baseEjectionTime + 4*time.Second)
	assert.Assert(t, weight() > 0, "the server is probed again")
}

func TestIdleFlowsExpire(t *testing.T) {
	fleet := newStartedFleet(t)
	for port := 1; port <= 50; port++ {
		fleet.send("a1", openingPacket(port))
	}
	fleet.run(openingTimeout + 30*time.Second)
	for _, name := range fleet.names {
		assert.Equal(t, fleet.deciders[name].Status().Flows, 0)
	}
}

func TestForwardedFlowsExpireEarly(t *testing.T) {
	fleet := newStartedFleet(t)
	fleet.run(oldViewsLifetime) // until then, they are kept for a new home
	for port := 1; port <= 100; port++ {
		first := fleet.send("a1", openingPacket(port))
		fleet.accept("a1", openingPacket(port).Tuple, first.Address)
		for _, name := range fleet.names {
			fleet.send(name, dataPacket(port))
		}
	}
	fleet.run(2*cacheTimeout + 20*time.Second)
	kept := 0
	for _, name := range fleet.names {
		kept += fleet.deciders[name].Status().Flows
	}
	assert.Assert(t, kept >= 100 && kept <= 200, "%d entries of 100 flows, of which home and replica keep one each", kept)
}

func TestFlowTableIsBounded(t *testing.T) {
	table := newFlowTable(10)
	for key := uint64(1); key <= 20; key++ {
		assert.Equal(t, table.put(key, flow{}), key <= 10)
	}
	assert.Equal(t, table.size, 10)
}

func TestFlowTableBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := newFlowTable(1<<20), map[uint64]uint32{}
		// Few keys in one shard, so that clusters of slots merge and wrap around.
		key := rapid.Custom(func(t *rapid.T) uint64 {
			return rapid.Uint64Range(1, 40).Draw(t, "key")<<16 | flowShards
		})
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			chosen := key.Draw(t, "chosen")
			if rapid.Bool().Draw(t, "put") {
				model[chosen]++
				table.put(chosen, flow{serverID: model[chosen]})
			} else {
				delete(model, chosen)
				table.remove(chosen)
			}
			assert.Equal(t, table.size, len(model))
			for want, server := range model {
				got, known := table.get(want)
				assert.Assert(t, known && got.serverID == server)
			}
		}
	})
}

func TestSessionEvents(t *testing.T) {
	fleet := newFleet(t, "a1", "b1", "c1")
	fleet.applySheet(1, testSheet())
	fleet.run(5 * time.Second)
	fleet.applySheet(2, testSheet(4))
	fleet.run(3 * time.Second)
	fleet.add("c2")
	fleet.run(2 * time.Second)
	fleet.stopped["b1"] = true
	fleet.run(4 * time.Second)
	golden.Assert(t, strings.Join(fleet.events, "\n")+"\n", "session.golden")
}

func TestOneInstancePerDomainIsReader(t *testing.T) {
	fleet := newStartedFleet(t)
	readers := map[string]int{}
	for _, name := range fleet.names {
		if fleet.deciders[name].IsReader() {
			readers[name[:1]]++
		}
	}
	assert.DeepEqual(t, readers, map[string]int{"a": 1, "b": 1, "c": 1})
}
