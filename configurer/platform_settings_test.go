package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const platformSample = `{"instance": "lb-1", "failure_domain": "dakar-1", "address": "10.1.0.10",
  "packet_address": "10.1.0.10:8172", "ready_address": "10.1.0.10:8167", "control_address": "10.1.0.10:8166",
  "peer_ports": [7720, 7735], "store_address": "10.200.1.7:8169"}`

func readPlatform(t *testing.T, content string) (*PlatformSettings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return ReadPlatformSettings(file)
}

func TestReadPlatformSettingsFillsDefaults(t *testing.T) {
	settings, err := readPlatform(t, platformSample)
	assert.NilError(t, err)
	assert.Equal(t, settings.StopTimeout, defaultStopTimeout)
	assert.Equal(t, settings.Log.Format, "json")
	assert.Equal(t, settings.PeerAddress().String(), "10.1.0.10:7720")
	assert.Equal(t, settings.Admission, defaultAdmission)
	assert.Assert(t, !settings.Admission.Enabled)
}

func TestAdvertiseReturnsTheAdvertisedAddress(t *testing.T) {
	settings, err := readPlatform(t, platformSample)
	assert.NilError(t, err)
	assert.Equal(t, settings.Advertise(settings.ControlAddress).String(), "10.1.0.10:8166")
	advertised := strings.Replace(platformSample, `"packet_address"`, `"advertised_address": "192.0.2.7", "packet_address"`, 1)
	settings, err = readPlatform(t, advertised)
	assert.NilError(t, err)
	assert.Equal(t, settings.Advertise(settings.ControlAddress).String(), "192.0.2.7:8166")
	assert.Equal(t, settings.PeerAddress().String(), "10.1.0.10:7720")
}

func TestReadPlatformSettingsFindings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"instance"`, `"machine"`, `unknown field "machine"`},
		{"no instance", `"lb-1"`, `""`, "instance: must not be empty"},
		{"IPv6", `"address": "10.1.0.10"`, `"address": "::1"`, "address: must be an IPv4 address"},
		{"IPv6 advertised", `"packet_address"`, `"advertised_address": "::1", "packet_address"`, "advertised_address: must be an IPv4 address"},
		{"no ports", `[7720, 7735]`, `[]`, "peer_ports: must name at least one port"},
		{"port too large", `7735`, `77350`, "settings.json: line"},
		{"negative drain timeout", `"packet_address"`, `"drain_timeout": "-1s", "packet_address"`, "drain_timeout: must not be negative"},
		{"negative apply timeout", `"packet_address"`, `"apply_timeout": "-1s", "packet_address"`, "apply_timeout: must not be negative"},
		{"negative evacuate timeout", `"packet_address"`, `"evacuate_timeout": "-1s", "packet_address"`, "evacuate_timeout: must not be negative"},
		{"negative warm-up excess", `"packet_address"`, `"warm_up_excess": -1, "packet_address"`, "warm_up_excess: must not be negative"},
		{"negative warm-up slack", `"packet_address"`, `"warm_up_slack": -0.1, "packet_address"`, "warm_up_slack: must not be negative"},
		{"no store", `"10.200.1.7:8169"`, `""`, "store_address: must be an address with a port"},
		{"wait until callers repeat", `"packet_address"`, `"admission": {"max_wait": "200ms"}, "packet_address"`, "admission.max_wait: must be from 0 to 180ms"},
		{"no shed share", `"packet_address"`, `"admission": {"max_shed_share": 0}, "packet_address"`, "admission.max_shed_share: must be above 0 and below 1"},
		{"truncated", `}`, ``, "unexpected EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readPlatform(t, strings.Replace(platformSample, c.old, c.new, 1))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestReadPlatformSettingsReturnsAllFindings(t *testing.T) {
	_, err := readPlatform(t, `{}`)
	findings, ok := err.(Findings)
	assert.Assert(t, ok)
	assert.Equal(t, len(findings), 8)
}

func TestChangeDeadlineIsTheShortestTimeoutThatIsSet(t *testing.T) {
	const three, five, six = Duration(3 * time.Second), Duration(5 * time.Second), Duration(6 * time.Second)
	cases := []struct{ drain, apply, evacuate, want Duration }{
		{0, 0, 0, 0},
		{three, 0, 0, three},
		{0, five, 0, five},
		{six, five, 0, five},
		{0, 0, three, three},
		{six, five, three, three},
		{three, five, six, three},
	}
	for _, c := range cases {
		settings := &PlatformSettings{DrainTimeout: c.drain, ApplyTimeout: c.apply, EvacuateTimeout: c.evacuate}
		assert.Equal(t, settings.ChangeDeadline(), time.Duration(c.want))
	}
}
