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
	messageOverhead = 60 // bytes of IP, UDP and QUIC headers for a message and its acknowledgment
	tickInterval    = 20 * time.Millisecond
	warmupTime      = 6 * time.Second
	idleTime        = 4 * time.Second
	changeTime      = 4 * time.Second
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Measure measures every slope that needs no processes; it runs for about a minute.
func Measure() Slopes {
	fleetSizes := []int{3, 9, 30, 60, 120, 240}
	var idleBytes, idleMessages, idleNanoseconds, changeBytes, joinBytes, leaveBytes, stateBytes []Point
	for _, size := range fleetSizes {
		measurement := measureFleet(size)
		at := func(value float64) Point { return Point{Size: float64(size), Value: value} }
		idleBytes = append(idleBytes, at(measurement.idleBytes))
		idleMessages = append(idleMessages, at(measurement.idleMessages))
		idleNanoseconds = append(idleNanoseconds, at(measurement.idleNanoseconds))
		changeBytes = append(changeBytes, at(measurement.changeBytes))
		joinBytes = append(joinBytes, at(measurement.joinBytes))
		leaveBytes = append(leaveBytes, at(measurement.leaveBytes))
		stateBytes = append(stateBytes, at(measurement.stateBytes))
	}
	return Slopes{Slopes: []Slope{
		FitLine("idle_bytes", "control bytes a second and instance, nothing changing", "instances", idleBytes),
		FitLine("idle_messages", "messages a second and instance, nothing changing", "instances", idleMessages),
		FitLine("idle_cpu", "nanoseconds of control a second and instance, nothing changing", "instances", idleNanoseconds),
		FitLine("change_bytes", "bytes that an instance sends for one change of the sheet, without pins", "instances", changeBytes),
		FitLine("join_bytes", "bytes that all instances send for one join, without pins", "instances", joinBytes),
		FitLine("leave_bytes", "bytes that all instances send for one planned stop, without flows", "instances", leaveBytes),
		FitLine("peer_state", "bytes of heap of an instance", "instances", stateBytes),
		FitLine("flow_state", "bytes of heap for flows", "flows", measureFlows()),
		FitLine("server_state", "bytes of heap for backend servers, one service for each 1.4", "backend servers", measureServers()),
		FitLine("pick", "nanoseconds to pick a backend server", "backend servers of the service", measurePicks()),
		FitLine("open", "nanoseconds to decide an opening", "instances", measureOpenings()),
		FitLine("known", "nanoseconds to decide a packet of a known flow", "flows", measureKnownFlows()),
	}}
}

// fleetMeasurement holds the measurements of a fleet of one size. The idle values are per second
// and instance, changeBytes and stateBytes per instance, joinBytes and leaveBytes of the whole
// fleet; the bytes of a change, a join or a leave exclude the idle traffic.
type fleetMeasurement struct {
	idleBytes, idleMessages, idleNanoseconds float64
	changeBytes, joinBytes, leaveBytes       float64
	stateBytes                               float64
}

// fleet is a set of deciders in virtual time. Messages are delivered at the end of each tick.
type fleet struct {
	now      time.Time
	names    []string
	deciders map[string]*decider.Decider
	listed   []decider.Instance
	bytes    int
	messages int
}

func newInstance(number int) decider.Instance {
	address := netip.AddrFrom4([4]byte{10, 9, byte(number >> 8), byte(number)})
	return decider.Instance{
		Name: fmt.Sprintf("lb-%04d", number), FailureDomain: string(rune('a' + number%3)),
		Peer: netip.AddrPortFrom(address, 7000), Tunnel: netip.AddrPortFrom(address, 6081),
	}
}

func newFleet(size int) *fleet {
	fleet := &fleet{now: startTime, deciders: map[string]*decider.Decider{}}
	for number := range size {
		fleet.add(number)
	}
	return fleet
}

func (fleet *fleet) add(number int) {
	instance := newInstance(number)
	fleet.names = append(fleet.names, instance.Name)
	fleet.listed = append(fleet.listed, instance)
	fleet.deciders[instance.Name] = decider.NewDecider(decider.Config{Self: instance, Incarnation: uint64(fleet.now.UnixNano()), MaxFlows: 1 << 20}, fleet.now)
}

