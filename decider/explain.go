package decider

import "github.com/pimentowind/pimentowind/framer"

// Explanation says what an instance knows of one flow and how it would decide.
type Explanation struct {
	Known   bool     `json:"known"`
	Server  string   `json:"backend_server,omitempty"`
	State   string   `json:"state,omitempty"`
	Pinned  bool     `json:"pinned"`
	Orphan  bool     `json:"orphan"`
	Home    string   `json:"home"`    // empty for the instance itself
	Picks   []string `json:"picks"`   // by epoch in use, oldest first
	HasAllPins  bool     `json:"in_step"` // the instance holds every pin that the others rely on
	Service string   `json:"service"`
}

var stateNames = [...]string{"", "opening", "established", "closing", "closed", "datagram"}

// Explain tells operators how a flow, given by its tuple as seen from the caller, is decided.
func (decider *Decider) Explain(tuple framer.Tuple) Explanation {
	explanation := Explanation{HasAllPins: decider.consistent()}
	service, ok := decider.addresses[serviceAddress{tuple.Destination, tuple.DestinationPort, tuple.Protocol}]
	if !ok {
		return explanation
	}
	key := flowKey(tuple)
	explanation.Service = service.name
	if home := decider.homeOrNil(key); home != nil {
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
		explanation.Server = decider.servers[flow.server].name
		explanation.State = stateNames[flow.state]
		explanation.Pinned = flow.pinned
		explanation.Orphan = flow.orphan
	}
	return explanation
}
