package experimenter

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/picker"
)

// Method is a way to keep the packets of a flow on one backend server.
type Method string

// Methods that are compared.
const (
	Modulo     Method = "modulo"      // hash of the flow modulo the number of active servers
	Rendezvous Method = "rendezvous"  // weighted rendezvous hashing
	LocalTable Method = "local_table" // rendezvous hashing and a flow table on each instance
	Product    Method = "product"     // package decider
)

// Methods returns all methods, the product last.
func Methods() []Method { return []Method{Modulo, Rendezvous, LocalTable, Product} }

const maxFlows = 200_000 // in the flow table of one instance

func newBalancer(method Method, self decider.Instance, now time.Time) balancer {
	if method == Product {
		return decider.NewDecider(decider.Config{Self: self, Incarnation: uint64(now.UnixNano()), MaxFlows: maxFlows}, now)
	}
	return &baseline{method: method, flows: map[framer.Tuple]int{}}
}

// baseline is a method without messages between instances: it uses only its sheet and,
// for LocalTable, its own flow table.
type baseline struct {
	method   Method
	services []parser.Service
	flows    map[framer.Tuple]int // index of the flow's backend server in its service
	version  uint64
}

// ApplySheet applies a version of the sheet; it ignores older versions and content that
// cannot be decoded.
func (baseline *baseline) ApplySheet(_ time.Time, version uint64, content []byte) {
	var sheet parser.Sheet
	if version <= baseline.version || json.Unmarshal(content, &sheet) != nil {
		return
	}
	baseline.version, baseline.services = version, sheet.Services
}

// HandlePacket returns where one packet goes.
func (baseline *baseline) HandlePacket(_ time.Time, packet *framer.Packet) decider.Verdict {
	for _, service := range baseline.services {
		if service.Address.Addr().As4() == packet.Tuple.Destination {
			index := baseline.selectServer(service, packet)
			return decider.Verdict{Kind: decider.ToBackendServer, Address: service.BackendServers[index].Address}
		}
	}
	return decider.Verdict{Kind: decider.ToCaller}
}

func (baseline *baseline) selectServer(service parser.Service, packet *framer.Packet) int {
	if index, known := baseline.flows[packet.Tuple]; known && baseline.method == LocalTable {
		return index
	}
	encoded, err := json.Marshal(packet.Tuple)
	if err != nil {
		panic(err) // a tuple can always be encoded
	}
	key := xxhash.Sum64(encoded)
	index := baseline.hashServer(service, key)
	if baseline.method == LocalTable {
		baseline.flows[packet.Tuple] = index
	}
	return index
}

func (baseline *baseline) hashServer(service parser.Service, key uint64) int {
	var active []int
	var candidates []picker.Candidate
	for i, row := range service.BackendServers {
		if row.State == parser.Active {
			active = append(active, i)
			candidates = append(candidates, picker.Candidate{ID: xxhash.Sum64String(row.Address.String()), Weight: row.Weight})
		}
	}
	if baseline.method == Modulo {
		return active[key%uint64(len(active))]
	}
	return active[picker.Pick(key, candidates)]
}
