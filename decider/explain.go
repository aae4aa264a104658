package decider

import "github.com/pimentowind/pimentowind/framer"

// Explanation describes what an instance knows of a flow and how it decides about its packets.
type Explanation struct {
	Known   bool     `json:"known"`
	Server  string   `json:"backend_server,omitempty"`
	State   string   `json:"state,omitempty"`
	Pinned  bool     `json:"pinned"`
	Orphan  bool     `json:"orphan"`  // the home has changed, and the current one may not know the flow
	Home    string   `json:"home"`    // empty for the instance itself, or if no home is known
	Picks   []string `json:"picks"`   // backend server that each epoch in use picks, or "none"; oldest first
	InStep  bool     `json:"in_step"` // the instance has every pin that the others rely on
	Service string   `json:"service"`
}

var flowStateNames = [...]string{"", "opening", "established", "closing", "closed", "datagram"}

// Explain returns, for operators, what this instance knows of the flow with the given tuple as
// seen from the caller.
func (decider *Decider) Explain(tuple framer.Tuple) Explanation {
	explanation := Explanation{InStep: decider.hasAllPins()}
	service, ok := decider.servicesByAddress[serviceAddress{tuple.Destination, tuple.DestinationPort, tuple.Protocol}]
	if !ok {
		return explanation
	}
	key := flowKey(tuple)
	explanation.Service = service.name
	if home := decider.lastKnownHome(key); home != nil {
		explanation.Home = home.Name
	}
	for _, epoch := range service.epochs {
		picked := "none"
		if server := epoch.pick(key); server != nil {
			picked = server.name
		}
		explanation.Picks = append(explanation.Picks, picked)
	}
	if flow, known := decider.flows.get(key); known {
		explanation.Known = true
		explanation.Server = decider.servers[flow.serverID].name
		explanation.State = flowStateNames[flow.state]
		explanation.Pinned = flow.pinned
		explanation.Orphan = flow.orphan
	}
	return explanation
}
