package viewer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// coldServer returns the server called a, as it was read at start: its entry has a revision
// and a remaining warm-up.
func coldServer(revision uint64, remaining time.Duration) BackendServer {
	entry := server("a", 1, 1)
	if remaining > 0 {
		entry.ColdUntil, entry.ColdSince = DeadlineAfter(start, remaining), revision
	}
	return entry
}

func TestContinueWarmUps(t *testing.T) {
	known := func(remaining time.Duration, coldSince uint64, sharers Sharers) *BackendServer {
		entry := coldServer(0, remaining)
		entry.ColdSince, entry.Sharers = coldSince, sharers
		return &entry
	}
	ended := known(-time.Minute, 0, Sharers{3, 4})
	ended.ColdUntil = DeadlineAfter(start, -time.Minute)
	restarted := known(time.Second, 6, Sharers{3, 4})
	restarted.StartedAt = 9
	chosen := Sharers{1, 2}
	cases := []struct {
		name      string
		previous  *BackendServer // nil if the server is new
		entry     BackendServer
		coldSince uint64
		sharers   Sharers
	}{
		{"new server", nil, coldServer(7, 2*time.Second), 0, chosen},
		{"later entry of the warm-up after the start", known(2*time.Second, 0, Sharers{3, 4}), coldServer(7, time.Second), 0, Sharers{3, 4}},
		{"read later after it was written", known(2*time.Second, 0, Sharers{3, 4}), coldServer(7, 3*time.Second), 0, Sharers{3, 4}},
		{"sharers not chosen before", known(2*time.Second, 0, Sharers{}), coldServer(7, time.Second), 0, chosen},
		{"warm server turns cold", known(0, 0, Sharers{}), coldServer(7, 2*time.Second), 7, chosen},
		{"warm-up ended and a new one begins", ended, coldServer(7, 2*time.Second), 7, Sharers{3, 4}},
		{"cold server turns colder", known(500*time.Millisecond, 0, Sharers{3, 4}), coldServer(7, 2*time.Second), 7, Sharers{3, 4}},
		{"later entry of a warm-up that was announced", known(2*time.Second, 6, Sharers{3, 4}), coldServer(7, time.Second), 6, Sharers{3, 4}},
		{"restarted server", restarted, coldServer(7, 2*time.Second), 0, chosen},
		{"warm", known(time.Second, 6, Sharers{3, 4}), coldServer(7, 0), 0, Sharers{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var previous *Servers
			if c.previous != nil {
				previous = list(1, *c.previous)
			}
			read := list(8, c.entry)
			result := read.ContinueWarmUps(previous, func(*BackendServer) Sharers { return chosen }).List[0]
			assert.Equal(t, result.ColdSince, c.coldSince)
			assert.Equal(t, result.Sharers, c.sharers)
			assert.Equal(t, result.ColdUntil, c.entry.ColdUntil)
			assert.Equal(t, read.List[0], c.entry, "the list that was passed in may be in use")
		})
	}
}

func TestNewWarmUpAndSharersAreAChange(t *testing.T) {
	before := list(1, server("a", 1, 1))
	colder, shared := list(2, server("a", 1, 1)), list(2, server("a", 1, 1))
	colder.List[0].ColdSince = 2
	shared.List[0].Sharers = Sharers{5}
	for _, after := range []*Servers{colder, shared} {
		assert.Equal(t, DiffServers(before, after).Len(), 1)
		assert.Assert(t, before.Digest() != after.Digest())
		assert.Equal(t, len(WarmUpChanges(before, after)), 1)
		assert.Assert(t, WarmUpChanges(before, after)[0].IsCold)
		assert.Assert(t, !WarmUpChanges(after, before)[0].IsCold)
	}
	assert.Equal(t, len(WarmUpChanges(nil, before)), 0)
}

func TestDeadlineTravelsAsRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := server("a", 1, 1)
		sent.ColdUntil, sent.ColdSince, sent.Sharers = DeadlineAfter(time.Now(), 2*time.Second), 4, Sharers{8, 9}
		content, err := cbor.Marshal(sent)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		var received BackendServer
		assert.NilError(t, cbor.Unmarshal(content, &received))
		assert.Equal(t, time.Until(received.ColdUntil.Time), 2*time.Second)
		assert.Assert(t, received.equal(&sent))
		time.Sleep(time.Minute)
		content, err = cbor.Marshal(sent)
		assert.NilError(t, err)
		assert.NilError(t, cbor.Unmarshal(content, &received))
		assert.Assert(t, received.ColdUntil.IsZero())
	})
	var deadline Deadline
	content, err := cbor.Marshal(int64(1) << 62)
	assert.NilError(t, err)
	assert.NilError(t, deadline.UnmarshalCBOR(content))
	assert.Assert(t, time.Until(deadline.Time) <= MaxWarmUp)
}

func TestWarmServerTakesNoRoomForItsWarmUp(t *testing.T) {
	warm := server("a", 1, 1)
	cold := warm
	cold.ColdUntil = DeadlineAfter(time.Now(), time.Minute)
	shorter, err := cbor.Marshal(warm)
	assert.NilError(t, err)
	longer, err := cbor.Marshal(cold)
	assert.NilError(t, err)
	assert.Assert(t, len(shorter) <= len(longer)-6, "%d and %d bytes", len(shorter), len(longer))
}

func TestWarmUpsKeepTheUnreadableEntries(t *testing.T) {
	cold := BackendServer{Name: "a", ColdUntil: DeadlineAfter(time.Now(), time.Second), ColdSince: 7}
	servers := &Servers{Era: 2, Revision: 7, List: []BackendServer{cold}, Unreadable: []string{"b"}}
	continued := servers.ContinueWarmUps(nil, func(*BackendServer) Sharers { return Sharers{1} })
	assert.DeepEqual(t, continued.Unreadable, []string{"b"})
	assert.Equal(t, continued.At(), servers.At())
}
