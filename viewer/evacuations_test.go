package viewer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
)

func serverIn(name string, token uint32, domain string) BackendServer {
	server := server(name, token, 1)
	server.FailureDomain = domain
	return server
}

func evacuated(revision uint64, domains ...string) *Evacuations {
	return &Evacuations{Revision: revision, Domains: domains}
}

func TestEvacuatedServersKeepTheirFlowsAndGetNoNewOnes(t *testing.T) {
	leaving := serverIn("d", 4, "east")
	leaving.State = parser.Leaving
	cases := []struct {
		name        string
		domains     []string
		active      []string
		isEvacuated bool
	}{
		{"none", nil, []string{"a", "b", "c"}, false},
		{"one", []string{"east"}, []string{"b", "c"}, false},
		{"several", []string{"east", "west"}, []string{"c"}, false},
		{"all", []string{"east", "north", "west"}, []string{}, true},
		{"unknown", []string{"south"}, []string{"a", "b", "c"}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			viewer := NewViewer()
			viewer.ApplyServers(list(1, serverIn("a", 1, "east"), serverIn("b", 2, "west"), serverIn("c", 3, "north"), leaving), start)
			_, applied := viewer.ApplyEvacuations(evacuated(2, test.domains...))
			assert.Assert(t, applied)
			view := viewer.Current()
			assert.DeepEqual(t, names(view.ActiveServers("desk-sync")), test.active)
			assert.Equal(t, view.IsEvacuated("desk-sync"), test.isEvacuated)
			assert.Assert(t, !view.IsEvacuated("report-desk"), "a service without servers is not evacuated")
			for token, name := range map[uint32]string{1: "a", 2: "b", 3: "c", 4: "d"} {
				assert.Equal(t, view.ServerOfFlow(token, 0).Name, name)
			}
		})
	}
}

func TestOlderEvacuationsAreRejected(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyServers(list(9, serverIn("a", 1, "east"), serverIn("b", 2, "west")), start)
	steps := []struct {
		evacuations *Evacuations
		applied     bool
		active      []string
	}{
		{evacuated(5, "east"), true, []string{"b"}}, // although the servers are newer
		{evacuated(5), false, []string{"b"}},
		{evacuated(4), false, []string{"b"}},
		{nil, false, []string{"b"}},
		{evacuated(6, "east"), true, []string{"b"}},
		{evacuated(5, "west"), false, []string{"b"}},
		{evacuated(7), true, []string{"a", "b"}},
		{evacuated(6, "east"), false, []string{"a", "b"}},
	}
	for i, step := range steps {
		_, applied := viewer.ApplyEvacuations(step.evacuations)
		assert.Equal(t, applied, step.applied, "step %d", i)
		assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), step.active)
	}
}

func TestEvacuationsSurviveOtherChangesOfTheView(t *testing.T) {
	viewer := NewViewer()
	viewer.ApplyEvacuations(evacuated(3, "east"))
	viewer.ApplyServers(list(4, serverIn("a", 1, "east"), serverIn("b", 2, "east")), start)
	viewer.ApplyConfiguration(&Configuration{Version: 1})
	assert.Equal(t, len(viewer.Current().ActiveServers("desk-sync")), 0)
	viewer.RetainMissingUntil(start.Add(time.Second))
	viewer.ApplyServers(list(5, serverIn("b", 2, "east")), start) // a is retained
	assert.Equal(t, len(viewer.Current().ActiveServers("desk-sync")), 0)
	before, _ := viewer.ApplyEvacuations(evacuated(6))
	assert.DeepEqual(t, before.Domains, []string{"east"})
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b", "a"})
	viewer.ExpireRetained(start.Add(time.Second))
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b"})
}