func (fleet *fleet) updateInstanceLists() {
	for _, name := range fleet.names {
		fleet.deciders[name].SetInstances(fleet.now, fleet.listed)
	}
}

func (fleet *fleet) run(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(tickInterval)
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
		panic(err) // messages are plain structs and can always be encoded
	}
	fleet.bytes += len(encoded) + messageOverhead
	fleet.messages++
	if to, ok := fleet.deciders[outgoing.To.Name]; ok {
		to.HandleMessage(fleet.now, from, outgoing.Message)
	}
}

// sheetContent returns an encoded sheet in which backend server number leaving is leaving, none
// if it is 0. Server numbers start at 1.
func sheetContent(services, serversPerService int, leaving int) []byte {
	sheet := parser.Sheet{FailureDomains: []string{"a", "b", "c"}}
	number := 0
	for i := range services {
		service := parser.Service{
			Name: fmt.Sprintf("service-%05d", i), Protocol: parser.TCP,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 443),
		}
		for j := range serversPerService {
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
		panic(err) // the sheet is built here and can always be encoded
	}
	return content
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func measureFleet(size int) fleetMeasurement {
	before := heapBytes()
	fleet := newFleet(size)
	fleet.updateInstanceLists()
	content := sheetContent(2, 10, 0)
	for _, name := range fleet.names {
		fleet.deciders[name].ApplySheet(fleet.now, 1, content)
	}
	fleet.run(warmupTime)
	var measurement fleetMeasurement
	instances := float64(size)
	measurement.stateBytes = (heapBytes() - before) / instances

	fleet.bytes, fleet.messages = 0, 0
	startedAt := time.Now()
	fleet.run(idleTime)
	measurement.idleNanoseconds = float64(time.Since(startedAt)) / instances / idleTime.Seconds()
	measurement.idleBytes = float64(fleet.bytes) / instances / idleTime.Seconds()
	measurement.idleMessages = float64(fleet.messages) / instances / idleTime.Seconds()

	fleet.bytes = 0
	changed := sheetContent(2, 10, 3)
	fleet.deciders[fleet.names[0]].ApplySheet(fleet.now, 2, changed)
	fleet.run(changeTime)
	measurement.changeBytes = max(0, float64(fleet.bytes)/instances-measurement.idleBytes*changeTime.Seconds())

	fleet.bytes = 0
	fleet.add(size)
	fleet.updateInstanceLists()
	fleet.run(changeTime)
	measurement.joinBytes = max(0, float64(fleet.bytes)-measurement.idleBytes*instances*changeTime.Seconds())

	fleet.bytes = 0
	leaving := fleet.deciders[fleet.names[1]]
	leaving.Leave(fleet.now)
	fleet.run(changeTime / 2)
	leaving.Close(fleet.now)
	fleet.run(tickInterval)
	delete(fleet.deciders, fleet.names[1])
	fleet.names = append(fleet.names[:1], fleet.names[2:]...)
	fleet.run(changeTime / 2)
	measurement.leaveBytes = max(0, float64(fleet.bytes)-measurement.idleBytes*instances*changeTime.Seconds())
	return measurement
}

// newSingleDecider returns the decider of a fleet of one instance, with the sheet in force.
func newSingleDecider(content []byte) *decider.Decider {
	fleet := newFleet(1)
	fleet.deciders[fleet.names[0]].ApplySheet(fleet.now, 1, content)
	fleet.run(warmupTime)
	return fleet.deciders[fleet.names[0]]
}

func openingPacket(number int) framer.Packet {
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
		before := heapBytes()
		instance := newSingleDecider(sheetContent(1, 15, 0))
		for number := range flows {
			packet := openingPacket(number)
			instance.HandlePacket(startTime.Add(warmupTime), &packet)
		}
		points = append(points, Point{Size: float64(flows), Value: heapBytes() - before})
		runtime.KeepAlive(instance)
	}
	return points
}

func measureServers() []Point {
	var points []Point
	for _, services := range []int{250, 500, 1000, 2000} {
		before := heapBytes()
		instance := newSingleDecider(sheetContent(services, 2, 0))
		points = append(points, Point{Size: float64(2 * services), Value: heapBytes() - before})
		runtime.KeepAlive(instance)
	}
	return points
}
