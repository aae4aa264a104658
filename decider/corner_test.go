package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

// end closes the flow of a port from both sides, each packet at another instance.
func (fleet *fleet) end(port int, server Verdict) {
	fin := dataPacket(port)
	fin.Flags |= framer.FlagFIN
	fleet.send(fleet.names[port%5], fin)
	answer := framer.Packet{Tuple: fin.Tuple.Reverse(), Flags: framer.FlagFIN | framer.FlagACK, Sequence: 9, TunnelSource: server.Address}
	fleet.send(fleet.names[(port+1)%5], answer)
}

func TestATupleUsedAgainIsANewFlow(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Second, 5 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			fleet := started(t)
			for port := 1; port <= 100; port++ {
				first := fleet.send("a1", openingPacket(port))
				fleet.accept("b1", openingPacket(port).Tuple, first.Address)
				for _, name := range fleet.names {
					fleet.send(name, dataPacket(port))
				}
				fleet.end(port, first)
			}
			fleet.load(2, testSheet(1, 2))
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

func TestFlowsOutliveTheRemovalAndReturnOfTheirServer(t *testing.T) {
	fleet := started(t)
	servers := fleet.openFlows(100)
	without := testSheet()
	for i := range without.Services {
		without.Services[i].BackendServers = without.Services[i].BackendServers[1:]
	}
	for version, sheet := range []parser.Sheet{without, testSheet(), without} {
		fleet.load(uint64(version+2), sheet)
		fleet.run(4 * time.Second)
		fleet.checkFlows(servers)
	}
}

func TestAServerThatResetsOpeningsGetsLessWeight(t *testing.T) {
	fleet := started(t)
	shedding := testServer(1, parser.Active).Address
	for port := 1; port <= 400; port++ {
		verdict := fleet.send(fleet.names[port%5], openingPacket(port))
		if verdict.Address == shedding {
			reset := framer.Packet{
				Tuple: openingPacket(port).Tuple.Reverse(), Flags: framer.FlagRST | framer.FlagACK, TunnelSource: shedding,
			}
			told := fleet.send("a2", reset)
			assert.Equal(t, told.Kind, ToCaller, "the caller is told at once")
			assert.Equal(t, told.Refusal.Reason, framer.ReasonBackendServerShed)
			assert.Assert(t, told.Refusal.RetryAfter > 0)
		} else {
			fleet.accept("a2", openingPacket(port).Tuple, verdict.Address)
		}
		fleet.run(60 * time.Millisecond)
	}
	service := fleet.deciders["a1"].services[hashName("counter")]
	assert.Assert(t, service.active.weight(serverID("counter", shedding)) < 0.8)
	assert.Equal(t, service.active.weight(serverID("counter", testServer(2, "").Address)), float32(1))
}

func TestANewServerWarmsUp(t *testing.T) {
	fleet := started(t)
	grown := testSheet()
	grown.Services[0].BackendServers = append(grown.Services[0].BackendServers, testServer(5, parser.Active))
	fleet.load(2, grown)
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

func TestFlowsOutliveARestartOfTheWholeFleet(t *testing.T) {
	fleet := started(t)
	servers := fleet.openFlows(100)
	for _, name := range fleet.names {
		fleet.restart(name)
	}
	fleet.load(1, testSheet())
	fleet.run(6 * time.Second)
	fleet.checkFlows(servers)
}

func TestFlowsOutliveARollingRestart(t *testing.T) {
	fleet := started(t)
	servers := fleet.openFlows(100)
	fleet.load(2, testSheet(2))
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

func TestADatagramInACutIsOfferedToOneServer(t *testing.T) {
	fleet := started(t)
	fleet.run(RetransmissionWindow + time.Second)
	fleet.cut = "a"
	// Servers 11 and 12 are beyond the cut for b and c: only the others answer there.
	beyond := map[string]bool{}
	for _, number := range []int{11, 12} {
		beyond[testServer(number, "").Address.String()] = true
	}
	for port := 1; port <= 300; port++ {
		verdict := fleet.send([]string{"b1", "b2", "c1"}[port%3], logPacket(port))
		if verdict.Kind == ToBackendServer && !beyond[verdict.Address.String()] {
			answer := framer.Packet{Tuple: logPacket(port).Tuple.Reverse(), PayloadLength: 5, TunnelSource: verdict.Address}
			fleet.send("b1", answer)
		}
		fleet.run(60 * time.Millisecond)
	}
	refused := 0
	for port := 1001; port <= 1100; port++ {
		offered := map[string]bool{}
		for _, name := range []string{"a1", "b1", "a2", "c1"} {
			verdict := fleet.send(name, logPacket(port))
			switch verdict.Kind {
			case ToBackendServer:
				offered[verdict.Address.String()] = true
			case Refuse:
				refused++
				assert.Equal(t, verdict.Refusal.Reason, framer.ReasonOutcomeUnknown)
			}
		}
		assert.Assert(t, len(offered) <= 1, "port %d was offered to %v", port, offered)
	}
	assert.Assert(t, refused > 0, "the sides have not come to differ")
}

func TestAHeartbeatLeavesTheAddressesOutOnceHeard(t *testing.T) {
	fleet := started(t)
	for _, member := range fleet.deciders["a1"].roster {
		assert.Assert(t, member.introduced, member.Name)
	}
}

func TestWhatCanWaitGoesWithAHeartbeat(t *testing.T) {
	fleet := started(t)
	decider := fleet.deciders["a1"]
	member := decider.roster[0]
	member.unpins = AppendPin(nil, Pin{Flow: 7})
	decider.TakeOutbox()
	decider.Tick(decider.now.Add(HeartbeatInterval))
	for _, outgoing := range decider.TakeOutbox() {
		if outgoing.To.Name == member.Name && len(outgoing.Message.Pins) > 0 {
			assert.Assert(t, outgoing.Message.Heartbeat != nil, "a message of its own")
			return
		}
	}
	t.Fatal("the end of a pin was not told")
}
