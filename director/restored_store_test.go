package director

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
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
