package rehearser

import (
	"encoding/csv"
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// SheetRow holds the cells of one row of a sheet; a cell that does not apply to the kind is
// empty.
type SheetRow struct {
	Kind, Name, Service, Address, Protocol, Idempotent, Weight, Connections, FailureDomain, State string
}

// FailureDomainRow returns the row of a failure domain.
func FailureDomainRow(name string) SheetRow { return SheetRow{Kind: "failure_domain", Name: name} }

// ServiceRow returns the row of a service.
func ServiceRow(name string, address netip.AddrPort, protocol, idempotent string) SheetRow {
	return SheetRow{Kind: "service", Name: name, Address: address.String(), Protocol: protocol, Idempotent: idempotent}
}

// BackendServerRow returns the row of a backend server limited to 2000 open flows.
func BackendServerRow(name, service string, address netip.AddrPort, weight float64, failureDomain, state string) SheetRow {
	return SheetRow{
		Kind: "backend_server", Name: name, Service: service, Address: address.String(),
		Weight: fmt.Sprint(weight), Connections: "2000", FailureDomain: failureDomain, State: state,
	}
}

// WriteSheet writes a sheet with the rows to a CSV file, replacing an existing one.
func WriteSheet(file string, rows []SheetRow) error {
	output, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create sheet")
	}
	defer output.Close()
	writer := csv.NewWriter(output)
	records := [][]string{{
		"kind", "name", "service", "address", "protocol", "idempotent",
		"weight", "connections", "failure_domain", "state",
	}}
	for _, row := range rows {
		records = append(records, []string{
			row.Kind, row.Name, row.Service, row.Address, row.Protocol, row.Idempotent,
			row.Weight, row.Connections, row.FailureDomain, row.State,
		})
	}
	if err := writer.WriteAll(records); err != nil {
		return errors.Wrap(err, "write sheet")
	}
	return nil
}
