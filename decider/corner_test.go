package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// closeFlow closes the flow of a port from both sides, with each packet at another instance.
func (fleet *fleet) closeFlow(port int, server Verdict) {
	fin := dataPacket(port)
	fin.Flags |= framer.FlagFIN
	fleet.send(fleet.names[port%5], fin)
	answer := framer.Packet{Tuple: fin.Tuple.Reverse(), Flags: framer.FlagFIN | framer.FlagACK, Sequence: 9, TunnelSource: server.Address}
	fleet.send(fleet.names[(port+1)%5], answer)
}

func TestReusedTupleStartsNewFlow(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Second, 5 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			fleet := newStartedFleet(t)
			for port := 1; port <= 100; port++ {
				first := fleet.send("a1", openingPacket(port))
				fleet.accept("b1", openingPacket(port).Tuple, first.Address)
				for _, name := range fleet.names {
					fleet.send(name, dataPacket(port))
				}
				fleet.closeFlow(port, first)
			}
			fleet.applySheet(2, testSheet(1, 2))
			fleet.run(pause)
			for port := 1; port <= 100; port++ {
				again := fleet.send("c1", openingPacket(port))
				assert.Equal(t, again.Kind, ToBackendServer)
				fleet.accept("a2", openingPacket(port).Tuple, again.Address)
				for _, name := range fleet.names {
					assert.Equal(t, fleet.send(name, dataPacket(port)).Address, again.Address)
				}
			}
		})
	}
}

func TestFlowsSurviveRemovalAndReturnOfServer(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(100)
	without := testSheet()
	for i := range without.Services {
		without.Services[i].BackendServers = without.Services[i].BackendServers[1:]
	}
	for version, sheet := range []parser.Sheet{without, testSheet(), without} {
		fleet.applySheet(uint64(version+2), sheet)
		fleet.run(4 * time.Second)
		fleet.checkFlows(servers)
	}
}

func TestServerThatResetsOpeningsLosesWeight(t *testing.T) {
	fleet := newStartedFleet(t)
	shedding := testServer(1, parser.Active).Address
	for port := 1; port <= 400; port++ {
		verdict := fleet.send(fleet.names[port%5], openingPacket(port))
		if verdict.Address == shedding {
			reset := framer.Packet{
				Tuple: openingPacket(port).Tuple.Reverse(), Flags: framer.FlagRST | framer.FlagACK, TunnelSource: shedding,
			}
			refused := fleet.send("a2", reset)
			assert.Equal(t, refused.Kind, ToCaller, "the caller is refused at once")
			assert.Equal(t, refused.Refusal.Reason, framer.ReasonBackendServerShed)
			assert.Assert(t, refused.Refusal.RetryAfter > 0)
		} else {
			fleet.accept("a2", openingPacket(port).Tuple, verdict.Address)
		}
		fleet.run(60 * time.Millisecond)
	}
	service := fleet.deciders["a1"].services[hashName("counter")]
	assert.Assert(t, service.active.weight(serverID("counter", shedding)) < 0.8)
	assert.Equal(t, service.active.weight(serverID("counter", testServer(2, "").Address)), float32(1))
}

func TestNewServerStartsSlowly(t *testing.T) {
	fleet := newStartedFleet(t)
	grown := testSheet()
	grown.Services[0].BackendServers = append(grown.Services[0].BackendServers, testServer(5, parser.Active))
	fleet.applySheet(2, grown)
	weight := func() float32 {
		return fleet.deciders["b2"].services[hashName("counter")].active.weight(serverID("counter", testServer(5, "").Address))
	}
	fleet.run(3 * time.Second)
	first := weight()
	assert.Assert(t, first > 0 && first < 0.1, "weight %v", first)
	fleet.run(20 * time.Second)
	assert.Assert(t, weight() > first && weight() < 1)
	fleet.run(time.Minute)
	assert.Equal(t, weight(), float32(1))
}

func TestFlowsSurviveFleetRestart(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(100)
	for _, name := range fleet.names {
		fleet.restart(name)
	}
	fleet.applySheet(1, testSheet())
	fleet.run(6 * time.Second)
	fleet.checkFlows(servers)
}

func TestFlowsSurviveRollingRestart(t *testing.T) {
	fleet := newStartedFleet(t)
	servers := fleet.openFlows(100)
	fleet.applySheet(2, testSheet(2))
	fleet.run(4 * time.Second)
	for _, name := range fleet.names {
		fleet.deciders[name].Leave(fleet.now)
		fleet.exchange()
		fleet.run(3 * time.Second)
		fleet.deciders[name].Close(fleet.now)
		fleet.exchange()
		fleet.restart(name)
		fleet.run(3 * time.Second)
	}
	fleet.checkFlows(servers)
}

func TestDatagramReachesOneServerDuringPartition(t *testing.T) {
	fleet := newStartedFleet(t)
	fleet.run(RetransmissionWindow + time.Second)
	fleet.isolatedDomain = "a"
	// Servers 11 and 12 act as if isolated with domain a: they answer nothing that domains b and c send.
	isolated := map[string]bool{}
	for _, number := range []int{11, 12} {
		isolated[testServer(number, "").Address.String()] = true
	}
	for port := 1; port <= 300; port++ {
		verdict := fleet.send([]string{"b1", "b2", "c1"}[port%3], logPacket(port))
		if verdict.Kind == ToBackendServer && !isolated[verdict.Address.String()] {
			answer := framer.Packet{Tuple: logPacket(port).Tuple.Reverse(), PayloadLength: 5, TunnelSource: verdict.Address}
			fleet.send("b1", answer)
		}
		fleet.run(60 * time.Millisecond)
	}
	refused := 0
	for port := 1001; port <= 1100; port++ {
		servers := map[string]bool{}
		for _, name := range []string{"a1", "b1", "a2", "c1"} {
			verdict := fleet.send(name, logPacket(port))
			switch verdict.Kind {
			case ToBackendServer:
				servers[verdict.Address.String()] = true
			case Refuse:
				refused++
				assert.Equal(t, verdict.Refusal.Reason, framer.ReasonOutcomeUnknown)
			}
		}
		assert.Assert(t, len(servers) <= 1, "port %d was sent to servers %v", port, servers)
	}
	assert.Assert(t, refused > 0, "the two sides do not use different epochs")
}

func TestHeartbeatOmitsAddressesOnceReceived(t *testing.T) {
	fleet := newStartedFleet(t)
	for _, member := range fleet.deciders["a1"].sortedMembers {
		assert.Assert(t, member.hasOurAddresses, member.Name)
	}
}

func TestUnpinsAreSentWithHeartbeat(t *testing.T) {
	fleet := newStartedFleet(t)
	decider := fleet.deciders["a1"]
	member := decider.sortedMembers[0]
	member.queuedUnpins = AppendPin(nil, Pin{Flow: 7})
	decider.TakeOutbox()
	decider.Tick(decider.now.Add(HeartbeatInterval))
	for _, outgoing := range decider.TakeOutbox() {
		if outgoing.To.Name == member.Name && len(outgoing.Message.Pins) > 0 {
			assert.Assert(t, outgoing.Message.Heartbeat != nil, "the unpin is sent in a message of its own")
			return
		}
	}
	t.Fatal("the unpin was not sent")
}
