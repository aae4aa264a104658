package director

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/viewer"
)

func (testbed *testbed) state() State {
	testbed.t.Helper()
	response, err := http.Get("http://" + testbed.control + "/state")
	assert.NilError(testbed.t, err)
	defer response.Body.Close()
	var state State
	assert.NilError(testbed.t, json.NewDecoder(response.Body).Decode(&state))
	return state
}

func TestLogAndStateShowThatTheStoreReturnedFromAnOlderCopy(t *testing.T) {
	testbed := newTestbed(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if testbed.state().StoreRevision == 0 {
			return poll.Continue("the store was not read")
		}
		return poll.Success()
	})
	earlier := testbed.store.Copy()
	testbed.addServer("i-0a", testbed.responsive)
	before := testbed.state()
	assert.Equal(t, before.StoreEra, uint64(1))
	testbed.store.Restore(earlier)
	poll.WaitOn(t, testbed.log.contains("store has returned from an older copy"))
	after := testbed.state()
	assert.Equal(t, after.StoreEra, uint64(2))
	assert.Assert(t, after.StoreRevision < before.StoreRevision)
}

func TestChangesAfterTheStoreReturnedFromAnOlderCopyAreApplied(t *testing.T) {
	testbed := newTestbed(t)
	earlier := testbed.store.Copy()
	for _, name := range []string{"i-0a", "i-0b", "i-0c", "i-0d"} {
		testbed.addServer(name, testbed.responsive)
	}
	for range 10 { // so that the revisions after the return are lower
		testbed.store.Put(platform.ServersKind, "i-0e", "{}")
		testbed.store.Remove(platform.ServersKind, "i-0e")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if testbed.state().Revision < 20 {
			return poll.Continue("the last revision was not read")
		}
		return poll.Success()
	})
	testbed.store.Restore(earlier, platform.ConfigurationKind, platform.ServersKind)
	testbed.store.Remove(platform.ServersKind, "i-0d")
	testbed.store.Put(platform.ConfigurationKind, platform.ConfigurationName, platform.EncodeConfiguration(&viewer.Configuration{Version: 9}))
	poll.WaitOn(t, testbed.log.contains(`"msg":"configuration in force on this instance","event":501,"version":9`))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if servers := testbed.state().Servers; servers != 3 {
			return poll.Continue("%d backend servers", servers)
		}
		return poll.Success()
	})
}
