package viewer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentowind/pimentowind/picker"
)

// A packet's token names the server of its flow. It is computed from the name of the server and the
// addresses of the flow alone, so that every instance reads it alike, whatever it has seen of the
// servers before. The upper half is the server's and narrows the search, the lower half differs from
// flow to flow: two servers have the same token in one of 2^32 flows, and such a flow is opened at
// neither of them. The format must not change, as the programs of several versions run side by side.
//
// Programs before this one give all flows of a server the same token, BackendServer.Token, which is
// understood too.

const (
	serverBits = 16 // of a token, from the hash of the server's name
	flowBits   = 32 - serverBits
)

// FlowToken returns the token of a flow at a server; flow is a hash of its addresses that is the
// same at all instances. It is never 0, which means that a packet has no token.
func (backendServer *BackendServer) FlowToken(flow uint32) uint32 {
	return flowToken(backendServer.key(), flow)
}

func flowToken(key uint64, flow uint32) uint32 {
	ofFlow := picker.Hash(key, uint64(flow)) & (1<<flowBits - 1)
	return max(uint32(key>>(64-serverBits))<<flowBits|uint32(ofFlow), 1)
}

// key returns the number by which the server is found; its incarnations share it.
func (backendServer *BackendServer) key() uint64 { return xxhash.Sum64String(backendServer.Name) }

// ServerOfFlow returns the server of a flow whose packets carry token, nil if none is known or several
// have it. It also finds servers that are leaving, evacuated or were removed recently (see maxFlowAge).
func (view *View) ServerOfFlow(token, flow uint32) *BackendServer {
	if server, count := view.withToken(token, flow); count == 1 {
		return server
	}
	return nil
}

// SharesToken reports whether several servers have the token of a flow.
func (view *View) SharesToken(token, flow uint32) bool {
	_, count := view.withToken(token, flow)
	return count > 1
}

// withToken returns one of the servers of which a flow may be whose packets carry token, and their number.
func (view *View) withToken(token, flow uint32) (*BackendServer, int) {
	var found *BackendServer
	count := 0
	first := uint64(token>>flowBits) << (64 - serverBits)
	for _, entry := range view.byKey.between(first, first|(1<<(64-serverBits)-1)) {
		if flowToken(entry.number, flow) == token {
			found = entry.server
			count++
		}
	}
	if count > 0 {
		return found, count
	}
	sharing := view.byToken.between(uint64(token), uint64(token))
	if len(sharing) == 0 {
		return nil, 0
	}
	return sharing[0].server, len(sharing)
}

// ServersByToken returns the servers whose Token is token, those that were removed recently included.
func (view *View) ServersByToken(token uint32) []*BackendServer {
	var servers []*BackendServer
	for _, entry := range view.byToken.between(uint64(token), uint64(token)) {
		servers = append(servers, entry.server)
	}
	return servers
}

// EntryOf returns the entry that a server has in the view, nil if it has none.
func (view *View) EntryOf(server *BackendServer) *BackendServer {
	key := server.key()
	for _, entry := range view.byKey.between(key, key) {
		if entry.server.Name == server.Name {
			return entry.server
		}
	}
	return nil
}

// serverIndex finds servers by numbers; it is sorted by them.
type serverIndex []numberedServer

type numberedServer struct {
	number uint64
	server *BackendServer
}

// newServerIndex returns an index of servers by the number that number returns.
func newServerIndex(servers []*BackendServer, number func(server *BackendServer) uint64) serverIndex {
	index := make(serverIndex, len(servers))
	for i, server := range servers {
		index[i] = numberedServer{number: number(server), server: server}
	}
	slices.SortFunc(index, numberedServer.compare)
	return index
}

// between returns the entries with numbers from first to last.
func (index serverIndex) between(first, last uint64) serverIndex {
	from, _ := slices.BinarySearchFunc(index, first, func(entry numberedServer, number uint64) int { return cmp.Compare(entry.number, number) })
	to := from
	for to < len(index) && index[to].number <= last {
		to++
	}
	return index[from:to]
}

func (entry numberedServer) compare(other numberedServer) int {
	if entry.number != other.number {
		return cmp.Compare(entry.number, other.number)
	}
	return cmp.Compare(entry.server.Name, other.server.Name)
}
