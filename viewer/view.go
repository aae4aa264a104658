package viewer

import (
	"net/netip"

	"github.com/pimentowind/pimentowind/parser"
)

// View is an immutable snapshot of the configuration and the backend servers.
type View struct {
	Configuration *Configuration // nil until one was accepted
	Servers       *Servers       // nil until one was accepted
	Evacuations   *Evacuations   // nil until some were accepted

	routes    map[netip.AddrPort]*Route
	services  map[string]Service
	byService map[string][]*BackendServer // only servers that accept new flows
	evacuated map[string]bool             // services with active servers in evacuated failure domains
	byKey     serverIndex                 // all servers whose flows go on, by their keys
	byToken   serverIndex                 // the same by their tokens
	removed   []RemovedServer             // without those that are listed again or retained
	missing   []RemovedServer             // these, and those that are retained
}

// Complete reports whether the view has both a configuration and a list of servers.
func (view *View) Complete() bool { return view.Configuration != nil && view.Servers != nil }

// Route returns the route with an address, or nil.
func (view *View) Route(address netip.AddrPort) *Route { return view.routes[address] }

// Service returns what the configuration states about a service, which is nothing if it does
// not name it.
func (view *View) Service(name string) Service { return view.services[name] }

// ActiveServers returns the servers of a service that accept new flows; those in evacuated
// failure domains do not.
func (view *View) ActiveServers(service string) []*BackendServer { return view.byService[service] }

// IsEvacuated reports whether a service has active servers, but all in evacuated failure
// domains.
func (view *View) IsEvacuated(service string) bool {
	return view.evacuated[service] && len(view.byService[service]) == 0
}

// HasServerLeft reports whether any server accepts new flows.
func (view *View) HasServerLeft() bool { return len(view.byService) > 0 }

// Removed returns the servers that were removed recently (see maxFlowAge) and are not
// listed again; the slice must not be modified.
func (view *View) Removed() []RemovedServer { return view.removed }

// unlisted is what a Viewer knows of servers beside the newest list.
type unlisted struct {
	retained []*BackendServer     // treated as if they were listed
	removed  []RemovedServer      // only found by their tokens
	leaving  map[incarnation]bool // treated as leaving whatever the list says
}

// newView returns a View of a configuration, a list of servers and evacuations, each of
// which may be nil.
func newView(configuration *Configuration, servers *Servers, evacuations *Evacuations, unlisted unlisted) *View {
	view := &View{
		Configuration: configuration,
		Servers:       servers,
		Evacuations:   evacuations,
		routes:        map[netip.AddrPort]*Route{},
		services:      map[string]Service{},
		byService:     map[string][]*BackendServer{},
		evacuated:     map[string]bool{},
	}
	if configuration != nil {
		for i := range configuration.Routes {
			view.routes[configuration.Routes[i].Address] = &configuration.Routes[i]
		}
		for _, service := range configuration.Services {
			view.services[service.Name] = service
		}
	}
	if servers != nil {
		view.indexServers(servers, unlisted)
	}
	return view
}

// indexServers indexes the servers that are listed or retained by service, if they accept new flows,
// and together with those that were removed by what their packets carry.
func (view *View) indexServers(servers *Servers, unlisted unlisted) {
	known := make([]*BackendServer, 0, len(servers.List)+len(unlisted.retained)+len(unlisted.removed))
	for i := range servers.List {
		known = append(known, &servers.List[i])
	}
	known = append(known, unlisted.retained...)
	for _, server := range known {
		view.indexByService(server, unlisted.leaving)
	}
	view.byKey = newServerIndex(known, (*BackendServer).key)
	view.addRemoved(unlisted)
	if len(view.removed) > 0 {
		for _, removed := range view.removed {
			known = append(known, removed.Server)
		}
		view.byKey = newServerIndex(known, (*BackendServer).key)
	}
	view.byToken = newServerIndex(known, func(server *BackendServer) uint64 { return uint64(server.Token) })
}

// addRemoved notes the servers that were removed and are not listed again.
func (view *View) addRemoved(unlisted unlisted) {
	retained := make(map[*BackendServer]bool, len(unlisted.retained))
	for _, server := range unlisted.retained {
		retained[server] = true
	}
	for _, removed := range unlisted.removed {
		switch entry := view.EntryOf(removed.Server); {
		case entry == nil:
			view.removed, view.missing = append(view.removed, removed), append(view.missing, removed)
		case retained[entry]:
			view.missing = append(view.missing, removed)
		}
	}
}

// indexByService adds a server to those of its service that accept new flows, if it does.
func (view *View) indexByService(server *BackendServer, leaving map[incarnation]bool) {
	switch {
	case server.State != parser.Active || leaving[server.incarnation()]:
	case view.Evacuations.Contains(server.FailureDomain):
		view.evacuated[server.Service] = true
	default:
		view.byService[server.Service] = append(view.byService[server.Service], server)
	}
}
