package parser

import (
	"encoding/json"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
)

// MaxObjectSize is the maximum size of a value on the platform, in bytes.
const MaxObjectSize = 1 << 20

const maxWeight = 1e6

var sheetColumns = []string{
	"kind", "name", "service", "address", "protocol", "idempotent",
	"weight", "connections", "failure_domain", "state",
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// sheetReader parses one sheet and indexes its rows to detect duplicates.
type sheetReader struct {
	tableReader
	sheet              Sheet
	rowsByName         map[string]int    // by "kind name", with the service added for backend servers
	rowsByAddress      map[string]int    // by "protocol address" of a service
	servicesByEndpoint map[string]string // by tunnel endpoint address
}

// ParseSheet parses and validates a sheet. The error is of type Findings; file is
// the name that the findings show.
func ParseSheet(file string, input io.Reader) (*Sheet, error) {
	sheetReader := &sheetReader{
		tableReader:        tableReader{file: file},
		rowsByName:         map[string]int{},
		rowsByAddress:      map[string]int{},
		servicesByEndpoint: map[string]string{},
	}
	rows := sheetReader.readRows(input, sheetColumns)
	if len(sheetReader.findings) > 0 {
		return nil, sheetReader.findingsError()
	}
	// Later kinds refer to earlier ones, and the rows can be in any order.
	for _, kind := range []string{"failure_domain", "service", "backend_server", "instance"} {
		for _, row := range rows {
			if row.fields["kind"] == kind {
				sheetReader.readRow(row)
			}
		}
	}
	for _, row := range rows {
		sheetReader.parseChoice(row, "kind", "failure_domain", "service", "backend_server", "instance")
	}
	sheetReader.checkSheet()
	if err := sheetReader.findingsError(); err != nil {
		return nil, err
	}
	return &sheetReader.sheet, nil
}

func (sheetReader *sheetReader) readRow(row row) {
	sheetReader.readName(row)
	switch row.fields["kind"] {
	case "failure_domain":
		sheetReader.requireEmpty(row, "service", "address", "protocol", "idempotent", "weight", "connections", "failure_domain", "state")
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
		sheetReader.addFinding(row, "name", "%q is not a valid name: use up to 63 lower-case letters, digits and hyphens", name)
	}
	key := row.fields["kind"] + " " + name
	if row.fields["kind"] == "backend_server" {
		key += " " + row.fields["service"]
	}
	if firstRow, ok := sheetReader.rowsByName[key]; ok {
		sheetReader.addFinding(row, "name", "%s %q is already defined in row %d", row.fields["kind"], name, firstRow)
		return
	}
	sheetReader.rowsByName[key] = row.number
}

func (sheetReader *sheetReader) readService(row row) {
	sheetReader.requireEmpty(row, "service", "weight", "connections", "failure_domain", "state")
	service := Service{
		Name:       row.fields["name"],
		Protocol:   Protocol(sheetReader.parseChoice(row, "protocol", string(TCP), string(UDP))),
		Idempotent: sheetReader.parseChoice(row, "idempotent", "yes", "no") == "yes",
		Address:    sheetReader.parseAddress(row),
	}
	key := row.fields["protocol"] + " " + row.fields["address"]
	if firstRow, ok := sheetReader.rowsByAddress[key]; ok {
		sheetReader.addFinding(row, "address", "service address %s is already defined in row %d", key, firstRow)
	}
	sheetReader.rowsByAddress[key] = row.number
	sheetReader.sheet.Services = append(sheetReader.sheet.Services, service)
}

func (sheetReader *sheetReader) parseAddress(row row) netip.AddrPort {
	address, err := netip.ParseAddrPort(row.fields["address"])
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		sheetReader.addFinding(row, "address", "%q is not an IPv4 address with a port, such as 10.0.0.1:443", row.fields["address"])
	}
	return address
}

func (sheetReader *sheetReader) readBackendServer(row row) {
	sheetReader.requireEmpty(row, "protocol", "idempotent")
	server := BackendServer{
		Name:          row.fields["name"],
		Address:       sheetReader.parseAddress(row),
		Weight:        sheetReader.parseWeight(row, "weight"),
		FailureDomain: sheetReader.parseFailureDomain(row),
		State:         State(sheetReader.parseChoice(row, "state", string(Active), string(Leaving))),
		Connections:   sheetReader.parseConnections(row),
	}
	service := sheetReader.sheet.Service(row.fields["service"])
	if service == nil {
		sheetReader.addFinding(row, "service", "service %q does not exist in the sheet", row.fields["service"])
		return
	}
	endpoint := row.fields["address"]
	if otherService, ok := sheetReader.servicesByEndpoint[endpoint]; ok {
		sheetReader.addFinding(row, "address", "endpoint %s already serves service %q", endpoint, otherService)
	}
	sheetReader.servicesByEndpoint[endpoint] = service.Name
	service.BackendServers = append(service.BackendServers, server)
}

func (sheetReader *sheetReader) parseConnections(row row) int {
	value, err := strconv.Atoi(row.fields["connections"])
	if err != nil || value <= 0 {
		sheetReader.addFinding(row, "connections", "%q is not an integer above 0", row.fields["connections"])
	}
	return value
}

func (sheetReader *sheetReader) parseFailureDomain(row row) string {
	name := row.fields["failure_domain"]
	if !slices.Contains(sheetReader.sheet.FailureDomains, name) {
		sheetReader.addFinding(row, "failure_domain", "failure domain %q does not exist in the sheet", name)
	}
	return name
}

func (sheetReader *sheetReader) readInstance(row row) {
	sheetReader.requireEmpty(row, "service", "address", "protocol", "idempotent", "weight", "connections")
	sheetReader.sheet.Instances = append(sheetReader.sheet.Instances, Instance{
		Name:          row.fields["name"],
		FailureDomain: sheetReader.parseFailureDomain(row),
		State:         State(sheetReader.parseChoice(row, "state", string(Joining), string(Leaving))),
	})
}

// checkSheet validates the sheet as a whole, after all its rows have been read.
func (sheetReader *sheetReader) checkSheet() {
	wholeFile := row{}
	if len(sheetReader.sheet.Services) == 0 {
		sheetReader.addFinding(wholeFile, "", "sheet has no service")
	}
	for _, service := range sheetReader.sheet.Services {
		active := slices.ContainsFunc(service.BackendServers, func(server BackendServer) bool { return server.State == Active })
		if !active {
			sheetReader.addFinding(wholeFile, "", "service %q has no active backend server", service.Name)
		}
	}
	sheetReader.checkServerIDs()
	encoded, err := json.Marshal(sheetReader.sheet)
	if err != nil {
		sheetReader.addFinding(wholeFile, "", "sheet cannot be encoded: %v", err)
	}
	if len(encoded) > MaxObjectSize {
		sheetReader.addFinding(wholeFile, "", "encoded sheet has %d bytes, the platform stores at most %d", len(encoded), MaxObjectSize)
	}
}

// checkServerIDs reports backend servers that instances cannot tell from each other.
func (sheetReader *sheetReader) checkServerIDs() {
	known := map[uint32]string{}
	for _, service := range sheetReader.sheet.Services {
		for _, server := range service.BackendServers {
			id := ServerID(service.Name, server.Address)
			if other, isShared := known[id]; isShared {
				sheetReader.addFinding(row{}, "", "backend servers %q and %q would have the same number: give one of them another port", other, server.Name)
			}
			known[id] = server.Name
		}
	}
}
