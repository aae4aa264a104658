package decider

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

var testStart = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const testTick = 20 * time.Millisecond

// fleet is a set of deciders that exchange their messages after every tick.
type fleet struct {
	t              testing.TB
	now            time.Time
	names          []string
	deciders       map[string]*Decider
	stopped        map[string]bool // failed or paused
	isolatedDomain string          // failure domain that is partitioned off from the others
	events         []string
	listed         []Instance
}

func testInstance(name string) Instance {
	number := byte(len(name) + int(name[len(name)-1]))
	address := netip.AddrFrom4([4]byte{10, 9, name[0], number})
	return Instance{Name: name, FailureDomain: name[:1], Peer: netip.AddrPortFrom(address, 7000), Tunnel: netip.AddrPortFrom(address, 6081)}
}

func newFleet(t testing.TB, names ...string) *fleet {
	fleet := &fleet{t: t, now: testStart, deciders: map[string]*Decider{}, stopped: map[string]bool{}}
	for _, name := range names {
		fleet.add(name)
	}
	return fleet
}

func (fleet *fleet) add(name string) *Decider {
	instance := testInstance(name)
	added := NewDecider(Config{Self: instance, Incarnation: uint64(fleet.now.UnixNano()), MaxFlows: 10_000}, fleet.now)
	fleet.names = append(fleet.names, name)
	fleet.deciders[name] = added
	fleet.listed = append(fleet.listed, instance)
	for _, other := range fleet.names {
		fleet.deciders[other].SetInstances(fleet.now, fleet.listed)
	}
	return added
}

// run advances the time tick by tick.
func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(testTick)
		for _, name := range fleet.names {
			if !fleet.stopped[name] {
				fleet.deciders[name].Tick(fleet.now)
			}
		}
		fleet.exchange()
	}
}

// exchange records the events of all instances and delivers their messages.
func (fleet *fleet) exchange() {
	for _, name := range fleet.names {
		for _, event := range fleet.deciders[name].TakeEvents() {
			fleet.events = append(fleet.events, fmt.Sprintf("%v %s %d %v", fleet.now.Sub(testStart), name, event.Kind, event.Fields))
		}
		for _, outgoing := range fleet.deciders[name].TakeOutbox() {
			to := fleet.deciders[outgoing.To.Name]
			if to != nil && !fleet.stopped[name] && !fleet.stopped[outgoing.To.Name] && fleet.canReach(name, outgoing.To.Name) {
				to.HandleMessage(fleet.now, name, outgoing.Message)
			}
		}
	}
}

// canReach reports whether no partition separates two instances.
func (fleet *fleet) canReach(from, to string) bool {
	return fleet.isolatedDomain == "" || (from[:1] == fleet.isolatedDomain) == (to[:1] == fleet.isolatedDomain)
}

// restart replaces an instance by a new process of the same name.
func (fleet *fleet) restart(name string) {
	config := Config{Self: testInstance(name), Incarnation: uint64(fleet.now.UnixNano()), MaxFlows: 10_000}
	fleet.deciders[name] = NewDecider(config, fleet.now)
	fleet.deciders[name].SetInstances(fleet.now, fleet.listed)
}

// applySheet passes a version of the sheet to every running instance.
func (fleet *fleet) applySheet(version uint64, sheet parser.Sheet) {
	content, err := json.Marshal(sheet)
	assert.NilError(fleet.t, err)
	for _, name := range fleet.names {
		if !fleet.stopped[name] {
			fleet.deciders[name].ApplySheet(fleet.now, version, content)
		}
	}
}

// send passes a packet to an instance, delivers the notices of it, and follows its relays to the last
// verdict.
func (fleet *fleet) send(at string, packet framer.Packet) Verdict {
	for range maxRelays {
		verdict := fleet.deciders[at].HandlePacket(fleet.now, &packet)
		fleet.exchange()
		if verdict.NoticeTo.IsValid() && !fleet.stopped[fleet.instanceAt(verdict.NoticeTo)] {
			copied := packet
			copied.Relayed, copied.Notice, copied.ServerHint = true, true, verdict.Hint
			fleet.deciders[fleet.instanceAt(verdict.NoticeTo)].HandlePacket(fleet.now, &copied)
			fleet.exchange()
		}
		if verdict.Kind != ToInstance {
			return verdict
		}
		packet.Relayed, packet.RelayRank, packet.ServerHint = true, verdict.Rank, verdict.Hint
		from := at
		at = fleet.instanceAt(verdict.Address)
		if fleet.stopped[at] || !fleet.canReach(from, at) {
			return Verdict{Kind: Drop}
		}
	}
	fleet.t.Fatal("a packet was relayed in a loop")
	return Verdict{}
}

