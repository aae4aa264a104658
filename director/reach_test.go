package director

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/viewer"
)

func TestInstanceOfEvacuatedDomainLacksServersWhenItIsCutOff(t *testing.T) {
	const long, short = 10 * time.Second, 100 * time.Millisecond
	cases := []struct {
		name             string
		evacuated        []string
		age, sinceAnswer time.Duration
		want             bool
	}{
		{"cut off", []string{"a"}, long, long, true},
		{"the view is fresh", []string{"a"}, short, long, false},
		{"openings are answered", []string{"a"}, long, short, false},
		{"another domain is evacuated", []string{"b"}, long, long, false},
		{"none is evacuated", nil, long, long, false},
		{"all are evacuated", []string{"a", "b"}, long, long, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current := viewer.NewViewer()
			assert.Assert(t, !lacksServers(current.Current(), "a", long, long), "an instance without a view lacks more than servers")
			current.ApplyServers(&viewer.Servers{Revision: 1, List: []viewer.BackendServer{
				{Name: "1", Token: 1, Service: "desk-sync", FailureDomain: "a", State: parser.Active},
				{Name: "2", Token: 2, Service: "desk-sync", FailureDomain: "b", State: parser.Active},
			}}, time.Now())
			current.ApplyEvacuations(&viewer.Evacuations{Revision: 1, Domains: c.evacuated})
			assert.Equal(t, lacksServers(current.Current(), "a", c.age, c.sinceAnswer), c.want)
		})
	}
}
