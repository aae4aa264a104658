package sizer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
)

const (
	messageOverhead = 60 // bytes of IP, UDP and QUIC for a message and its acknowledgement
	tick            = 20 * time.Millisecond
	settleTime      = 6 * time.Second
	idleTime        = 4 * time.Second
	changeTime      = 4 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Measure takes every slope; it runs for about a minute.
func Measure() Slopes {
	fleets := []int{3, 9, 30, 60, 120, 240}
	var idleBytes, idleMessages, idleNanoseconds, changeBytes, joinBytes, leaveBytes, peerBytes []Point
	for _, size := range fleets {
		measured := measureFleet(size)
		at := func(value float64) Point { return Point{Size: float64(size), Value: value} }
		idleBytes = append(idleBytes, at(measured.idleBytes))
		idleMessages = append(idleMessages, at(measured.idleMessages))
		idleNanoseconds = append(idleNanoseconds, at(measured.idleNanoseconds))
		changeBytes = append(changeBytes, at(measured.changeBytes))
		joinBytes = append(joinBytes, at(measured.joinBytes))
		leaveBytes = append(leaveBytes, at(measured.leaveBytes))
		peerBytes = append(peerBytes, at(measured.stateBytes))
	}
	return Slopes{Slopes: []Slope{
		FitLine("idle_bytes", "control bytes a second and instance, nothing changing", "instances", idleBytes),
		FitLine("idle_messages", "messages a second and instance, nothing changing", "instances", idleMessages),
		FitLine("idle_cpu", "nanoseconds of control a second and instance, nothing changing", "instances", idleNanoseconds),
		FitLine("change_bytes", "bytes that an instance sends for one change of the sheet, without pins", "instances", changeBytes),
		FitLine("join_bytes", "bytes that all instances send for one join, without pins", "instances", joinBytes),
		FitLine("leave_bytes", "bytes that all instances send for one planned stop, without flows", "instances", leaveBytes),
		FitLine("peer_state", "bytes of heap of an instance", "instances", peerBytes),
		FitLine("flow_state", "bytes of heap for flows", "flows", measureFlows()),
		FitLine("server_state", "bytes of heap for backend servers, one service for each 1.4", "backend servers", measureServers()),
		FitLine("pick", "nanoseconds to pick a backend server", "backend servers of the service", measurePicks()),
		FitLine("open", "nanoseconds to decide an opening", "instances", measureOpenings()),
		FitLine("known", "nanoseconds to decide a packet of a known flow", "flows", measureKnown()),
	}}
}

// fleetMeasures is what one size of fleet gave.
type fleetMeasures struct {
	idleBytes, idleMessages, idleNanoseconds float64
	changeBytes, joinBytes, leaveBytes       float64
	stateBytes                               float64
}

// fleet is deciders whose messages arrive one tick after they are sent.
type fleet struct {
	now      time.Time
	names    []string
	deciders map[string]*decider.Decider
	listed   []decider.Instance
	bytes    int
	messages int
}

func instanceNumber(number int) decider.Instance {
	address := netip.AddrFrom4([4]byte{10, 9, byte(number >> 8), byte(number)})
	return decider.Instance{
		Name: fmt.Sprintf("lb-%04d", number), FailureDomain: string(rune('a' + number%3)),
		Peer: netip.AddrPortFrom(address, 7000), Tunnel: netip.AddrPortFrom(address, 6081),
	}
}

func newFleet(size int) *fleet {
	fleet := &fleet{now: start, deciders: map[string]*decider.Decider{}}
	for number := range size {
		fleet.add(number)
	}
	return fleet
}

func (fleet *fleet) add(number int) {
	instance := instanceNumber(number)
	fleet.names = append(fleet.names, instance.Name)
	fleet.listed = append(fleet.listed, instance)
	fleet.deciders[instance.Name] = decider.NewDecider(decider.Config{Self: instance, Incarnation: uint64(fleet.now.UnixNano()), MaxFlows: 1 << 20}, fleet.now)
}

func (fleet *fleet) list() {
	for _, name := range fleet.names {
		fleet.deciders[name].SetInstances(fleet.now, fleet.listed)
	}
}

func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(tick)
		for _, name := range fleet.names {
			fleet.deciders[name].Tick(fleet.now)
		}
		for _, name := range fleet.names {
			fleet.deciders[name].TakeEvents()
			for _, outgoing := range fleet.deciders[name].TakeOutbox() {
				fleet.deliver(name, outgoing)
			}
		}
	}
}

