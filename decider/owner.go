package decider

import (
	"time"

	"github.com/pimentowind/pimentowind/parser"
)

// Parameters of the weight policy.
const (
	maxWeightStep            = 1.10 // largest factor by which one epoch changes a weight
	weightHysteresis         = 0.10 // relative errors up to this are not corrected
	decayThreshold           = 0.05 // relative change of a weight after which older measurements count less
	decayedMeasurements      = 3    // number of measurements that the average then counts as
	minInheritedMeasurements = 6    // needed before a new owner changes weights that an earlier one measured
	maxWeightRatio           = 4.0  // largest factor between a weight and the sheet's
	minResponseBatches       = 6    // needed for one measurement
	minSmoothingFactor       = 0.12 // smallest share of the newest measurement in the moving average
)

// Parameters of the health policy.
const (
	minEjectionOpenings = 3               // unanswered openings that eject a backend server
	baseEjectionTime    = 5 * time.Second // before an ejected backend server is probed; doubled with each ejection
	maxEjectionTime     = 60 * time.Second
	slowStartShare      = 0.05 // share of its weight that a new or probed backend server starts with
	slowStartFactor     = 2.0  // growth of that share per WeightInterval
	shedThreshold       = 0.2  // share of shed openings above which a weight is lowered
)

// policy holds the measurements and ejections from which the owner of a service sets its
// weights. The owner is the instance of the view that rendezvous hashing over
// the service's name selects; it alone proposes the epochs of the service.
type policy struct {
	lastHealthUpdate time.Time
	lastWeightUpdate time.Time
	servers          map[uint32]*serverPolicy // by ID of the backend server
	owned            bool                     // this instance is the owner
	inherited        bool                     // the weights in use were measured by an earlier owner
}

// serverPolicy is what the owner has measured and decided for one backend server.
type serverPolicy struct {
	openings, accepted, shed, returned uint32  // since the last health update
	responseBatches, minResponseSum    uint32  // since the last measurement
	smoothedResponse                   float64 // moving average of response times, in microseconds
	measurements                       int     // number of measurements in smoothedResponse
	slowStart                          float64 // share of the weight in use, 1 after slow start
	ejected                            bool
	ejectedUntil                       time.Time
	ejectionTime                       time.Duration // of the next ejection
	measuredWeight                     float64       // 0 while the sheet's weight is used
}

// owns reports whether this instance is the owner of a service.
func (decider *Decider) owns(service *service) bool {
	return decider.integrated && len(decider.view) > 0 && homeInView(decider.view, service.hash) == nil
}

// runOwnedServices updates the epochs of the services that this instance owns.
func (decider *Decider) runOwnedServices() {
	for _, service := range decider.sortedServices {
		if !service.listed || !decider.owns(service) {
			service.policy.owned = false
			continue
		}
		if !service.policy.owned {
			decider.takeOwnership(service)
		}
		decider.proposeForSheet(service)
		decider.updateHealth(service)
		decider.updateWeights(service)
	}
}

// takeOwnership starts a policy from the weights in use, so that a change of owner alone
// changes no weight.
func (decider *Decider) takeOwnership(service *service) {
	service.policy = policy{owned: true, lastHealthUpdate: decider.now, lastWeightUpdate: decider.now, servers: map[uint32]*serverPolicy{}}
	newest := service.newestEpoch()
	if newest == nil {
		return
	}
	for i, server := range newest.servers {
		weight := float64(newest.Servers[i].Weight)
		serverPolicy := service.policy.server(server.id)
		if weight > 0 {
			serverPolicy.measuredWeight = weight
		}
		service.policy.inherited = service.policy.inherited || weight != service.sheetWeight(server)
	}
}

// sheetWeight returns the weight of a backend server in the sheet, rounded as in an epoch, or 0 if
// it is not there.
func (service *service) sheetWeight(server *server) float64 {
	for _, row := range service.spec.BackendServers {
		if row.Address == server.endpoint {
			return float64(float32(row.Weight))
		}
	}
	return 0
}

// server returns the policy of a backend server, and adds it if it is new.
func (policy *policy) server(id uint32) *serverPolicy {
	result, ok := policy.servers[id]
	if !ok {
		result = &serverPolicy{slowStart: 1, ejectionTime: baseEjectionTime}
		policy.servers[id] = result
	}
	return result
}

