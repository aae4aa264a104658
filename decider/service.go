package decider

import (
	"net/netip"
	"time"

	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/picker"
)

// serviceAddress is the destination address, port and protocol of a service.
type serviceAddress struct {
	address  [4]byte
	port     uint16
	protocol uint8
}

// server is a backend server of one service; it is never removed while the process runs.
type server struct {
	id            uint32
	name          string
	endpoint      netip.AddrPort
	service       *service
	openFlows     int        // open flows that this instance is home of
	unsentLoad    ServerLoad // since the last report
	responses     responseBatch
	failureDomain string // from the sheet
	roundTrip     uint32 // smallest round-trip time in microseconds, 0 if not measured yet
}

// epoch is an Epoch with the data to pick backend servers.
type epoch struct {
	Epoch
	candidates []picker.Candidate
	servers    []*server
}

// service is a service with its epochs in use.
type service struct {
	name        string
	hash        uint64
	spec        parser.Service // from the sheet
	sheetDigest uint64         // digest of spec
	listed      bool           // in the sheet in use
	epochs      []*epoch       // by ID: the active and the staged one, and those that other instances may still use
	active      *epoch
	staged      *epoch // newest epoch until it is active
	lastAgreed  *epoch // the active epoch when all instances last agreed
	stagedAt    time.Time
	activatedAt time.Time
	changedAt   time.Time // when its ServiceState last changed
	scanCursor  int       // number of shards that the current pass over the flow table has scanned
	scanned     EpochID   // last epoch that reached this step, see stage.go; zero after a restart of the scan
	prepared    EpochID   // the same
	allPinned   bool      // every flow for which the active epoch picks another backend server is pinned on all instances
	behind      bool      // another instance opens flows by a newer epoch
	generation  uint16    // incremented when entries of the flow table must be checked against the epochs again
	policy      policy
}

// serverID returns the ID under which messages name a backend server of a service; never 0.
func serverID(service string, endpoint netip.AddrPort) uint32 {
	return parser.ServerID(service, endpoint)
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

func serviceAddressOf(spec parser.Service) serviceAddress {
	protocol := uint8(framer.ProtocolTCP)
	if spec.Protocol == parser.UDP {
		protocol = framer.ProtocolUDP
	}
	return serviceAddress{address: spec.Address.Addr().As4(), port: spec.Address.Port(), protocol: protocol}
}

// server returns the backend server at endpoint, and adds it if it is new.
func (service *service) server(decider *Decider, name string, endpoint netip.AddrPort) *server {
	id := serverID(service.name, endpoint)
	result, ok := decider.servers[id]
	if !ok {
		result = &server{id: id, name: name, endpoint: endpoint, service: service}
		result.unsentLoad.Server = id
		decider.servers[id] = result
		decider.serversByEndpoint[endpointKey{service: service, endpoint: endpoint}] = result
	}
	return result
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

// pick returns the backend server that the epoch selects for a flow, or nil.
func (epoch *epoch) pick(key uint64) *server {
	winner := picker.Pick(key, epoch.candidates)
	if winner == picker.None {
		return nil
	}
	return epoch.servers[winner]
}

// weight returns the weight of a backend server in the epoch, or 0 if it is not there.
func (epoch *epoch) weight(id uint32) float32 {
	for i, server := range epoch.servers {
		if server.id == id {
			return epoch.Servers[i].Weight
		}
	}
	return 0
}

// expectedServer returns the backend server of a flow without a pin, or nil if that is not certain.
func (service *service) expectedServer(key uint64) *server {
	if service.allPinned && !service.behind && service.active != nil {
		return service.active.pick(key)
	}
	return service.agreedServer(key)
}

// agreedServer returns the backend server that every epoch in use picks for a flow, or nil if they differ.
func (service *service) agreedServer(key uint64) *server {
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

// anyEpochPicks reports whether some epoch in use picks the backend server for a flow.
func (service *service) anyEpochPicks(key uint64, id uint32) bool {
	for _, epoch := range service.epochs {
		if picked := epoch.pick(key); picked != nil && picked.id == id {
			return true
		}
	}
	return false
}

// oldestEpoch returns the lowest epoch in use, or nil.
func (service *service) oldestEpoch() *epoch {
	if len(service.epochs) == 0 {
		return nil
	}
	return service.epochs[0]
}
