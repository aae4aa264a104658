package director

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentowind/pimentowind/platform"
)

// getJSON decodes the document at a path of the control address.
func (testbed *testbed) getJSON(path string, document any) {
	testbed.t.Helper()
	response, err := http.Get("http://" + testbed.control + path)
	assert.NilError(testbed.t, err)
	defer response.Body.Close()
	assert.NilError(testbed.t, json.NewDecoder(response.Body).Decode(document))
}

func TestLogAndStateShowEvacuations(t *testing.T) {
	const service = "198.18.0.1:443"
	testbed := newTestbed(t)
	testbed.addServer("i-0a", testbed.responsive)
	testbed.send(1005, service, 0, flagSYN)
	token := binary.BigEndian.Uint32(receive(t, testbed.responsive)[8+tokenOffset:])
	testbed.send(1005, service, token, flagACK)
	receive(t, testbed.responsive)

	testbed.store.Put(platform.EvacuationsKind, "dakar-1", `{}`)
	testbed.store.Put(platform.EvacuationsKind, "nowhere", `{}`)
	testbed.store.Put(platform.EvacuationsKind, "unreadable", `"text"`)
	poll.WaitOn(t, testbed.log.contains(`"event":512,"failure_domain":"dakar-1"`))
	poll.WaitOn(t, testbed.log.contains(`"event":514,"failure_domain":"nowhere","reason":"no backend server is in it"`))
	poll.WaitOn(t, testbed.log.contains(`"event":503,"name":"unreadable"`))
	var state State
	testbed.getJSON("/state", &state)
	assert.DeepEqual(t, state.EvacuatedDomains, []string{"dakar-1", "nowhere"})
	testbed.awaitReset(1006, service)
	assert.Equal(t, testbed.awaitLine(1006, "reason", "evacuated")["action"], "reset")
	testbed.send(1005, service, token, flagACK) // the open flow stays
	receive(t, testbed.responsive)
	var vars struct {
		Decisions map[string]int `json:"decisions"`
	}
	testbed.getJSON("/debug/vars", &vars)
	assert.Assert(t, vars.Decisions["evacuated"] >= 1)
	assert.Equal(t, vars.Decisions["kept_evacuated"], 1)
	assert.Equal(t, vars.Decisions["unreadable_documents"], 1)

	testbed.store.Remove(platform.EvacuationsKind, "dakar-1")
	poll.WaitOn(t, testbed.log.contains(`"event":513,"failure_domain":"dakar-1"`))
	testbed.send(1007, service, 0, flagSYN)
	receive(t, testbed.responsive)
	testbed.getJSON("/state", &state)
	assert.DeepEqual(t, state.EvacuatedDomains, []string{"nowhere"})
}
