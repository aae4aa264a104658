package viewer

import (
	"math"

	"github.com/go-faster/errors"
)

// Check returns an error if a route cannot be in force as another instance, or the saved
// snapshot, states it.
func (route *Route) Check() error {
	switch {
	case !route.Address.IsValid():
		return errors.Errorf("route %q has no address", route.Name)
	case len(route.Shares) == 0:
		return errors.Errorf("route %q has no service", route.Name)
	}
	for _, share := range route.Shares {
		if !(share.Weight >= 0) || math.IsInf(share.Weight, 1) { // the former also if it is no number
			return errors.Errorf("route %q has a share of weight %g", route.Name, share.Weight)
		}
	}
	return nil
}

// Check returns an error if no packet can be sent to a server as another instance, or the saved
// snapshot, states it.
func (backendServer *BackendServer) Check() error {
	switch {
	case backendServer.Name == "" || backendServer.Token == 0:
		return errors.Errorf("backend server %q has token %d", backendServer.Name, backendServer.Token)
	case !backendServer.Address.Addr().Is4() || backendServer.Address.Port() == 0:
		return errors.Errorf("backend server %q has address %s", backendServer.Name, backendServer.Address)
	}
	return nil
}

// Check returns the error of the first invalid route; configuration may be nil.
func (configuration *Configuration) Check() error {
	if configuration == nil {
		return nil
	}
	return checkRoutes(configuration.Routes)
}

// Check returns the error of the first invalid server; servers may be nil.
func (servers *Servers) Check() error {
	if servers == nil {
		return nil
	}
	return checkServers(servers.List)
}

// Check returns the error of the first invalid route; routeDelta may be nil.
func (routeDelta *RouteDelta) Check() error {
	if routeDelta == nil {
		return nil
	}
	return checkRoutes(routeDelta.Changed)
}

// Check returns the error of the first invalid server; serverDelta may be nil.
func (serverDelta *ServerDelta) Check() error {
	if serverDelta == nil {
		return nil
	}
	return checkServers(serverDelta.Changed)
}

// CheckRemovals returns the error of the first invalid server or age.
func CheckRemovals(removals []Removal) error {
	for i := range removals {
		if err := removals[i].Server.Check(); err != nil {
			return err
		}
		if removals[i].Age < 0 {
			return errors.Errorf("backend server %q was removed %s ago", removals[i].Server.Name, removals[i].Age)
		}
	}
	return nil
}

func checkRoutes(routes []Route) error {
	for i := range routes {
		if err := routes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

func checkServers(servers []BackendServer) error {
	for i := range servers {
		if err := servers[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
