package configurer

import (
	"net/netip"
	"time"
)

// Entrance is what an instance on the users' platform is told at its start.
type Entrance struct {
	Instance       string           `json:"instance"`
	FailureDomain  string           `json:"failure_domain"`
	Address        netip.Addr       `json:"address"`         // of the instance
	PacketAddress  netip.AddrPort   `json:"packet_address"`  // UDP, for callers' packets
	ReadyAddress   netip.AddrPort   `json:"ready_address"`   // TCP, asked by the fabric
	ControlAddress netip.AddrPort   `json:"control_address"` // TCP, for other instances
	PeerPorts      []uint16         `json:"peer_ports"`      // first and last port between instances
	Seeds          []netip.AddrPort `json:"seeds"`           // control addresses of some instances
	ProcessorShare float64          `json:"processor_share"` // of a core; the strongest instances read the store
	StoreAddress   netip.AddrPort   `json:"store_address"`
	MetricsPort    uint16           `json:"metrics_port"`  // 0 serves no metrics
	StopTimeout    Duration         `json:"stop_timeout"`  // from the signal to stop until the process is killed
	DrainTimeout   Duration         `json:"drain_timeout"` // until no new flow may reach a backend server that leaves
	ApplyTimeout   Duration         `json:"apply_timeout"` // until a configuration has to be in force
	Log            Log              `json:"log"`
}

// PeerAddress is where the instance takes heartbeats of others.
func (entrance *Entrance) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(entrance.Address, entrance.PeerPorts[0])
}

const defaultStopTimeout = Duration(6 * time.Second)

// ReadEntrance loads and checks a settings file; it returns Findings when anything in it is wrong.
func ReadEntrance(file string) (*Entrance, error) {
	entrance := &Entrance{Log: Log{Format: "json"}, StopTimeout: defaultStopTimeout}
	if err := readStrictly(file, entrance); err != nil {
		return nil, err
	}
	if findings := entrance.check(file); len(findings) > 0 {
		return nil, findings
	}
	return entrance, nil
}

func (entrance *Entrance) check(file string) Findings {
	var findings Findings
	need := collect(file, &findings)
	need(entrance.Instance != "", "instance", "must not be empty")
	need(entrance.FailureDomain != "", "failure_domain", "must not be empty")
	need(entrance.Address.Is4(), "address", "must be an IPv4 address")
	need(entrance.PacketAddress.IsValid(), "packet_address", "must be an address with a port")
	need(entrance.ReadyAddress.IsValid(), "ready_address", "must be an address with a port")
	need(entrance.ControlAddress.IsValid(), "control_address", "must be an address with a port")
	need(entrance.StoreAddress.IsValid(), "store_address", "must be an address with a port")
	need(len(entrance.PeerPorts) > 0, "peer_ports", "must name at least one port")
	need(entrance.ProcessorShare >= 0, "processor_share", "must not be negative")
	need(entrance.StopTimeout > 0, "stop_timeout", "must be above 0")
	need(entrance.Log.Format == "text" || entrance.Log.Format == "json", "log.format", `must be "text" or "json"`)
	return findings
}