func (fleet *fleet) deliver(from string, outgoing decider.Outgoing) {
	encoded, err := cbor.Marshal(outgoing.Message)
	if err != nil {
		panic(err) // messages are plain structs
	}
	fleet.bytes += len(encoded) + messageOverhead
	fleet.messages++
	if to, ok := fleet.deciders[outgoing.To.Name]; ok {
		to.HandleMessage(fleet.now, from, outgoing.Message)
	}
}

func sheetOf(services, serversEach int, leaving int) []byte {
	sheet := parser.Sheet{FailureDomains: []string{"a", "b", "c"}}
	number := 0
	for i := range services {
		service := parser.Service{
			Name: fmt.Sprintf("service-%05d", i), Protocol: parser.TCP,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 443),
		}
		for j := range serversEach {
			number++
			row := parser.BackendServer{
				Name: fmt.Sprintf("server-%05d", number), Weight: float64(1 + j%8), State: parser.Active, FailureDomain: "a",
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(number >> 8), byte(number)}), 6081), Connections: 1 << 20,
			}
			if number == leaving {
				row.State = parser.Leaving
			}
			service.BackendServers = append(service.BackendServers, row)
		}
		sheet.Services = append(sheet.Services, service)
	}
	content, err := json.Marshal(sheet)
	if err != nil {
		panic(err) // the sheet is made here
	}
	return content
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func measureFleet(size int) fleetMeasures {
	before := heap()
	fleet := newFleet(size)
	fleet.list()
	content := sheetOf(2, 10, 0)
	for _, name := range fleet.names {
		fleet.deciders[name].ApplySheet(fleet.now, 1, content)
	}
	fleet.run(settleTime)
	var measures fleetMeasures
	each := float64(size)
	measures.stateBytes = (heap() - before) / each

	fleet.bytes, fleet.messages = 0, 0
	began := time.Now()
	fleet.run(idleTime)
	measures.idleNanoseconds = float64(time.Since(began)) / each / idleTime.Seconds()
	measures.idleBytes = float64(fleet.bytes) / each / idleTime.Seconds()
	measures.idleMessages = float64(fleet.messages) / each / idleTime.Seconds()

	fleet.bytes = 0
	changed := sheetOf(2, 10, 3)
	fleet.deciders[fleet.names[0]].ApplySheet(fleet.now, 2, changed)
	fleet.run(changeTime)
	measures.changeBytes = max(0, float64(fleet.bytes)/each-measures.idleBytes*changeTime.Seconds())

	fleet.bytes = 0
	fleet.add(size)
	fleet.list()
	fleet.run(changeTime)
	measures.joinBytes = max(0, float64(fleet.bytes)-measures.idleBytes*each*changeTime.Seconds())

	fleet.bytes = 0
	leaver := fleet.deciders[fleet.names[1]]
	leaver.Leave(fleet.now)
	fleet.run(changeTime / 2)
	leaver.Close(fleet.now)
	fleet.run(tick)
	delete(fleet.deciders, fleet.names[1])
	fleet.names = append(fleet.names[:1], fleet.names[2:]...)
	fleet.run(changeTime / 2)
	measures.leaveBytes = max(0, float64(fleet.bytes)-measures.idleBytes*each*changeTime.Seconds())
	return measures
}

// single is one decider that serves alone.
func single(content []byte) *decider.Decider {
	fleet := newFleet(1)
	fleet.deciders[fleet.names[0]].ApplySheet(fleet.now, 1, content)
	fleet.run(settleTime)
	return fleet.deciders[fleet.names[0]]
}

func opening(number int) framer.Packet {
	return framer.Packet{
		Tuple: framer.Tuple{
			Source: [4]byte{100, byte(number >> 24), byte(number >> 16), 1}, SourcePort: uint16(number),
			Destination: [4]byte{10, 1, 0, 0}, DestinationPort: 443, Protocol: framer.ProtocolTCP,
		},
		Flags: framer.FlagSYN,
	}
}

func measureFlows() []Point {
	var points []Point
	for _, flows := range []int{50_000, 100_000, 200_000, 400_000} {
		before := heap()
		one := single(sheetOf(1, 15, 0))
		for number := range flows {
			packet := opening(number)
			one.HandlePacket(start.Add(settleTime), &packet)
		}
		points = append(points, Point{Size: float64(flows), Value: heap() - before})
		runtime.KeepAlive(one)
	}
	return points
}

func measureServers() []Point {
	var points []Point
	for _, services := range []int{250, 500, 1000, 2000} {
		before := heap()
		one := single(sheetOf(services, 2, 0))
		points = append(points, Point{Size: float64(2 * services), Value: heap() - before})
		runtime.KeepAlive(one)
	}
	return points
}
