package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a leader that stands still for less than a second, and reads the store although the
// announcement waits in its socket.
func TestLeaderTakesOverOnlyOnceItHasReadWhatArrived(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		rank    int
		drained time.Time
		want    bool
	}{
		{"nothing waits", 1, now, true},
		{"something may wait since the last look", 1, now.Add(-900 * time.Millisecond), false},
		{"the reader waits for nobody", 0, now.Add(-900 * time.Millisecond), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			schedule := ReadSchedule{}
			schedule.SetRank(c.rank, true)
			schedule.MarkFresh(1, now.Add(-ReadInterval-baseTakeoverDelay-2*takeoverDelayPerRank))
			assert.Equal(t, schedule.Due(now, c.drained), c.want)
		})
	}
}

// Guards against an instance that stands still, and takes leaders for absent whose answers wait in its
// socket.
func TestLeaderIsAbsentOnlyOnceWhatArrivedWasRead(t *testing.T) {
	for _, isRead := range []bool{false, true} {
		leader := &peer{Member: Member{Name: "lb-1"}}
		relayer := &Relayer{members: map[string]*peer{"lb-1": leader}, hasReadMembers: true}
		now := time.Now()
		relayer.recordQuestion([]Member{leader.Member}, now, now)
		later := now.Add(absenceTimeout + 900*time.Millisecond)
		drained := later
		if !isRead {
			drained = now.Add(absenceTimeout / 2)
		}
		relayer.recordQuestion([]Member{leader.Member}, later, drained)
		assert.Equal(t, leader.absent, isRead)
	}
}
