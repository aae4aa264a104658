package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `{
  "instance": "lb-1",
  "failure_domain": "dakar-1",
  "tunnel_address": "127.0.0.1:6081",
  "peer_address": "127.0.0.1:7000",
  "admin_address": "127.0.0.1:8000",
  "fabric_addresses": ["127.0.0.1:6000"],
  "platform": {"url": "http://127.0.0.1:9000", "token": "secret", "timeout": "2s"},
  "keys": {"authority": "ca.crt", "certificate": "lb-1.crt", "key": "lb-1.key"},
  "log": {"format": "json"}
}`

func read(t *testing.T, content string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return Read(file)
}

func TestReadFillsDefaults(t *testing.T) {
	settings, err := read(t, sample)
	assert.NilError(t, err)
	assert.Equal(t, settings.MaxFlows, defaultMaxFlows)
	assert.Equal(t, settings.DrainTimeout, defaultDrainTimeout)
}

func TestReadFindings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"instance"`, `"machine"`, `unknown field "machine"`},
		{"no instance", `"lb-1",`, `"",`, "instance: must not be empty"},
		{"address without a port", `"127.0.0.1:7000"`, `"127.0.0.1"`, "settings.json: line"},
		{"no fabric", `["127.0.0.1:6000"]`, `[]`, "fabric_addresses: must name at least one address"},
		{"no platform", `"http://127.0.0.1:9000"`, `"nowhere"`, "platform.url: must be an http or https URL"},
		{"duration without a unit", `"2s"`, `"2"`, "missing unit"},
		{"log format", `"json"`, `"xml"`, `log.format: must be "text" or "json"`},
		{"no key", `"lb-1.key"`, `""`, "keys.key: must name a file"},
		{"not JSON", `{`, `[`, "line 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(t, strings.Replace(sample, c.old, c.new, 1))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestReadReturnsAllFindings(t *testing.T) {
	_, err := read(t, `{"instance": "lb-1"}`)
	findings, ok := err.(Findings)
	assert.Assert(t, ok)
	assert.Equal(t, len(findings), 9)
}
