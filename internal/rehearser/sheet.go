package rehearser

import (
	"encoding/csv"
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// SheetRow is one row of a sheet to write; empty fields stay empty.
type SheetRow struct {
	Kind, Name, Service, Address, Protocol, Idempotent, Weight, Connections, FailureDomain, State string
}

// FailureDomainRow is the row of a failure domain.
func FailureDomainRow(name string) SheetRow { return SheetRow{Kind: "failure_domain", Name: name} }

// ServiceRow is the row of a service.
func ServiceRow(name string, address netip.AddrPort, protocol, idempotent string) SheetRow {
	return SheetRow{Kind: "service", Name: name, Address: address.String(), Protocol: protocol, Idempotent: idempotent}
}

// BackendServerRow is the row of a backend server.
func BackendServerRow(name, service string, address netip.AddrPort, weight float64, domain, state string) SheetRow {
	return SheetRow{
		Kind: "backend_server", Name: name, Service: service, Address: address.String(),
		Weight: fmt.Sprint(weight), Connections: "2000", FailureDomain: domain, State: state,
	}
}

// WriteSheet writes rows as a CSV file.
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
