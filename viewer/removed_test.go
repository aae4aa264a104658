package viewer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRemovedServersAreGone(t *testing.T) {
	a, b, c, d := server("a", 1, 1), server("b", 2, 1), server("c", 3, 1), server("d", 4, 1)
	ms := time.Millisecond
	type step struct {
		at   time.Duration
		list []BackendServer
	}
	cases := []struct {
		name    string
		prepare func(viewer *Viewer)
		steps   []step
		want    map[string]time.Duration // from when on removed servers count as gone, after the start
	}{
		{"at once", nil, []step{{0, []BackendServer{b, c, d}}}, map[string]time.Duration{"a": 0}},
		{"not if it is listed again", nil, []step{{0, []BackendServer{b, c, d}}, {100 * ms, []BackendServer{a, b, c, d}}}, nil},
		{"not if it has restarted", nil, []step{{0, []BackendServer{b, c, d}}, {100 * ms, []BackendServer{server("a", 1, 7), b, c, d}}}, nil},
		{"at the last removal", nil, []step{{0, []BackendServer{b, c, d}}, {100 * ms, []BackendServer{a, b, c, d}}, {200 * ms, []BackendServer{b, c, d}}}, map[string]time.Duration{"a": 200 * ms}},
		{"later if most are missing", nil, []step{{0, []BackendServer{d}}}, map[string]time.Duration{"a": doubtPeriod, "b": doubtPeriod, "c": doubtPeriod}},
		{
			"later if most go missing one after the other", nil,
			[]step{{0, []BackendServer{b, c, d}}, {100 * ms, []BackendServer{c, d}}, {200 * ms, []BackendServer{d}}},
			map[string]time.Duration{"a": 200*ms + doubtPeriod, "b": 200*ms + doubtPeriod, "c": 200*ms + doubtPeriod},
		},
		{"once no doubt is left", func(viewer *Viewer) { viewer.DoubtMissingUntil(start.Add(time.Second)) }, []step{{0, []BackendServer{b, c, d}}}, map[string]time.Duration{"a": time.Second}},
		{"after the grace period of an outage", func(viewer *Viewer) { viewer.RetainMissingUntil(start.Add(time.Second)) }, []step{{0, []BackendServer{b, c, d}}, {time.Second, []BackendServer{b, c, d}}}, map[string]time.Duration{"a": time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			viewer := NewViewer()
			viewer.ApplyServers(list(1, a, b, server("c", 3, 1), d), start)
			if c.prepare != nil {
				c.prepare(viewer)
			}
			for i, step := range c.steps {
				viewer.ExpireRetained(start.Add(step.at))
				assert.Assert(t, viewer.ApplyServers(list(uint64(2+i), step.list...), start.Add(step.at)))
			}
			var got map[string]time.Duration
			for _, removed := range viewer.Current().Removed() {
				if got == nil {
					got = map[string]time.Duration{}
				}
				got[removed.Server.Name] = removed.GoneAt.Sub(start)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestUnreadableEntriesAreNotGone(t *testing.T) {
	before := list(1, server("a", 1, 1), server("b", 2, 1), server("c", 3, 1))
	after := list(2, server("c", 3, 1))
	after.Unreadable = []string{"a"}
	applied := before.Apply(DiffServers(before, after))
	assert.DeepEqual(t, applied.Unreadable, after.Unreadable)
	composed := ComposeDeltas([]*ServerDelta{DiffServers(before, after), DiffServers(after, list(3, server("c", 3, 1)))}, 10)
	assert.DeepEqual(t, before.Apply(composed).Unreadable, after.Unreadable)
	viewer := NewViewer()
	viewer.ApplyServers(before, start)
	viewer.ApplyServers(applied, start)
	for _, removed := range viewer.Current().Removed() {
		assert.Equal(t, removed.GoneAt.IsZero(), removed.Server.Name == "a", "%s", removed.Server.Name)
	}
	back := applied.Apply(&ServerDelta{Base: 2, Revision: 3, Changed: []BackendServer{server("a", 1, 1)}})
	assert.Equal(t, len(back.Unreadable), 0)
}

// Guards against an instance that starts while an entry is gone and drops the packets of its server's
// open flows, which the others send on.
func TestRemovalsThatOthersHaveSeenAreAdopted(t *testing.T) {
	a, b := server("a", 1, 1), server("b", 1, 1)
	other := NewViewer()
	other.ApplyServers(list(1, a, b), start)
	other.ApplyServers(list(2, b), start.Add(time.Second))
	removals := other.Current().Removals(start.Add(11 * time.Second))
	assert.Equal(t, len(removals), 1)
	assert.Equal(t, removals[0], Removal{Server: a, Age: 10 * time.Second})

	viewer := NewViewer()
	viewer.AdoptRemovals(removals, start)
	viewer.ApplyServers(list(2, b), start)
	checkFlows(t, viewer.Current(), a, "a new instance")
	assert.DeepEqual(t, names(viewer.Current().ActiveServers("desk-sync")), []string{"b"})
	assert.Assert(t, viewer.Current().Removed()[0].GoneAt.IsZero())

	viewer.ApplyServers(list(3, a, b), start.Add(time.Second))
	viewer.AdoptRemovals(removals, start.Add(time.Second))
	assert.Equal(t, len(viewer.Current().Removed()), 0, "it is listed")
	viewer.ApplyServers(list(4, b), start.Add(2*time.Second))
	viewer.AdoptRemovals(removals, start.Add(2*time.Second))
	assert.Equal(t, viewer.Current().Removed()[0].GoneAt, start.Add(2*time.Second), "what this instance has seen itself counts")
	viewer.ApplyServers(list(5, b), start.Add(2*time.Second+maxFlowAge))
	assert.Equal(t, len(viewer.Current().Removed()), 0)
	assert.Equal(t, len(other.Current().Removals(start.Add(time.Second+maxFlowAge))), 0)
}

// Guards against a snapshot that is saved while a server is retained and lacks it.
func TestRemovalsIncludeRetainedServers(t *testing.T) {
	a, b := server("a", 1, 1), server("b", 2, 1)
	viewer := NewViewer()
	viewer.ApplyServers(list(1, a, b), start)
	viewer.RetainMissingUntil(start.Add(time.Second))
	viewer.ApplyServers(list(2, b), start)
	assert.Equal(t, len(viewer.Current().Removed()), 0)
	assert.Equal(t, viewer.Current().Removals(start)[0].Server.Name, "a")
	viewer.ExpireRetained(start.Add(time.Second))
	assert.Equal(t, len(viewer.Current().Removals(start)), 1)
	viewer.ApplyServers(list(3, a, b), start.Add(time.Second))
	assert.Equal(t, len(viewer.Current().Removals(start)), 0)
}

func TestRemovalsAreLimited(t *testing.T) {
	viewer := NewViewer()
	many := &Servers{Revision: 1}
	for i := range 2 * maxSharedRemovals {
		many.List = append(many.List, server(fmt.Sprint("i-", i), uint32(i+1), 1))
	}
	viewer.ApplyServers(many, start)
	viewer.ApplyServers(list(2), start)
	assert.Equal(t, len(viewer.Current().Removals(start)), maxSharedRemovals)
}
