package viewer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/parser"
)

// Configuration is one version of the operator's routes.
type Configuration struct {
	Version     uint64
	Routes      []Route
	IdleTimeout time.Duration // a flow without packets for this long may be forgotten
}

// Route is an address that callers use and the services that share its new flows.
type Route struct {
	Name    string
	Address netip.AddrPort
	Shares  []Share
}

// Share is the part of a route's new flows that a service gets, in proportion to Weight.
type Share struct {
	Service string
	Weight  float64
}

// Servers is the list of backend servers at one revision of the platform's store.
type Servers struct {
	Revision uint64
	List     []BackendServer // sorted by Name
}

// BackendServer is one incarnation of a backend server.
type BackendServer struct {
	Name          string         `cbor:"1,keyasint"`
	Identity      uint64         `cbor:"2,keyasint"` // names the server on the path, so that a reused address takes no foreign packets
	Token         uint32         `cbor:"3,keyasint"` // what the packets of the server's flows carry
	Service       string         `cbor:"4,keyasint"`
	Address       netip.AddrPort `cbor:"5,keyasint"`
	FailureDomain string         `cbor:"6,keyasint"`
	Slots         int            `cbor:"7,keyasint"`
	State         parser.State   `cbor:"8,keyasint"`
	StartedAt     int64          `cbor:"9,keyasint"`           // Unix milliseconds; tells incarnations with one name apart
	ColdUntil     time.Time      `cbor:"10,keyasint,omitzero"` // slower than usual before
}

// SameIncarnation reports whether both are one incarnation.
func (backendServer *BackendServer) SameIncarnation(other *BackendServer) bool {
	return backendServer.Name == other.Name && backendServer.StartedAt == other.StartedAt
}

// Contains reports whether servers has the incarnation of wanted.
func Contains(servers []*BackendServer, wanted *BackendServer) bool {
	for _, server := range servers {
		if server.SameIncarnation(wanted) {
			return true
		}
	}
	return false
}

// Digest returns a number that changes with everything but Revision and ColdUntil.
func (servers *Servers) Digest() uint64 {
	digest := xxhash.New()
	for i := range servers.List {
		servers.List[i].addTo(digest)
	}
	return digest.Sum64()
}

// View is everything that is known at one moment; it does not change.
type View struct {
	Configuration *Configuration // nil until known
	Servers       *Servers       // nil until known

	routes    map[netip.AddrPort]*Route
	byService map[string][]*BackendServer
	byToken   map[uint32]*BackendServer
}

// Complete reports whether both the configuration and the servers are known.
func (view *View) Complete() bool { return view.Configuration != nil && view.Servers != nil }

// Route returns the route of an address, or nil.
func (view *View) Route(address netip.AddrPort) *Route { return view.routes[address] }

// ActiveServers returns the servers of a service that take new flows.
func (view *View) ActiveServers(service string) []*BackendServer { return view.byService[service] }

// ServerByToken returns the server whose flows carry token, or nil; servers that are
// leaving or have lately gone are found too.
func (view *View) ServerByToken(token uint32) *BackendServer { return view.byToken[token] }

func newView(configuration *Configuration, servers *Servers, missing, gone []*BackendServer) *View {
	view := &View{
		Configuration: configuration,
		Servers:       servers,
		routes:        map[netip.AddrPort]*Route{},
		byService:     map[string][]*BackendServer{},
		byToken:       map[uint32]*BackendServer{},
	}
	if configuration != nil {
		for i := range configuration.Routes {
			view.routes[configuration.Routes[i].Address] = &configuration.Routes[i]
		}
	}
	if servers != nil {
		view.index(servers, missing)
	}
	for _, server := range gone {
		if view.byToken[server.Token] == nil {
			view.byToken[server.Token] = server
		}
	}
	return view
}

// index lets the server that started first have a token that two share; the
// other takes no new flows, since its later packets could not be told apart.
func (view *View) index(servers *Servers, missing []*BackendServer) {
	byStart := make([]*BackendServer, len(servers.List), len(servers.List)+len(missing))
	for i := range servers.List {
		byStart[i] = &servers.List[i]
	}
	byStart = append(byStart, missing...)
	slices.SortStableFunc(byStart, func(a, b *BackendServer) int {
		return cmp.Compare(a.StartedAt, b.StartedAt)
	})
	for _, server := range byStart {
		if view.byToken[server.Token] != nil {
			continue
		}
		view.byToken[server.Token] = server
		if server.State == parser.Active {
			view.byService[server.Service] = append(view.byService[server.Service], server)
		}
	}
}
