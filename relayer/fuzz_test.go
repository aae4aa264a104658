package relayer

import (
	"bytes"
	"context"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(encode(Heartbeat{Sender: Member{Name: "lb-1"}, ServersRevision: 7, ServersDelta: &viewer.ServerDelta{Base: 1, Revision: 7, Removed: []string{"a"}}}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		var heartbeat Heartbeat
		if decode(content, &heartbeat) == nil && heartbeat.ServersDelta != nil {
			(&viewer.Servers{Revision: heartbeat.ServersDelta.Base}).Apply(heartbeat.ServersDelta)
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	plain := encodeSnapshot(snapshotRequest{}, Snapshot{Members: []Member{{Name: "lb-1"}}})
	f.Add(encode(snapshotEnvelope{Age: time.Second, Content: plain.content}))
	f.Add(encode(snapshotEnvelope{IsCompressed: true, Content: s2.Encode(nil, plain.content)}))
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		decodeSnapshot(content)
	})
}

// mute is a network that sends nothing and returns the same content to each fetch.
type mute struct{ fetched []byte }

func (mute mute) Drained() time.Time { return time.Now() }

func (mute mute) Send(netip.AddrPort, []byte) {}

func (mute mute) Fetch(context.Context, netip.AddrPort, uint64, viewer.Revision) ([]byte, error) {
	return mute.fetched, nil
}

// newMuteRelayer returns a relayer with a view whose fetches return the content.
func newMuteRelayer(fetched []byte) *Relayer {
	node := &node{simulation: newFleetSimulation(), viewer: viewer.NewViewer()}
	node.viewer.ApplyConfiguration(configurationWithRoutes(1, 2))
	node.viewer.ApplyServers(&viewer.Servers{Revision: 1, List: []viewer.BackendServer{backendServer("a", parser.Active)}}, time.Now())
	detectors := Detectors{Failures: examiner.NewFailureDetector(), Slowness: examiner.NewSlownessDetector()}
	return NewRelayer(backendMember("lb-0"), nil, node.viewer, node, mute{fetched: fetched}, detectors, node)
}

func FuzzReceive(f *testing.F) {
	sender := backendMember("lb-1")
	server := backendServer("b", parser.Active)
	snapshot := encode(snapshotEnvelope{Content: encode(Snapshot{Members: []Member{sender}, Servers: &viewer.Servers{Revision: 9}})})
	f.Add(encode(Heartbeat{Sender: sender, ServersRevision: 7, ConfigurationVersion: 2}), snapshot)
	f.Add(encode(Heartbeat{Sender: sender, Suspicions: []uint32{7, 7}, SlowSuspicions: []uint32{7, 7}, Ejections: []Ejection{{Token: 7, IsSlow: true}}}), snapshot)
	f.Add(encode(suspicionReport{Failing: []uint32{7, 7}, Slow: []uint32{7}}), snapshot)
	f.Add([]byte{0x82, 0x80}, snapshot)
	f.Add(encode(Heartbeat{
		Sender: sender, ServersRevision: 2, ConfigurationVersion: 2, Leaving: true,
		ServersDelta: &viewer.ServerDelta{Base: 1, Revision: 2, Changed: []viewer.BackendServer{server}, Removed: []string{"a"}},
		RouteDelta:   &viewer.RouteDelta{Base: 1, Version: 2, Removed: []netip.AddrPort{sender.PeerAddress}},
	}), []byte{0xa0})
	f.Add(encode(Heartbeat{Sender: sender, ServersRevision: 9, PassOn: []netip.AddrPort{sender.PeerAddress, {}}, Asks: true}), snapshot)
	f.Add(encode(Heartbeat{Sender: sender, ServersRevision: 9, Relay: &sender.ControlAddress}), snapshot)
	f.Fuzz(func(_ *testing.T, content, fetched []byte) {
		relayer := newMuteRelayer(bytes.Clone(fetched)) // a fetch in the background outlives this call
		if relayer.Receive(context.Background(), content) != nil {
			return
		}
		relayer.fetch(context.Background(), sender)
		relayer.announceToDomainAndLeaders()
		relayer.Snapshot(0, viewer.Revision{})
	})
}

func backendMember(name string) Member {
	address := netip.MustParseAddrPort("10.0.0.9:7720")
	return Member{Name: name, FailureDomain: "dakar-0", PeerAddress: address, ControlAddress: address}
}

func TestInvalidHeartbeatsChangeNothing(t *testing.T) {
	valid := Heartbeat{Sender: backendMember("lb-1"), ServersRevision: 1, ConfigurationVersion: 1}
	cases := map[string]func(heartbeat *Heartbeat){
		"no name":                    func(heartbeat *Heartbeat) { heartbeat.Sender.Name = "" },
		"no peer address":            func(heartbeat *Heartbeat) { heartbeat.Sender.PeerAddress = netip.AddrPort{} },
		"no control address":         func(heartbeat *Heartbeat) { heartbeat.Sender.ControlAddress = netip.AddrPort{} },
		"age in the future":          func(heartbeat *Heartbeat) { heartbeat.Age = -time.Hour },
		"negative number of members": func(heartbeat *Heartbeat) { heartbeat.InstanceCount = -5 },
		"evacuation without a name": func(heartbeat *Heartbeat) {
			heartbeat.Evacuations = &viewer.Evacuations{Revision: 9, Domains: []string{""}}
		},
		"evacuations not in order": func(heartbeat *Heartbeat) {
			heartbeat.Evacuations = &viewer.Evacuations{Revision: 9, Domains: []string{"b", "a"}}
		},
		"evacuation with a long name": func(heartbeat *Heartbeat) {
			heartbeat.Evacuations = &viewer.Evacuations{Revision: 9, Domains: []string{strings.Repeat("a", maxEvacuatedBytes+1)}}
		},
		"too many evacuations": func(heartbeat *Heartbeat) {
			heartbeat.Evacuations = &viewer.Evacuations{Revision: 9}
			for i := range maxEvacuatedDomains + 1 {
				heartbeat.Evacuations.Domains = append(heartbeat.Evacuations.Domains, string(rune('0'+i)))
			}
		},
		"too many to pass it on to": func(heartbeat *Heartbeat) {
			heartbeat.PassOn = slices.Repeat([]netip.AddrPort{heartbeat.Sender.PeerAddress}, maxPassOnCount+1)
		},
		"ejection without an end": func(heartbeat *Heartbeat) { heartbeat.Ejections = []Ejection{{Token: 7, Duration: time.Hour}} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			relayer, heartbeat := newMuteRelayer(nil), valid
			change(&heartbeat)
			assert.Assert(t, relayer.Receive(t.Context(), encode(heartbeat)) != nil)
			assert.Equal(t, len(relayer.members), 0)
			assert.Assert(t, relayer.viewer.Current().Evacuations == nil)
			assert.Equal(t, relayer.Instances(), 1)
			assert.Assert(t, relayer.schedule.freshAt.IsZero())
		})
	}
	relayer := newMuteRelayer(nil)
	assert.NilError(t, relayer.Receive(t.Context(), encode(valid)))
	assert.Equal(t, len(relayer.members), 1)
}

