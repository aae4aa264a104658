package configurer

import (
	"net/netip"
	"time"
)

// PlatformSettings holds the settings of an instance that package director runs.
type PlatformSettings struct {
	Instance          string           `json:"instance"`
	FailureDomain     string           `json:"failure_domain"`
	Address           netip.Addr       `json:"address"`            // of the instance, for heartbeats and metrics
	AdvertisedAddress netip.Addr       `json:"advertised_address"` // where other instances reach it; by default the address of each listener
	PacketAddress     netip.AddrPort   `json:"packet_address"`     // UDP, for callers' packets
	ReadyAddress      netip.AddrPort   `json:"ready_address"`      // TCP, for readiness checks by the fabric
	ControlAddress    netip.AddrPort   `json:"control_address"`    // TCP, for other instances
	PeerPorts         []uint16         `json:"peer_ports"`         // first and last UDP port of the range for heartbeats; the first is used
	Seeds             []netip.AddrPort `json:"seeds"`              // control addresses of some instances
	ProcessorShare    float64          `json:"processor_share"`    // fraction of a core; instances with the largest share read the store
	StoreAddress      netip.AddrPort   `json:"store_address"`
	MetricsPort       uint16           `json:"metrics_port"`      // TCP on Address, for metrics and state; 0 for no such listener
	StopTimeout       Duration         `json:"stop_timeout"`      // time from the stop signal until the process is killed
	DrainTimeout      Duration         `json:"drain_timeout"`     // time after which a draining backend server may get no new flows; 0 if unlimited
	ApplyTimeout      Duration         `json:"apply_timeout"`     // time within which a configuration has to be in force; 0 if unlimited
	EvacuateTimeout   Duration         `json:"evacuate_timeout"`  // time after which the servers of an evacuated failure domain may get no new flows; 0 if unlimited
	WarmUpExcess      float64          `json:"warm_up_excess"`    // factor by which the openings that reach a cold backend server in a second may exceed the stated rate; 0 if not stated, for 1
	WarmUpSlack       float64          `json:"warm_up_slack"`     // openings in a second that may come on top
	PreferOwnDomain   bool             `json:"prefer_own_domain"` // new flows stay in the instance's failure domain while it has room; otherwise all domains get them alike
	ResetSilent       bool             `json:"reset_silent"`      // open flows of backend servers that have fallen silent are reset
	ServerTokens      bool             `json:"server_tokens"`     // new flows get the tokens that programs from before 2026-12-07 understand, one for each server
	Log               Log              `json:"log"`
	Admission         Admission        `json:"admission"` // what happens when callers ask for more than the servers can work off
}

// Admission holds the settings of the decisions about new flows when room is short.
type Admission struct {
	Enabled      bool     `json:"enabled"`
	MaxWait      Duration `json:"max_wait"`       // of a new flow for a place
	MaxShedShare float64  `json:"max_shed_share"` // of a service's responses; new flows are limited above twice as much
}

// maxAdmissionWait keeps a new flow from waiting until its caller repeats the opening, after
// 200 ms.
const maxAdmissionWait = Duration(180 * time.Millisecond)

var defaultAdmission = Admission{MaxWait: Duration(100 * time.Millisecond), MaxShedShare: 0.1}

// PeerAddress returns the UDP address on which the instance receives heartbeats.
func (platformSettings *PlatformSettings) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(platformSettings.Address, platformSettings.PeerPorts[0])
}

// Advertise returns the address under which other instances reach the listener at local.
func (platformSettings *PlatformSettings) Advertise(local netip.AddrPort) netip.AddrPort {
	if !platformSettings.AdvertisedAddress.IsValid() {
		return local
	}
	return netip.AddrPortFrom(platformSettings.AdvertisedAddress, local.Port())
}

// ChangeDeadline returns the shortest one of the drain, apply and evacuate timeouts that are
// set, or 0 if none is.
func (platformSettings *PlatformSettings) ChangeDeadline() time.Duration {
	deadline := Duration(0)
	for _, timeout := range []Duration{platformSettings.DrainTimeout, platformSettings.ApplyTimeout, platformSettings.EvacuateTimeout} {
		if timeout > 0 && (deadline == 0 || timeout < deadline) {
			deadline = timeout
		}
	}
	return time.Duration(deadline)
}

const defaultStopTimeout = Duration(6 * time.Second)

// ReadPlatformSettings reads and validates a settings file. It returns Findings as
// its error if the content is invalid.
func ReadPlatformSettings(file string) (*PlatformSettings, error) {
	platformSettings := &PlatformSettings{Log: Log{Format: "json"}, StopTimeout: defaultStopTimeout, Admission: defaultAdmission}
	if err := readStrict(file, platformSettings); err != nil {
		return nil, err
	}
	if findings := platformSettings.check(file); len(findings) > 0 {
		return nil, findings
	}
	return platformSettings, nil
}

func (platformSettings *PlatformSettings) check(file string) Findings {
	var findings Findings
	require := newChecker(file, &findings)
	require(platformSettings.Instance != "", "instance", "must not be empty")
	require(platformSettings.FailureDomain != "", "failure_domain", "must not be empty")
	require(platformSettings.Address.Is4(), "address", "must be an IPv4 address")
	advertised := platformSettings.AdvertisedAddress
	require(!advertised.IsValid() || advertised.Is4(), "advertised_address", "must be an IPv4 address")
	require(platformSettings.PacketAddress.IsValid(), "packet_address", "must be an address with a port")
	require(platformSettings.ReadyAddress.IsValid(), "ready_address", "must be an address with a port")
	require(platformSettings.ControlAddress.IsValid(), "control_address", "must be an address with a port")
	require(platformSettings.StoreAddress.IsValid(), "store_address", "must be an address with a port")
	require(len(platformSettings.PeerPorts) > 0, "peer_ports", "must name at least one port")
	require(platformSettings.ProcessorShare >= 0, "processor_share", "must not be negative")
	require(platformSettings.StopTimeout > 0, "stop_timeout", "must be above 0")
	require(platformSettings.DrainTimeout >= 0, "drain_timeout", "must not be negative")
	require(platformSettings.ApplyTimeout >= 0, "apply_timeout", "must not be negative")
	require(platformSettings.EvacuateTimeout >= 0, "evacuate_timeout", "must not be negative")
	require(platformSettings.WarmUpExcess >= 0, "warm_up_excess", "must not be negative")
	require(platformSettings.WarmUpSlack >= 0, "warm_up_slack", "must not be negative")
	require(platformSettings.Log.Format == "text" || platformSettings.Log.Format == "json", "log.format", `must be "text" or "json"`)
	admission := platformSettings.Admission
	require(admission.MaxWait >= 0 && admission.MaxWait <= maxAdmissionWait, "admission.max_wait", "must be from 0 to 180ms")
	require(admission.MaxShedShare > 0 && admission.MaxShedShare < 1, "admission.max_shed_share", "must be above 0 and below 1")
	return findings
}
