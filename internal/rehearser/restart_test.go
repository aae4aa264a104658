package rehearser

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// successors are the names of the instances that replace those of startSmallFleet.
var successors = map[string]string{"lb-a": "lb-a2", "lb-b": "lb-b2", "lb-c": "lb-c2"}

// replace starts the successors of instances before the fabric sends to them, after these were told to end.
func (fleet *Fleet) replace(t *testing.T, ctx context.Context, signal syscall.Signal, balancers []string, names ...string) {
	t.Helper()
	if signal == syscall.SIGKILL {
		fleet.end(t, ctx, signal, names...)
	}
	for _, name := range names {
		domain := name[len(name)-1:]
		assert.NilError(t, fleet.StartInstance(ctx, successors[name], domain))
		assert.NilError(t, fleet.WaitUntilReady(ctx, successors[name]))
	}
	assert.NilError(t, fleet.SetFabricBalancers(balancers...))
	if signal != syscall.SIGKILL {
		fleet.end(t, ctx, signal, names...)
	}
}

// end ends instances and takes them off the platform's list.
func (fleet *Fleet) end(t *testing.T, ctx context.Context, signal syscall.Signal, names ...string) {
	t.Helper()
	for _, name := range names {
		assert.NilError(t, fleet.Signal(name, signal))
	}
	for _, name := range names {
		_, err := fleet.WaitForExit(ctx, name)
		assert.NilError(t, err)
		assert.NilError(t, fleet.UnlistInstance(ctx, name))
	}
}

// Guards against instances that have started since and send open flows elsewhere than those before, who
// remembered them.
func TestFlowsStayWhenInstancesOfBalanceStartAnew(t *testing.T) {
	inTurn := func(t *testing.T, ctx context.Context, fleet *Fleet) {
		fleet.replace(t, ctx, syscall.SIGTERM, []string{"lb-a2", "lb-b", "lb-c"}, "lb-a")
		fleet.replace(t, ctx, syscall.SIGTERM, []string{"lb-a2", "lb-b2", "lb-c"}, "lb-b")
		fleet.replace(t, ctx, syscall.SIGTERM, []string{"lb-a2", "lb-b2", "lb-c2"}, "lb-c")
	}
	atOnce := func(t *testing.T, ctx context.Context, fleet *Fleet) {
		fleet.replace(t, ctx, syscall.SIGKILL, []string{"lb-a2", "lb-b2", "lb-c2"}, "lb-a", "lb-b", "lb-c")
	}
	cases := []struct {
		name    string
		drained bool // a server leaves before, so that its open flows have pins
		restart func(t *testing.T, ctx context.Context, fleet *Fleet)
	}{
		{"in turn", false, inTurn},
		{"in turn, after a drain", true, inTurn},
		{"all killed", false, atOnce},
		{"all killed, after a drain", true, atOnce},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			fleet, rows := startSmallFleet(t, ctx)
			assert.NilError(t, fleet.StartCaller(callerOptions(14*time.Second)))
			time.Sleep(time.Second)
			if c.drained {
				rows[4].State = "leaving"
				fleet.loadRows(t, rows)
				time.Sleep(time.Second)
			}
			c.restart(t, ctx, fleet)
			checkAnswers(t, ctx, fleet)
		})
	}
}