func TestHeartbeatsQueuedDuringAPauseDoNotConfirmTheView(t *testing.T) {
	relayer := newMuteRelayer(nil)
	paused := true
	relayer.SetPauseDetector(func(time.Time) bool { return paused })
	heartbeat := encode(Heartbeat{Sender: backendMember("lb-1"), ServersRevision: 1, ConfigurationVersion: 1})
	assert.NilError(t, relayer.Receive(t.Context(), heartbeat))
	assert.Assert(t, relayer.schedule.freshAt.IsZero(), "the heartbeat may have waited in the socket for the whole pause")
	paused = false
	assert.NilError(t, relayer.Receive(t.Context(), heartbeat))
	assert.Assert(t, !relayer.schedule.freshAt.IsZero())
}

func TestPausedReaderRemovesNobody(t *testing.T) {
	relayer := newMuteRelayer(nil)
	member := backendMember("lb-1")
	relayer.addMembers([]Member{member}, time.Now())
	for range 5 {
		relayer.announceToDomainAndLeaders()
	}
	relayer.removeUnresponsive(t.Context(), time.Now().Add(2*memberTimeout)) // the process was paused in between
	assert.Equal(t, len(relayer.members), 1)
	for range minUnanswered {
		relayer.announceToDomainAndLeaders()
	}
	relayer.removeUnresponsive(t.Context(), time.Now().Add(2*memberTimeout))
	assert.Equal(t, len(relayer.members), 0)
}

