package viewer

import (
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
