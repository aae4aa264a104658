package director

import (
	"strings"
	"testing"

	"gotest.tools/v3/poll"

	"github.com/pimentowind/pimentowind/platform"
)

func TestInstanceFollowsTheListBesideAnOddEntry(t *testing.T) {
	testbed := newTestbed(t)
	for kind, name := range map[string]string{platform.ServersKind: "i-0f", platform.ConfigurationKind: "other", platform.EvacuationsKind: "a"} {
		testbed.store.PutRaw(kind, name, `{"meta":{"name":"`+name+`","revision":5},"spec":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`)
	}
	testbed.addServer("i-0a", testbed.responsive)
	for name, spec := range map[string]string{
		"i-0c": `{"service":"desk-sync","address":"127.0.0.1:99999","zone":"dakar-1","version":"1","slots":3,"state":"ready","cold_remaining_ms":0,"sequence":1}`,
		"i-0d": `{"service":"desk-sync","address":"127.0.0.1:80","zone":"dakar-1","version":"1","slots":1e999,"state":"ready","cold_remaining_ms":0,"sequence":1}`,
	} {
		testbed.store.Put(platform.ServersKind, name, spec)
	}
	testbed.addServer("i-0b", testbed.responsive)
	poll.WaitOn(t, testbed.log.contains(`"msg":"document in the store cannot be decoded","event":503,"name":"i-0f"`))
	poll.WaitOn(t, testbed.log.contains(`"event":503,"name":"i-0c"`))
	poll.WaitOn(t, testbed.log.contains(`"event":503,"name":"i-0d"`))
}