func TestTooLongSnapshotIsRejected(t *testing.T) {
	content := encode(snapshotEnvelope{IsCompressed: true, Content: s2.Encode(nil, make([]byte, maxSnapshotSize+1))})
	_, _, err := decodeSnapshot(content)
	assert.ErrorContains(t, err, "too long")
}

func TestInvalidSnapshotsAreNotApplied(t *testing.T) {
	route := viewer.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []viewer.Share{{Service: "desk-sync", Weight: 1}}}
	withoutService, withoutAddress, withOddWeight, withInfiniteWeight := route, route, route, route
	withoutService.Shares = nil
	withoutAddress.Address = netip.AddrPort{}
	withOddWeight.Shares = []viewer.Share{{Service: "desk-sync", Weight: math.NaN()}}
	withInfiniteWeight.Shares = []viewer.Share{{Service: "desk-sync", Weight: math.Inf(1)}}
	withoutToken, withoutPort := backendServer("b", parser.Active), backendServer("b", parser.Active)
	withoutToken.Token = 0
	withoutPort.Address = netip.AddrPortFrom(withoutPort.Address.Addr(), 0)
	routes := func(route viewer.Route) Snapshot {
		return Snapshot{Configuration: &viewer.Configuration{Version: 9, Routes: []viewer.Route{route}}, Servers: &viewer.Servers{Revision: 9}}
	}
	servers := func(server viewer.BackendServer) Snapshot {
		return Snapshot{Configuration: configurationWithRoutes(9, 1), Servers: &viewer.Servers{Revision: 9, List: []viewer.BackendServer{server}}}
	}
	removal := func(removal viewer.Removal) Snapshot {
		snapshot := servers(backendServer("a", parser.Active))
		snapshot.Removals = []viewer.Removal{removal}
		return snapshot
	}
	cases := map[string]Snapshot{
		"route without a service":     routes(withoutService),
		"route without an address":    routes(withoutAddress),
		"weight that is no number":    routes(withOddWeight),
		"infinite weight":             routes(withInfiniteWeight),
		"server without a token":      servers(withoutToken),
		"removal without a port":      removal(viewer.Removal{Server: withoutPort}),
		"removal in the future":       removal(viewer.Removal{Server: backendServer("b", parser.Active), Age: -1}),
		"server without a port":       servers(withoutPort),
		"member without an address":   {Members: []Member{{Name: "lb-9"}}},
		"delta with an invalid route": {RouteDelta: &viewer.RouteDelta{Base: 1, Version: 2, Changed: []viewer.Route{withoutService}}},
		"delta with an odd server":    {ServersDelta: &viewer.ServerDelta{Base: 1, Revision: 2, Changed: []viewer.BackendServer{withoutToken}}},
	}
	for name, snapshot := range cases {
		t.Run(name, func(t *testing.T) {
			relayer := newMuteRelayer(encode(snapshotEnvelope{Content: encode(snapshot)}))
			before := relayer.viewer.Current()
			relayer.fetch(t.Context(), backendMember("lb-1"))
			assert.Assert(t, relayer.viewer.Current() == before)
			assert.Equal(t, relayer.Instances(), 1)
			saved := SavedSnapshot{ObjectRevision: viewer.Revision{Number: 99}, Content: encode(snapshotEnvelope{Content: encode(snapshot)})}
			_, err := saved.decode()
			assert.Assert(t, err != nil)
			heartbeat := Heartbeat{Sender: backendMember("lb-1"), RouteDelta: snapshot.RouteDelta, ServersDelta: snapshot.ServersDelta}
			if snapshot.RouteDelta != nil || snapshot.ServersDelta != nil {
				assert.Assert(t, relayer.Receive(t.Context(), encode(heartbeat)) != nil)
			}
		})
	}
}