// newestEpoch returns the highest epoch in use, or nil.
func (service *service) newestEpoch() *epoch {
	if len(service.epochs) == 0 {
		return nil
	}
	return service.epochs[len(service.epochs)-1]
}

// proposeForSheet proposes an epoch when the service's rows in the sheet have changed since
// the newest epoch.
func (decider *Decider) proposeForSheet(service *service) {
	newest := service.newestEpoch()
	if newest != nil && newest.SheetDigest == service.sheetDigest {
		return
	}
	if newest != nil && newest.ID.SheetVersion > decider.sheetVersion {
		return
	}
	if newest != nil {
		service.slowStartNewServers(newest)
	}
	decider.propose(service, true)
}

// slowStartNewServers starts backend servers that join a running service with a small
// share of their weight.
func (service *service) slowStartNewServers(newest *epoch) {
	for _, row := range service.spec.BackendServers {
		id := serverID(service.name, row.Address)
		if row.State == parser.Active && newest.weight(id) == 0 {
			service.policy.server(id).slowStart = slowStartShare
		}
	}
}

// propose stages a new epoch, with the weights of the policy, on all reachable instances.
func (decider *Decider) propose(service *service, urgent bool) {
	id := EpochID{SheetVersion: decider.sheetVersion, Owner: uint32(decider.selfHash)}
	if newest := service.newestEpoch(); newest != nil && newest.ID.SheetVersion == decider.sheetVersion {
		id.Revision = newest.ID.Revision + 1
	}
	wire := Epoch{ID: id, Service: service.name, SheetDigest: service.sheetDigest, Urgent: urgent}
	for _, row := range service.spec.BackendServers {
		weight := service.policy.nextWeight(service, row)
		wire.Servers = append(wire.Servers, EpochServer{
			Name: row.Name, Endpoint: toEndpoint(row.Address), Weight: float32(weight),
		})
	}
	decider.counters.add(CountEpochsProposed, 1)
	decider.recordEvent(EventEpochProposed, "service", service.name, "epoch", id)
	decider.stageEpoch(wire)
	for _, member := range decider.sortedMembers {
		if member.reachable {
			decider.send(member, Message{Epochs: []Epoch{wire}})
		}
	}
}

// nextWeight returns the weight of a backend server of the sheet in the next epoch.
func (policy *policy) nextWeight(service *service, row parser.BackendServer) float64 {
	serverPolicy := policy.server(serverID(service.name, row.Address))
	if row.State != parser.Active || (serverPolicy.ejected && !policy.allEjected(service)) {
		return 0
	}
	weight := row.Weight
	if serverPolicy.measuredWeight > 0 {
		weight = min(max(serverPolicy.measuredWeight, row.Weight/maxWeightRatio), row.Weight*maxWeightRatio)
	}
	return weight * serverPolicy.slowStart
}

// sendLoads sends what this instance observed of the backend servers to each service's owner.
func (decider *Decider) sendLoads() {
	for _, service := range decider.sortedServices {
		var loads []ServerLoad
		for _, row := range service.spec.BackendServers {
			server := service.server(decider, row.Name, row.Address)
			if server.unsentLoad != (ServerLoad{Server: server.id}) {
				loads = append(loads, server.unsentLoad)
				server.unsentLoad = ServerLoad{Server: server.id}
			}
		}
		if len(loads) == 0 || len(decider.view) == 0 {
			continue
		}
		owner := homeInView(decider.view, service.hash)
		if owner == nil {
			decider.receiveLoads(loads)
			continue
		}
		decider.send(owner, Message{Loads: loads})
	}
}

// receiveLoads adds a report to the measurements of the services that this instance owns.
func (decider *Decider) receiveLoads(loads []ServerLoad) {
	for _, load := range loads {
		server, ok := decider.servers[load.Server]
		if !ok || !server.service.policy.owned {
			continue
		}
		serverPolicy := server.service.policy.server(load.Server)
		serverPolicy.openings += load.Openings
		serverPolicy.accepted += load.Accepted
		serverPolicy.shed += load.Shed
		serverPolicy.returned += load.Returned
		serverPolicy.responseBatches += load.ResponseBatches
		serverPolicy.minResponseSum += load.MinResponseSum
	}
}
