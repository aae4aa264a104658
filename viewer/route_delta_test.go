package viewer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func routeAt(number int, service string) Route {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(number)}), 443)
	return Route{Name: fmt.Sprintf("route-%d", number), Address: address, Shares: []Share{{Service: service, Weight: 1}}}
}

// randomVersion returns a newer configuration with random additions, removals and changes.
func randomVersion(random *rand.Rand, configuration *Configuration) *Configuration {
	next := &Configuration{Version: configuration.Version + 1 + random.Uint64N(5), IdleTimeout: time.Duration(random.IntN(3)) * time.Second}
	for _, route := range configuration.Routes {
		switch random.IntN(8) {
		case 0: // removed
		case 1:
			route.Shares = []Share{{Service: "other", Weight: 1}}
			next.Routes = append(next.Routes, route)
		case 2:
			route.Priority, route.IsRepeatable = random.IntN(3), random.IntN(2) == 0
			route.Objective, route.Timeout = time.Duration(random.IntN(3))*time.Second, time.Duration(random.IntN(3))*time.Second
			next.Routes = append(next.Routes, route)
		default:
			next.Routes = append(next.Routes, route)
		}
	}
	next.Services = configuration.Services
	switch random.IntN(4) {
	case 0:
		next.Services = nil
	case 1:
		next.Services = []Service{{Name: "desk-sync", WarmUpRate: float64(next.Version)}}
	}
	if added := routeAt(100+int(next.Version%100), "desk-sync"); !slices.ContainsFunc(next.Routes, func(route Route) bool { return route.Address == added.Address }) {
		next.Routes = append(next.Routes, added)
	}
	return next
}

func sorted(routes []Route) []Route {
	return slices.SortedFunc(slices.Values(routes), func(a, b Route) int { return cmp.Compare(a.Address.String(), b.Address.String()) })
}

func TestRouteDeltaReproducesTheNextVersion(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		last := &Configuration{Version: 1, Routes: []Route{routeAt(1, "desk-sync"), routeAt(2, "desk-sync"), routeAt(3, "report-desk")}}
		applied := last
		for range 8 {
			next := randomVersion(random, last)
			content, err := cbor.Marshal(DiffRoutes(last, next))
			assert.NilError(t, err)
			var delta RouteDelta
			assert.NilError(t, cbor.Unmarshal(content, &delta))
			applied = applied.Apply(&delta)
			assert.Assert(t, slices.Equal(applied.Services, next.Services), "seed %d: %v, not %v", seed, applied.Services, next.Services)
			assert.Equal(t, applied.Version, next.Version)
			assert.Equal(t, applied.IdleTimeout, next.IdleTimeout)
			assert.Assert(t, slices.EqualFunc(sorted(applied.Routes), sorted(next.Routes), func(a, b Route) bool {
				return a.Address == b.Address && a.equal(&b)
			}), "seed %d: %v, not %v", seed, applied.Routes, next.Routes)
			last = next
		}
	}
}

func TestRouteDeltaFromAnotherVersionIsNotApplied(t *testing.T) {
	assert.Assert(t, (&Configuration{Version: 5}).Apply(&RouteDelta{Base: 4, Version: 6}) == nil)
}

func TestNoRouteDeltaWithDuplicateAddress(t *testing.T) {
	once := &Configuration{Version: 1, Routes: []Route{routeAt(1, "a")}}
	twice := &Configuration{Version: 2, Routes: []Route{routeAt(1, "a"), routeAt(1, "b")}}
	assert.Assert(t, DiffRoutes(once, twice) == nil)
	assert.Assert(t, DiffRoutes(twice, once) == nil)
}
