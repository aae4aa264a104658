package parser

import (
	"encoding/json"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
)

// MaxObjectSize is the largest value in bytes that the platform stores.
const MaxObjectSize = 1 << 20

const maxWeight = 1e6

var sheetColumns = []string{
	"kind", "name", "service", "address", "protocol", "idempotent",
	"weight", "connections", "failure_domain", "state",
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// sheetReader holds what has been seen while one sheet is read.
type sheetReader struct {
	reader
	sheet     Sheet
	names     map[string]int    // "kind name" to row
	addresses map[string]int    // service address and protocol to row
	endpoints map[string]string // tunnel address to service
}

// ParseSheet reads a sheet and returns it, or Findings when anything in it is wrong.
func ParseSheet(file string, input io.Reader) (*Sheet, error) {
	sheetReader := &sheetReader{
		reader:    reader{file: file},
		names:     map[string]int{},
		addresses: map[string]int{},
		endpoints: map[string]string{},
	}
	rows := sheetReader.rows(input, sheetColumns)
	if len(sheetReader.findings) > 0 {
		return nil, sheetReader.err()
	}
	// Later kinds refer to earlier ones, in whatever order the rows stand.
	for _, kind := range []string{"failure_domain", "service", "backend_server", "instance"} {
		for _, row := range rows {
			if row.fields["kind"] == kind {
				sheetReader.read(row)
			}
		}
	}
	for _, row := range rows {
		sheetReader.oneOf(row, "kind", "failure_domain", "service", "backend_server", "instance")
	}
	sheetReader.checkWhole()
	if err := sheetReader.err(); err != nil {
		return nil, err
	}
	return &sheetReader.sheet, nil
}

func (sheetReader *sheetReader) read(row row) {
	sheetReader.readName(row)
	switch row.fields["kind"] {
	case "failure_domain":
		sheetReader.empty(row, "service", "address", "protocol", "idempotent", "weight", "connections", "failure_domain", "state")
		sheetReader.sheet.FailureDomains = append(sheetReader.sheet.FailureDomains, row.fields["name"])
	case "service":
		sheetReader.readService(row)
	case "backend_server":
		sheetReader.readBackendServer(row)
	case "instance":
		sheetReader.readInstance(row)
	}
}

func (sheetReader *sheetReader) readName(row row) {
	name := row.fields["name"]
	if !namePattern.MatchString(name) {
		sheetReader.add(row, "name", "%q is not a name of small letters, digits and hyphens, up to 63", name)
	}
	key := row.fields["kind"] + " " + name
	if row.fields["kind"] == "backend_server" {
		key += " " + row.fields["service"]
	}
	if first, ok := sheetReader.names[key]; ok {
		sheetReader.add(row, "name", "%s %q stands in row %d already", row.fields["kind"], name, first)
		return
	}
	sheetReader.names[key] = row.number
}

func (sheetReader *sheetReader) readService(row row) {
	sheetReader.empty(row, "service", "weight", "connections", "failure_domain", "state")
	service := Service{
		Name:       row.fields["name"],
		Protocol:   Protocol(sheetReader.oneOf(row, "protocol", string(TCP), string(UDP))),
		Idempotent: sheetReader.oneOf(row, "idempotent", "yes", "no") == "yes",
		Address:    sheetReader.address(row),
	}
	key := row.fields["protocol"] + " " + row.fields["address"]
	if first, ok := sheetReader.addresses[key]; ok {
		sheetReader.add(row, "address", "service address %s stands in row %d already", key, first)
	}
	sheetReader.addresses[key] = row.number
	sheetReader.sheet.Services = append(sheetReader.sheet.Services, service)
}

func (sheetReader *sheetReader) address(row row) netip.AddrPort {
	address, err := netip.ParseAddrPort(row.fields["address"])
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		sheetReader.add(row, "address", "%q is not an IPv4 address with a port, such as 10.0.0.1:443", row.fields["address"])
	}
	return address
}

func (sheetReader *sheetReader) readBackendServer(row row) {
	sheetReader.empty(row, "protocol", "idempotent")
	server := BackendServer{
		Name:          row.fields["name"],
		Address:       sheetReader.address(row),
		Weight:        sheetReader.positive(row, "weight"),
		FailureDomain: sheetReader.failureDomain(row),
		State:         State(sheetReader.oneOf(row, "state", string(Active), string(Leaving))),
		Connections:   sheetReader.connections(row),
	}
	service := sheetReader.sheet.Service(row.fields["service"])
	if service == nil {
		sheetReader.add(row, "service", "service %q does not exist in the sheet", row.fields["service"])
		return
	}
	endpoint := row.fields["address"]
	if owner, ok := sheetReader.endpoints[endpoint]; ok {
		sheetReader.add(row, "address", "endpoint %s serves service %q already", endpoint, owner)
	}
	sheetReader.endpoints[endpoint] = service.Name
	service.BackendServers = append(service.BackendServers, server)
}

func (sheetReader *sheetReader) connections(row row) int {
	value, err := strconv.Atoi(row.fields["connections"])
	if err != nil || value <= 0 {
		sheetReader.add(row, "connections", "%q is not a whole number above 0", row.fields["connections"])
	}
	return value
}

func (sheetReader *sheetReader) failureDomain(row row) string {
	name := row.fields["failure_domain"]
	if !slices.Contains(sheetReader.sheet.FailureDomains, name) {
		sheetReader.add(row, "failure_domain", "failure domain %q does not exist in the sheet", name)
	}
	return name
}

func (sheetReader *sheetReader) readInstance(row row) {
	sheetReader.empty(row, "service", "address", "protocol", "idempotent", "weight", "connections")
	sheetReader.sheet.Instances = append(sheetReader.sheet.Instances, Instance{
		Name:          row.fields["name"],
		FailureDomain: sheetReader.failureDomain(row),
		State:         State(sheetReader.oneOf(row, "state", string(Joining), string(Leaving))),
	})
}

func (sheetReader *sheetReader) checkWhole() {
	whole := row{}
	if len(sheetReader.sheet.Services) == 0 {
		sheetReader.add(whole, "", "sheet has no service")
	}
	for _, service := range sheetReader.sheet.Services {
		active := slices.ContainsFunc(service.BackendServers, func(server BackendServer) bool { return server.State == Active })
		if !active {
			sheetReader.add(whole, "", "service %q has no active backend server", service.Name)
		}
	}
	encoded, err := json.Marshal(sheetReader.sheet)
	if err != nil || len(encoded) > MaxObjectSize {
		sheetReader.add(whole, "", "sheet takes %d bytes, the platform stores %d (%v)", len(encoded), MaxObjectSize, err)
	}
}
