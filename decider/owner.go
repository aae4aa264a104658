package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/parser"
)

// Bounds of the weight policy.
const (
	weightStep            = 1.10 // largest change of one weight in one epoch
	weightHysteresis      = 0.10 // largest relative error that is left alone
	staleChange           = 0.05 // change of a weight after which older measurements count for less
	staleMeasurements     = 3    // that they count for then
	inheritedMeasurements = 6    // before a new owner changes weights that an earlier one measured
	weightRange           = 4.0  // largest factor between a weight and the sheet's
	minBatches            = 6    // response batches before a strength is believed
	floorSmoothing        = 0.12 // smallest share of the newest measurement in the smoothed one
)

// Bounds of the health policy.
const (
	minDownOpenings = 3               // unanswered openings that mark a backend server down
	firstHold       = 5 * time.Second // before a down backend server is tried again
	maxHold         = 60 * time.Second
	probeShare      = 0.05 // of its weight that a returning backend server starts with
	rampFactor      = 2.0  // growth of that share every WeightInterval
	shedShare       = 0.2  // of openings shed that lowers a weight
)

// policy is what the owner of a service knows of its backend servers.
type policy struct {
	lastHealth  time.Time
	lastWeights time.Time
	servers     map[uint32]*serverPolicy
	owned       bool
	inherited   bool // the weights in use were measured by an earlier owner
}

// serverPolicy is what the owner knows of one backend server.
type serverPolicy struct {
	openings, accepted, shed, returned uint32  // since the last health run
	batches, batchSums                 uint32  // since the last believed strength
	floor                              float64 // smoothed, in microseconds
	measured                           int     // measurements in floor
	ramp                               float64 // share of the weight in use, 1 when warm
	down                               bool
	downUntil                          time.Time
	hold                               time.Duration
	learned                            float64 // weight from measurement, 0 for the sheet's
}

func (decider *Decider) owns(service *service) bool {
	return decider.integrated && len(decider.view) > 0 && topOf(decider.view, service.hash) == nil
}

// runOwned runs the policy of the services that this instance owns.
func (decider *Decider) runOwned() {
	for _, service := range decider.catalogue {
		if !service.listed || !decider.owns(service) {
			service.policy.owned = false
			continue
		}
		if !service.policy.owned {
			decider.takeOwnership(service)
		}
		decider.followSheet(service)
		decider.runHealth(service)
		decider.runWeights(service)
	}
}

// takeOwnership starts from the weights in use, so that a new owner changes nothing at once.
func (decider *Decider) takeOwnership(service *service) {
	service.policy = policy{owned: true, lastHealth: decider.now, lastWeights: decider.now, servers: map[uint32]*serverPolicy{}}
	newest := service.newest()
	if newest == nil {
		return
	}
	for i, server := range newest.servers {
		weight := float64(newest.Servers[i].Weight)
		state := service.policy.server(server.id)
		if weight > 0 {
			state.learned = weight
		}
		service.policy.inherited = service.policy.inherited || weight != service.sheetWeight(server)
	}
}

func (service *service) sheetWeight(server *server) float64 {
	for _, row := range service.spec.BackendServers {
		if row.Address == server.endpoint {
			return float64(float32(row.Weight))
		}
	}
	return 0
}

func (policy *policy) server(id uint32) *serverPolicy {
	known, ok := policy.servers[id]
	if !ok {
		known = &serverPolicy{ramp: 1, hold: firstHold}
		policy.servers[id] = known
	}
	return known
}

func (service *service) newest() *epoch {
	if len(service.epochs) == 0 {
		return nil
	}
	return service.epochs[len(service.epochs)-1]
}

// followSheet proposes an epoch when the sheet's rows differ from the newest one's.
func (decider *Decider) followSheet(service *service) {
	newest := service.newest()
	if newest != nil && newest.SheetDigest == service.basis {
		return
	}
	if newest != nil && newest.ID.SheetVersion > decider.sheetVersion {
		return
	}
	if newest != nil {
		service.warmNewServers(newest)
	}
	decider.propose(service, true)
}

// warmNewServers lets backend servers that join a running service start with a small share.
func (service *service) warmNewServers(newest *epoch) {
	for _, row := range service.spec.BackendServers {
		id := serverID(service.name, row.Address)
		if row.State == parser.Active && newest.weight(id) == 0 {
			service.policy.server(id).ramp = probeShare
		}
	}
}

// propose stages a new epoch everywhere, with the weights that the policy gives.
func (decider *Decider) propose(service *service, urgent bool) {
	id := EpochID{SheetVersion: decider.sheetVersion, Owner: uint32(decider.selfHash)}
	if newest := service.newest(); newest != nil && newest.ID.SheetVersion == decider.sheetVersion {
		id.Revision = newest.ID.Revision + 1
	}
	wire := Epoch{ID: id, Service: service.name, SheetDigest: service.basis, Urgent: urgent}
	for _, row := range service.spec.BackendServers {
		weight := service.policy.weight(service, row)
		wire.Servers = append(wire.Servers, EpochServer{
			Name: row.Name, Endpoint: toEndpoint(row.Address), Weight: float32(weight),
		})
	}
	decider.counters.add(CountEpochsProposed, 1)
	decider.event(EventEpochProposed, "service", service.name, "epoch", id)
	decider.stage(wire)
	for _, member := range decider.roster {
		if member.alive {
			decider.send(member, Message{Epochs: []Epoch{wire}})
		}
	}
}

// weight is the weight of a sheet's row in the next epoch.
func (policy *policy) weight(service *service, row parser.BackendServer) float64 {
	state := policy.server(serverID(service.name, row.Address))
	if row.State != parser.Active || (state.down && !policy.allDown(service)) {
		return 0
	}
	weight := row.Weight
	if state.learned > 0 {
		weight = min(max(state.learned, row.Weight/weightRange), row.Weight*weightRange)
	}
	return weight * state.ramp
}

// sendLoads tells each service's owner what this instance saw.
func (decider *Decider) sendLoads() {
	for _, service := range decider.catalogue {
		var loads []ServerLoad
		for _, row := range service.spec.BackendServers {
			server := service.server(decider, row.Name, row.Address)
			if server.load != (ServerLoad{Server: server.id}) {
				loads = append(loads, server.load)
				server.load = ServerLoad{Server: server.id}
			}
		}
		if len(loads) == 0 || len(decider.view) == 0 {
			continue
		}
		owner := topOf(decider.view, service.hash)
		if owner == nil {
			decider.receiveLoads(loads)
			continue
		}
		decider.send(owner, Message{Loads: loads})
	}
}

// receiveLoads adds a report to what the owner knows.
func (decider *Decider) receiveLoads(loads []ServerLoad) {
	for _, load := range loads {
		server, ok := decider.servers[load.Server]
		if !ok || !server.service.policy.owned {
			continue
		}
		state := server.service.policy.server(load.Server)
		state.openings += load.Openings
		state.accepted += load.Accepted
		state.shed += load.Shed
		state.returned += load.Returned
		state.batches += load.ResponseBatches
		state.batchSums += load.MinResponseSum
	}
}
