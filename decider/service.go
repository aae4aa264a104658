package decider

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/picker"
)

// serviceAddress is what callers send to.
type serviceAddress struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

// server is a backend server of one service, known for as long as the process lives.
type server struct {
	id       uint32
	name     string
	endpoint netip.AddrPort
	service  *service
	open     int // flows that this instance opened and that are still open
	load     ServerLoad
	batch    responseBatch
	domain   string // failure domain, from the sheet
	path     uint32 // microseconds that a packet takes to it and back
}

// epoch is an Epoch made ready for picking.
type epoch struct {
	Epoch
	candidates []picker.Candidate
	servers    []*server
}

// service is a service with its epochs in use, lowest first.
type service struct {
	name        string
	hash        uint64
	spec        parser.Service // from the sheet
	basis       uint64         // digest of spec
	listed      bool           // in the sheet in use
	epochs      []*epoch       // active, the epochs other instances may still use, and staged
	active      *epoch
	staged      *epoch
	settled     *epoch // active when all instances last agreed
	stagedAt    time.Time
	activatedAt time.Time
	changedAt   time.Time // of the last change in its ServiceState
	scanCursor  int       // shards scanned for the staged epoch
	scanned     EpochID
	prepared    EpochID
	clean       bool   // every flow that differs from the active epoch is pinned everywhere
	behind      bool   // another instance opens flows by a newer epoch
	generation  uint16 // counts changes of the set of epochs
	policy      policy
}

// serverID derives the wire identity of a backend server in a service; never 0.
func serverID(service string, endpoint netip.AddrPort) uint32 {
	return uint32(xxhash.Sum64String(service+" "+endpoint.String())) | 1
}

func toEndpoint(address netip.AddrPort) Endpoint {
	bytes := address.Addr().As4()
	packed := uint32(bytes[0])<<24 | uint32(bytes[1])<<16 | uint32(bytes[2])<<8 | uint32(bytes[3])
	return Endpoint{Address: packed, Port: address.Port()}
}

func (endpoint Endpoint) addrPort() netip.AddrPort {
	packed := endpoint.Address
	address := netip.AddrFrom4([4]byte{byte(packed >> 24), byte(packed >> 16), byte(packed >> 8), byte(packed)})
	return netip.AddrPortFrom(address, endpoint.Port)
}

func specAddress(spec parser.Service) serviceAddress {
	protocol := uint8(framer.ProtocolTCP)
	if spec.Protocol == parser.UDP {
		protocol = framer.ProtocolUDP
	}
	return serviceAddress{address: spec.Address.Addr().As4(), port: spec.Address.Port(), protocol: protocol}
}

// server returns the backend server at endpoint, which it makes known when it is new.
func (service *service) server(decider *Decider, name string, endpoint netip.AddrPort) *server {
	id := serverID(service.name, endpoint)
	known, ok := decider.servers[id]
	if !ok {
		known = &server{id: id, name: name, endpoint: endpoint, service: service}
		known.load.Server = id
		decider.servers[id] = known
		decider.endpoints[endpointKey{service: service, endpoint: endpoint}] = known
	}
	return known
}

func (service *service) newEpoch(decider *Decider, wire Epoch) *epoch {
	result := &epoch{Epoch: wire}
	for _, epochServer := range wire.Servers {
		server := service.server(decider, epochServer.Name, epochServer.Endpoint.addrPort())
		result.servers = append(result.servers, server)
		result.candidates = append(result.candidates, picker.Candidate{ID: uint64(server.id), Weight: float64(epochServer.Weight)})
	}
	return result
}

// pick returns the backend server that the epoch gives to a flow, or nil.
func (epoch *epoch) pick(key uint64) *server {
	winner := picker.Pick(key, epoch.candidates)
	if winner == picker.None {
		return nil
	}
	return epoch.servers[winner]
}

func (epoch *epoch) weight(id uint32) float32 {
	for i, server := range epoch.servers {
		if server.id == id {
			return epoch.Servers[i].Weight
		}
	}
	return 0
}

// unpinned returns the backend server of a flow that has no pin, or nil when that is not certain.
func (service *service) unpinned(key uint64) *server {
	if service.clean && !service.behind && service.active != nil {
		return service.active.pick(key)
	}
	return service.certain(key)
}

// certain returns the backend server on which every epoch in use agrees, or nil.
func (service *service) certain(key uint64) *server {
	if service.active == nil {
		return nil
	}
	first := service.active.pick(key)
	for _, epoch := range service.epochs {
		if epoch != service.active && epoch.pick(key) != first {
			return nil
		}
	}
	return first
}

// anyEpochPicks reports whether some epoch in use gives the flow to the backend server.
func (service *service) anyEpochPicks(key uint64, id uint32) bool {
	for _, epoch := range service.epochs {
		if picked := epoch.pick(key); picked != nil && picked.id == id {
			return true
		}
	}
	return false
}

// oldest returns the lowest epoch in use, or nil.
func (service *service) oldest() *epoch {
	if len(service.epochs) == 0 {
		return nil
	}
	return service.epochs[0]
}
