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

// Method is a way to keep a flow on its backend server.
type Method string

// Methods that are compared.
const (
	Modulo     Method = "modulo"
	Rendezvous Method = "rendezvous"
	LocalTable Method = "local_table"
	Product    Method = "product"
)

// Methods lists all methods, the product last.
func Methods() []Method { return []Method{Modulo, Rendezvous, LocalTable, Product} }

const maxFlows = 200_000

func newNode(method Method, self decider.Instance, now time.Time) node {
	if method == Product {
		return decider.NewDecider(decider.Config{Self: self, Incarnation: uint64(now.UnixNano()), MaxFlows: maxFlows}, now)
	}
	return &baseline{method: method, flows: map[framer.Tuple]int{}}
}

// baseline decides alone, from its sheet and at most its own table.
type baseline struct {
	method   Method
	services []parser.Service
	flows    map[framer.Tuple]int // index of the backend server in its service
	version  uint64
}

// ApplySheet takes in a sheet.
func (baseline *baseline) ApplySheet(_ time.Time, version uint64, content []byte) {
	var sheet parser.Sheet
	if version <= baseline.version || json.Unmarshal(content, &sheet) != nil {
		return
	}
	baseline.version, baseline.services = version, sheet.Services
}

// HandlePacket decides about one packet.
func (baseline *baseline) HandlePacket(_ time.Time, packet *framer.Packet) decider.Verdict {
	for _, service := range baseline.services {
		if service.Address.Addr().As4() == packet.Tuple.Destination {
			index := baseline.pick(service, packet)
			return decider.Verdict{Kind: decider.ToBackendServer, Address: service.BackendServers[index].Address}
		}
	}
	return decider.Verdict{Kind: decider.ToCaller}
}

func (baseline *baseline) pick(service parser.Service, packet *framer.Packet) int {
	if index, known := baseline.flows[packet.Tuple]; known && baseline.method == LocalTable {
		return index
	}
	encoded, err := json.Marshal(packet.Tuple)
	if err != nil {
		panic(err) // a tuple always has an encoding
	}
	key := xxhash.Sum64(encoded)
	index := baseline.choose(service, key)
	if baseline.method == LocalTable {
		baseline.flows[packet.Tuple] = index
	}
	return index
}

func (baseline *baseline) choose(service parser.Service, key uint64) int {
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
