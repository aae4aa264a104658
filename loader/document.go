package loader

import (
	"time"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/parser"
)

// Names of the platform's objects.
const (
	SheetObject     = "sheet"
	CalendarObject  = "calendar"
	InstancesObject = "instances"
	statusPrefix    = "status-"
)

// StatusObject is the name of the object with the status of a failure domain.
func StatusObject(failureDomain string) string { return statusPrefix + failureDomain }

// SheetDocument is the sheet as the platform keeps it.
type SheetDocument struct {
	parser.Sheet
	LoadID   string    `json:"load_id"`
	LoadedBy string    `json:"loaded_by"`
	LoadedAt time.Time `json:"loaded_at"`
	RetiredEndpoints  []RetiredEndpoint `json:"retired,omitempty"`
}

// RetiredEndpoint is an endpoint that an earlier version of the sheet used.
type RetiredEndpoint struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Version  uint64 `json:"version"` // the last version that had it
}

// CalendarDocument is the calendar as the platform keeps it.
type CalendarDocument struct {
	parser.Calendar
	LoadID   string    `json:"load_id"`
	LoadedBy string    `json:"loaded_by"`
	LoadedAt time.Time `json:"loaded_at"`
}

// InstanceList is the platform's list of live and leaving instances.
type InstanceList struct {
	Instances []decider.Instance `json:"instances"`
}

// DomainStatus says how far the instances of one failure domain are.
type DomainStatus struct {
	FailureDomain string           `json:"failure_domain"`
	WrittenBy     string           `json:"written_by"`
	Instances     []InstanceStatus `json:"instances"`
}

// InstanceStatus says which sheet version an instance follows.
type InstanceStatus struct {
	Name    string `json:"name"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving"`
	InForce uint64 `json:"in_force"`
}

// NewDomainStatus picks the instances of one failure domain out of an instance's view.
func NewDomainStatus(failureDomain string, status decider.Status) DomainStatus {
	own := InstanceStatus{Name: status.Instance, Alive: true, Leaving: status.Leaving, InForce: status.InForce}
	result := DomainStatus{FailureDomain: failureDomain, WrittenBy: status.Instance, Instances: []InstanceStatus{own}}
	for _, member := range status.Members {
		if member.FailureDomain != failureDomain {
			continue
		}
		result.Instances = append(result.Instances, InstanceStatus{
			Name: member.Name, Alive: member.Reachable, Leaving: member.Leaving, InForce: member.InForce,
		})
	}
	return result
}