// instanceAt returns the name of the instance with a tunnel address.
func (fleet *fleet) instanceAt(tunnel netip.AddrPort) string {
	for _, name := range fleet.names {
		if testInstance(name).Tunnel == tunnel {
			return name
		}
	}
	return ""
}

// accept sends the acceptance of a flow, by the backend server at address, to the instance named at.
func (fleet *fleet) accept(at string, tuple framer.Tuple, address netip.AddrPort) Verdict {
	return fleet.send(at, framer.Packet{
		Tuple: tuple.Reverse(), Flags: framer.FlagSYN | framer.FlagACK, Sequence: 1, TunnelSource: address,
	})
}

func testServer(number int, state parser.State) parser.BackendServer {
	return parser.BackendServer{
		Name: fmt.Sprintf("server-%d", number), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(number)}), 6081),
		Weight: 1, FailureDomain: "a", State: state, Connections: 300,
	}
}

var (
	testTCP = netip.MustParseAddrPort("10.1.0.1:443")
	testUDP = netip.MustParseAddrPort("10.1.0.2:53")
)

// testSheet returns a sheet with two services of four backend servers each; the servers with the
// given numbers leave.
func testSheet(leaving ...int) parser.Sheet {
	sheet := parser.Sheet{FailureDomains: []string{"a", "b", "c"}}
	for i, service := range []parser.Service{
		{Name: "counter", Address: testTCP, Protocol: parser.TCP},
		{Name: "desk-log", Address: testUDP, Protocol: parser.UDP},
	} {
		for number := 1; number <= 4; number++ {
			state := parser.Active
			for _, leaver := range leaving {
				if leaver == number {
					state = parser.Leaving
				}
			}
			service.BackendServers = append(service.BackendServers, testServer(10*i+number, state))
		}
		sheet.Services = append(sheet.Services, service)
	}
	return sheet
}

func testTuple(service netip.AddrPort, protocol uint8, port int) framer.Tuple {
	return framer.Tuple{
		Source: [4]byte{198, 51, 100, 1}, SourcePort: uint16(port),
		Destination: service.Addr().As4(), DestinationPort: service.Port(), Protocol: protocol,
	}
}

func openingPacket(port int) framer.Packet {
	return framer.Packet{Tuple: testTuple(testTCP, framer.ProtocolTCP, port), Flags: framer.FlagSYN}
}

func dataPacket(port int) framer.Packet {
	return framer.Packet{Tuple: testTuple(testTCP, framer.ProtocolTCP, port), Flags: framer.FlagACK, PayloadLength: 10}
}

func logPacket(port int) framer.Packet {
	return framer.Packet{Tuple: testTuple(testUDP, framer.ProtocolUDP, port), PayloadLength: 10}
}

// newStartedFleet returns a fleet with sheet version 1 in force.
func newStartedFleet(t *testing.T) *fleet {
	fleet := newFleet(t, "a1", "a2", "b1", "b2", "c1")
	fleet.applySheet(1, testSheet())
	fleet.run(6 * time.Second)
	for _, name := range fleet.names {
		assert.Equal(t, fleet.deciders[name].InForce(), uint64(1), name)
	}
	return fleet
}

// openFlows opens and accepts flows on the ports from 1 to count, and returns their verdicts.
func (fleet *fleet) openFlows(count int) map[int]Verdict {
	servers := map[int]Verdict{}
	for port := 1; port <= count; port++ {
		servers[port] = fleet.send(fleet.names[port%5], openingPacket(port))
		assert.Equal(fleet.t, servers[port].Kind, ToBackendServer)
		fleet.accept(fleet.names[(port+2)%5], openingPacket(port).Tuple, servers[port].Address)
	}
	return servers
}

// checkFlows asserts that every running instance forwards each flow to its backend server.
func (fleet *fleet) checkFlows(servers map[int]Verdict) {
	fleet.t.Helper()
	for port := 1; port <= len(servers); port++ {
		for _, name := range fleet.names {
			if !fleet.stopped[name] {
				assert.Equal(fleet.t, fleet.send(name, dataPacket(port)).Address, servers[port].Address, "port %d at %s", port, name)
			}
		}
	}
}
