package steerer

import (
	"slices"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// IssueServerTokens sets whether new flows get the token of their server, which programs from before
// tokens of flows understand, where no other server has it. It may be called concurrently.
func (steerer *Steerer) IssueServerTokens(issues bool) { steerer.issuesServerTokens.Store(issues) }

// issueToken sets the token of an opening that is sent; later packets keep theirs.
func (steerer *Steerer) issueToken(verdict *Verdict, view *viewer.View) {
	if verdict.Action == Send && verdict.Token == 0 {
		verdict.Token = steerer.tokenAt(verdict.Server, hashOf(verdict.Flow), view)
	}
}

// tokenAt returns the token that a new flow gets at a server.
func (steerer *Steerer) tokenAt(server *viewer.BackendServer, flow uint32, view *viewer.View) uint32 {
	if steerer.issuesServerTokens.Load() && len(view.ServersByToken(server.Token)) == 1 {
		return server.Token
	}
	return server.FlowToken(flow)
}

// selectIdentified returns the server for an opening whose token leads back to it alone, or nil and
// the reason if there is none that may get a flow now.
func (steerer *Steerer) selectIdentified(key FlowKey, candidates, attempted []*viewer.BackendServer, view *viewer.View, now time.Time) (*viewer.BackendServer, Reason) {
	flow, reason := hashOf(key), ReasonWarmingUp
	for excluded := attempted; ; reason = ReasonNoToken {
		server := steerer.placer.Select(candidates, excluded, now)
		if server == nil || view.ServerOfFlow(steerer.tokenAt(server, flow, view), flow) == server {
			return server, reason
		}
		if viewer.Contains(excluded, server) {
			return nil, ReasonNoToken
		}
		excluded = append(slices.Clip(excluded), server)
	}
}

// serverOf returns the server of the flow of a later packet, or nil and the reason if it is not known.
// Such a flow is not reset, as its server may be alive and missing only in this instance's view.
func serverOf(packet *Packet, view *viewer.View) (*viewer.BackendServer, Reason) {
	if packet.Token == 0 {
		return nil, ReasonUnknownToken
	}
	flow := hashOf(packet.Flow)
	server := view.ServerOfFlow(packet.Token, flow)
	if server == nil && view.SharesToken(packet.Token, flow) {
		return nil, ReasonAmbiguousToken
	}
	return server, ReasonUnknownToken
}

// hashOf returns the hash of a flow that its tokens are made with.
func hashOf(key FlowKey) uint32 {
	followKey := newFollowKey(key)
	return followKey.hash()
}
