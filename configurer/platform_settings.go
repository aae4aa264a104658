package configurer

import (
	"net/netip"
	"time"
)

// PlatformSettings is what an instance on the users' platform is told at its start.
type PlatformSettings struct {
	Instance          string           `json:"instance"`
	FailureDomain     string           `json:"failure_domain"`
	Address           netip.Addr       `json:"address"`            // of the instance
	AdvertisedAddress netip.Addr       `json:"advertised_address"` // where other instances reach it; left out, address
	PacketAddress     netip.AddrPort   `json:"packet_address"`     // UDP, for callers' packets
	ReadyAddress      netip.AddrPort   `json:"ready_address"`      // TCP, asked by the fabric
	ControlAddress    netip.AddrPort   `json:"control_address"`    // TCP, for other instances
	PeerPorts         []uint16         `json:"peer_ports"`         // first and last port between instances
	Seeds             []netip.AddrPort `json:"seeds"`              // control addresses of some instances
	ProcessorShare    float64          `json:"processor_share"`    // of a core; the strongest instances read the store
	StoreAddress      netip.AddrPort   `json:"store_address"`
	MetricsPort       uint16           `json:"metrics_port"`  // 0 serves no metrics
	StopTimeout       Duration         `json:"stop_timeout"`  // from the signal to stop until the process is killed
	DrainTimeout      Duration         `json:"drain_timeout"` // until no new flow may reach a backend server that leaves
	ApplyTimeout      Duration         `json:"apply_timeout"` // until a configuration has to be in force
	Log               Log              `json:"log"`
}

// PeerAddress is where the instance takes heartbeats of others.
func (platformSettings *PlatformSettings) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(platformSettings.Address, platformSettings.PeerPorts[0])
}

// Advertise returns where other instances reach what listens at local.
func (platformSettings *PlatformSettings) Advertise(local netip.AddrPort) netip.AddrPort {
	if !platformSettings.AdvertisedAddress.IsValid() {
		return local
	}
	return netip.AddrPortFrom(platformSettings.AdvertisedAddress, local.Port())
}

const defaultStopTimeout = Duration(6 * time.Second)

// ReadPlatformSettings loads and checks a settings file; it returns Findings when anything in it is wrong.
func ReadPlatformSettings(file string) (*PlatformSettings, error) {
	platformSettings := &PlatformSettings{Log: Log{Format: "json"}, StopTimeout: defaultStopTimeout}
	if err := readStrictly(file, platformSettings); err != nil {
		return nil, err
	}
	if findings := platformSettings.check(file); len(findings) > 0 {
		return nil, findings
	}
	return platformSettings, nil
}

func (platformSettings *PlatformSettings) check(file string) Findings {
	var findings Findings
	need := collect(file, &findings)
	need(platformSettings.Instance != "", "instance", "must not be empty")
	need(platformSettings.FailureDomain != "", "failure_domain", "must not be empty")
	need(platformSettings.Address.Is4(), "address", "must be an IPv4 address")
	advertised := platformSettings.AdvertisedAddress
	need(!advertised.IsValid() || advertised.Is4(), "advertised_address", "must be an IPv4 address")
	need(platformSettings.PacketAddress.IsValid(), "packet_address", "must be an address with a port")
	need(platformSettings.ReadyAddress.IsValid(), "ready_address", "must be an address with a port")
	need(platformSettings.ControlAddress.IsValid(), "control_address", "must be an address with a port")
	need(platformSettings.StoreAddress.IsValid(), "store_address", "must be an address with a port")
	need(len(platformSettings.PeerPorts) > 0, "peer_ports", "must name at least one port")
	need(platformSettings.ProcessorShare >= 0, "processor_share", "must not be negative")
	need(platformSettings.StopTimeout > 0, "stop_timeout", "must be above 0")
	need(platformSettings.Log.Format == "text" || platformSettings.Log.Format == "json", "log.format", `must be "text" or "json"`)
	return findings
}
