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

// Settings is everything that an instance is told at its start.
type Settings struct {
	Instance        string           `json:"instance"`
	FailureDomain   string           `json:"failure_domain"`
	TunnelAddress   netip.AddrPort   `json:"tunnel_address"`
	PeerAddress     netip.AddrPort   `json:"peer_address"`
	AdminAddress    netip.AddrPort   `json:"admin_address"`
	FabricAddresses []netip.AddrPort `json:"fabric_addresses"`
	Platform        Platform         `json:"platform"`
	Keys            Keys             `json:"keys"`
	Peers           []Peer           `json:"peers,omitempty"`
	Log             Log              `json:"log"`
	MaxFlows        int              `json:"max_flows"`
	DrainTimeout    Duration         `json:"drain_timeout"`
}

// Platform says where the platform's object API is and how to call it.
type Platform struct {
	URL     string   `json:"url"`
	Token   string   `json:"token"`
	Timeout Duration `json:"timeout"`
}

// Keys names the files with the authority's certificate and the instance's key pair.
type Keys struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Peer is an instance to contact when the platform's list cannot be read.
type Peer struct {
	Instance    string         `json:"instance"`
	PeerAddress netip.AddrPort `json:"peer_address"`
}

// Log says how log lines are written; Format is "text" or "json".
type Log struct {
	Format    string `json:"format"`
	Verbosity int    `json:"verbosity"`
}

// Duration is a time.Duration written as in "2s".
type Duration time.Duration

// UnmarshalText parses a duration such as "2s".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// MarshalText writes a duration such as "2s".
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// Finding is one fault in the settings with the key that it is in.
type Finding struct {
	File    string
	Key     string
	Message string
}

// Findings is every fault of one settings file.
type Findings []Finding

// Error returns one finding a line.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = fmt.Sprintf("%s: %s: %s", finding.File, finding.Key, finding.Message)
	}
	return strings.Join(lines, "\n")
}

// Defaults of settings that may be left out.
const (
	defaultTimeout      = Duration(2 * time.Second)
	defaultDrainTimeout = Duration(10 * time.Second)
	defaultMaxFlows     = 500_000
)

// Read loads and checks a settings file; it returns Findings when anything in it is wrong.
func Read(file string) (*Settings, error) {
	settings := &Settings{
		Platform:     Platform{Timeout: defaultTimeout},
		Log:          Log{Format: "text"},
		MaxFlows:     defaultMaxFlows,
		DrainTimeout: defaultDrainTimeout,
	}
	if err := readStrictly(file, settings); err != nil {
		return nil, err
	}
	if findings := settings.check(file); len(findings) > 0 {
		return nil, findings
	}
	return settings, nil
}

// readStrictly decodes a JSON file into settings; a fault in the text, or a
// field that settings does not have, is a finding.
func readStrictly(file string, settings any) error {
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

// collect returns a check that adds a finding to findings unless ok holds.
func collect(file string, findings *Findings) func(ok bool, key, message string) {
	return func(ok bool, key, message string) {
		if !ok {
			*findings = append(*findings, Finding{File: file, Key: key, Message: message})
		}
	}
}

func (settings *Settings) check(file string) Findings {
	var findings Findings
	need := collect(file, &findings)
	need(settings.Instance != "", "instance", "must not be empty")
	need(settings.FailureDomain != "", "failure_domain", "must not be empty")
	need(settings.TunnelAddress.IsValid(), "tunnel_address", "must be an address with a port")
	need(settings.PeerAddress.IsValid(), "peer_address", "must be an address with a port")
	need(settings.AdminAddress.IsValid(), "admin_address", "must be an address with a port")
	need(len(settings.FabricAddresses) > 0, "fabric_addresses", "must name at least one address")
	need(strings.HasPrefix(settings.Platform.URL, "http"), "platform.url", "must be an http or https URL")
	need(settings.Platform.Timeout > 0, "platform.timeout", "must be above 0")
	need(settings.Keys.Authority != "", "keys.authority", "must name a file")
	need(settings.Keys.Certificate != "", "keys.certificate", "must name a file")
	need(settings.Keys.Key != "", "keys.key", "must name a file")
	need(settings.Log.Format == "text" || settings.Log.Format == "json", "log.format", `must be "text" or "json"`)
	need(settings.MaxFlows > 0, "max_flows", "must be above 0")
	need(settings.DrainTimeout > 0, "drain_timeout", "must be above 0")
	for i, peer := range settings.Peers {
		need(peer.Instance != "" && peer.PeerAddress.IsValid(), fmt.Sprintf("peers[%d]", i), "must have an instance and a peer_address")
	}
	return findings
}
