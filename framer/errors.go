package framer

// DropError says why a datagram cannot be decoded; Reason is a snake_case counter name.
type DropError struct {
	Reason string
	detail string
}

// Error describes the fault in the datagram.
func (dropError *DropError) Error() string { return dropError.detail }

var (
	errTruncatedTunnel = &DropError{"truncated_tunnel", "datagram is shorter than its Geneve header"}
	errTunnelVersion   = &DropError{"tunnel_version", "Geneve version is not 0"}
	errTunnelProtocol  = &DropError{"tunnel_protocol", "Geneve protocol type is not IPv4"}
	errTunnelOption    = &DropError{"tunnel_option", "Geneve option is malformed"}
	errTruncatedInner  = &DropError{"truncated_inner", "inner packet is shorter than its headers say"}
	errInnerVersion    = &DropError{"inner_version", "inner packet is not IPv4"}
	errInnerProtocol   = &DropError{"inner_protocol", "inner packet is neither TCP nor UDP"}
	errFragment        = &DropError{"fragment", "inner packet is an IPv4 fragment"}
)

// DropReasons lists every reason that Decode can return.
func DropReasons() []string {
	all := []*DropError{
		errTruncatedTunnel, errTunnelVersion, errTunnelProtocol, errTunnelOption,
		errTruncatedInner, errInnerVersion, errInnerProtocol, errFragment,
	}
	reasons := make([]string, len(all))
	for i, dropError := range all {
		reasons[i] = dropError.Reason
	}
	return reasons
}
