package loader

import (
	"time"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/parser"
)

// Names of the objects in the platform's store.
const (
	SheetObject     = "sheet"
	CalendarObject  = "calendar"
	InstancesObject = "instances"
	statusPrefix    = "status-"
)

// StatusObject returns the name of the object with the status of a failure domain.
func StatusObject(failureDomain string) string { return statusPrefix + failureDomain }

// SheetDocument is a sheet as stored in the platform. LoadID is unique to each load; a
// retry uses it to recognize its own earlier write.
type SheetDocument struct {
	parser.Sheet
	LoadID           string            `json:"load_id"`
	LoadedBy         string            `json:"loaded_by"`
	LoadedAt         time.Time         `json:"loaded_at"`
	RetiredEndpoints []RetiredEndpoint `json:"retired,omitempty"`
}

// RetiredEndpoint is a backend server's address that an earlier version of the sheet used.
type RetiredEndpoint struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Version  uint64 `json:"version"` // the last version that contained it
}

// CalendarDocument is a calendar as stored in the platform; LoadID is as in SheetDocument.
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

// DomainStatus holds the statuses of the instances of one failure domain, as seen by
// the instance WrittenBy.
type DomainStatus struct {
	FailureDomain string           `json:"failure_domain"`
	WrittenBy     string           `json:"written_by"`
	Instances     []InstanceStatus `json:"instances"`
}

// InstanceStatus holds the sheet version in force on an instance.
type InstanceStatus struct {
	Name    string `json:"name"`
	Alive   bool   `json:"alive"` // reachable from the instance that wrote the status
	Leaving bool   `json:"leaving"`
	InForce uint64 `json:"in_force"` // sheet version
}

// NewDomainStatus returns the status of one failure domain from an instance's own status.
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
