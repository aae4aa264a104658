package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Settings holds the settings of an instance that package balancer runs.
type Settings struct {
	Instance        string           `json:"instance"`
	FailureDomain   string           `json:"failure_domain"`
	TunnelAddress   netip.AddrPort   `json:"tunnel_address"`   // UDP, for Geneve datagrams
	PeerAddress     netip.AddrPort   `json:"peer_address"`     // UDP, for QUIC connections with other instances
	AdminAddress    netip.AddrPort   `json:"admin_address"`    // TCP, for HTTP requests for readiness, status and metrics
	FabricAddresses []netip.AddrPort `json:"fabric_addresses"` // tunnel endpoints of the fabric
	Platform        Platform         `json:"platform"`
	Keys            Keys             `json:"keys"`
	Peers           []Peer           `json:"peers,omitempty"`
	Log             Log              `json:"log"`
	MaxFlows        int              `json:"max_flows"`     // capacity of the flow table
	DrainTimeout    Duration         `json:"drain_timeout"` // longest time for which a stopping instance goes on forwarding
}

// Platform holds the URL of the platform's object API, the token that authorizes
// requests and their timeout.
type Platform struct {
	URL     string   `json:"url"`
	Token   string   `json:"token"`
	Timeout Duration `json:"timeout"`
}

// Keys holds the paths of the certificate authority's certificate and of the
// instance's own certificate and private key.
type Keys struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Peer is an instance to contact when the platform's list of instances cannot be read.
type Peer struct {
	Instance    string         `json:"instance"`
	PeerAddress netip.AddrPort `json:"peer_address"`
}

// Log holds the format of log lines, "text" or "json", and the verbosity.
type Log struct {
	Format    string `json:"format"`
	Verbosity int    `json:"verbosity"`
}

// Duration is a time.Duration that is encoded as text such as "2s".
type Duration time.Duration

// UnmarshalText parses a duration such as "2s".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText formats a duration as text such as "2s".
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// Finding is one error in a settings file; Key names the setting, or the line if the
// file cannot be decoded.
type Finding struct {
	File    string
	Key     string
	Message string
}

// Findings lists every error of one settings file.
type Findings []Finding

// Error returns the findings, one per line.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = fmt.Sprintf("%s: %s: %s", finding.File, finding.Key, finding.Message)
	}
	return strings.Join(lines, "\n")
}

// Defaults of optional settings.
const (
	defaultTimeout      = Duration(2 * time.Second)
	defaultDrainTimeout = Duration(10 * time.Second)
	defaultMaxFlows     = 500_000
)

// Read reads and validates a settings file. It returns Findings as its error if the
// content is invalid.
func Read(file string) (*Settings, error) {
	settings := &Settings{
		Platform:     Platform{Timeout: defaultTimeout},
		Log:          Log{Format: "text"},
		MaxFlows:     defaultMaxFlows,
		DrainTimeout: defaultDrainTimeout,
	}
	if err := readStrict(file, settings); err != nil {
		return nil, err
	}
	if findings := settings.check(file); len(findings) > 0 {
		return nil, findings
	}
	return settings, nil
}

// readStrict decodes a JSON file into settings. Malformed JSON and unknown fields
// are reported as Findings.
func readStrict(file string, settings any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		line := 1 + bytes.Count(content[:decoder.InputOffset()], []byte("\n"))
		return Findings{{File: file, Key: fmt.Sprintf("line %d", line), Message: err.Error()}}
	}
	return nil
}

// newChecker returns a function that appends a finding to findings if ok is false.
func newChecker(file string, findings *Findings) func(ok bool, key, message string) {
	return func(ok bool, key, message string) {
		if !ok {
			*findings = append(*findings, Finding{File: file, Key: key, Message: message})
		}
	}
}

func (settings *Settings) check(file string) Findings {
	var findings Findings
	require := newChecker(file, &findings)
	require(settings.Instance != "", "instance", "must not be empty")
	require(settings.FailureDomain != "", "failure_domain", "must not be empty")
	require(settings.TunnelAddress.IsValid(), "tunnel_address", "must be an address with a port")
	require(settings.PeerAddress.IsValid(), "peer_address", "must be an address with a port")
	require(settings.AdminAddress.IsValid(), "admin_address", "must be an address with a port")
	require(len(settings.FabricAddresses) > 0, "fabric_addresses", "must name at least one address")
	require(strings.HasPrefix(settings.Platform.URL, "http"), "platform.url", "must be an http or https URL")
	require(settings.Platform.Timeout > 0, "platform.timeout", "must be above 0")
	require(settings.Keys.Authority != "", "keys.authority", "must name a file")
	require(settings.Keys.Certificate != "", "keys.certificate", "must name a file")
	require(settings.Keys.Key != "", "keys.key", "must name a file")
	require(settings.Log.Format == "text" || settings.Log.Format == "json", "log.format", `must be "text" or "json"`)
	require(settings.MaxFlows > 0, "max_flows", "must be above 0")
	require(settings.DrainTimeout > 0, "drain_timeout", "must be above 0")
	for i, peer := range settings.Peers {
		require(peer.Instance != "" && peer.PeerAddress.IsValid(), fmt.Sprintf("peers[%d]", i), "must have an instance and a peer_address")
	}
	return findings
}
