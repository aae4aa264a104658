package soaker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/parser"
)

// sharedTokens are identities of servers; the three of a line lead to one token of a server.
var sharedTokens = [][3]uint64{
	{0xe1ca167df0, 0xb81155cb99, 0xbcdbc191b0},
	{0xbece6e03ff, 0xcc9f00fe86, 0x9561f24303},
	{0xf9369e4586, 0x98021179dd, 0xf73eadfa2e},
	{0xd42de55831, 0xd2623fe055, 0xd6dfce18d4},
	{0xd1c8367dcf, 0xb0a1bdc0e8, 0xde37385e5c},
	{0x932ed5296f, 0x894d4ad29e, 0xff4da0ceb6},
	{0xd7642a7781, 0xf55127530b, 0xe0185dab89},
	{0xcd30eced97, 0xc810961854, 0xbb9da90d9a},
	{0x8930e4b0d2, 0xa5eae71393, 0xfc167be278},
	{0x9c908f7c44, 0xd9310d0423, 0xe0e0d77003},
	{0x8a3999c65b, 0xa7c77feb7f, 0xf358e75c43},
	{0xad9ab40f36, 0xdfeac8509c, 0xab4a718238},
	{0xb675326d1e, 0xc4b8d8eeaa, 0xd0e51cb4dd},
	{0x9c6ae0921e, 0xcdc2ce66af, 0xd23a7125cb},
	{0xca15e9a4d5, 0x8e03585f8d, 0xad02d5a100},
	{0xe115527f54, 0x977dc24334, 0xa98a790605},
	{0xf17e3e9e07, 0xc2fdc477d7, 0x98087dd888},
	{0xdbd5c0b315, 0xad08b8a087, 0x8997a4b686},
}

const (
	sharingFlows    = 6                       // that callers keep open at each server that shares a token
	listingTime     = 1200 * time.Millisecond // for the instances to learn of an entry
	maxListingPause = time.Second             // between two changes of the entries of such servers
	useInterval     = 50 * time.Millisecond   // between two requests on such a flow
)

// startSharing starts servers with one token, which have no entries yet. Each has started before
// the one in front of it. It returns an error once all sharedTokens are used.
func (soak *soak) startSharing(count int) ([]*server, error) {
	soak.mutex.Lock()
	number := soak.sharedTokensUsed
	soak.sharedTokensUsed++
	soak.mutex.Unlock()
	if number >= len(sharedTokens) {
		return nil, errors.New("no identities with one token are left")
	}
	var servers []*server
	for i, identity := range sharedTokens[number][:count] {
		server, err := soak.startServer(serviceByRoute[reportRoute], identity)
		if err != nil {
			return nil, err
		}
		server.started = time.Now().UnixMilli() - int64(i)
		servers = append(servers, server)
	}
	return servers, nil
}

// shareToken starts two or three servers with one token and lists them one by one. It takes their
// entries away and writes them again, restarts one of them under its name and drains all, while
// callers use their flows until the servers have ended.
func shareToken(soak *soak, parameters faultParameters) {
	servers, err := soak.startSharing(2 + parameters.choice%2)
	if err != nil {
		return // a long run has used all identities
	}
	random := rand.New(rand.NewPCG(uint64(parameters.choice), 1))
	var flows []*keptFlow
	for _, server := range servers {
		server.writeEntry(parser.Active)
		flows = useFor(flows, listingTime)
		flows = append(flows, soak.openKept(reportRoute, server.name, sharingFlows)...)
	}
	pause := func() time.Duration { return time.Duration(random.Int64N(int64(maxListingPause))) }
	for end := time.Now().Add(parameters.duration); time.Now().Before(end); {
		server := servers[random.IntN(len(servers))]
		server.removeEntry()
		flows = useFor(flows, pause())
		server.renewEntry()
		flows = useFor(flows, pause())
	}
	servers[random.IntN(len(servers))].restart()
	flows = useFor(flows, pause())
	for _, server := range servers {
		server.drain(drainGracePeriod)
	}
	for len(flows) > 0 {
		flows = slices.DeleteFunc(useFor(flows, useInterval), (*keptFlow).closeEnded)
	}
}

// restart makes a server start again under its name, without its flows.
func (server *server) restart() {
	server.mutex.Lock()
	server.started = time.Now().UnixMilli()
	clear(server.flows)
	server.mutex.Unlock()
	server.renewEntry()
}
