package framer

// DropError is the error of a datagram that cannot be decoded; Reason is the
// snake_case name of the counter of such drops.
type DropError struct {
	Reason string
	detail string
}

// Error returns a description of the malformed datagram.
func (dropError *DropError) Error() string { return dropError.detail }

var (
	errTruncatedTunnel = &DropError{"truncated_tunnel", "datagram is shorter than its Geneve header"}
	errTunnelVersion   = &DropError{"tunnel_version", "Geneve version is not 0"}
	errTunnelProtocol  = &DropError{"tunnel_protocol", "Geneve protocol type is not IPv4"}
	errTunnelOption    = &DropError{"tunnel_option", "Geneve option is malformed"}
	errTruncatedInner  = &DropError{"truncated_inner", "inner packet is shorter than its headers indicate"}
	errInnerVersion    = &DropError{"inner_version", "inner packet is not IPv4"}
	errInnerProtocol   = &DropError{"inner_protocol", "inner packet is neither TCP nor UDP"}
	errFragment        = &DropError{"fragment", "inner packet is an IPv4 fragment"}
)

// DropReasons returns the Reason of every DropError that Decode can return.
func DropReasons() []string {
	dropErrors := []*DropError{
		errTruncatedTunnel, errTunnelVersion, errTunnelProtocol, errTunnelOption,
		errTruncatedInner, errInnerVersion, errInnerProtocol, errFragment,
	}
	reasons := make([]string, len(dropErrors))
	for i, dropError := range dropErrors {
		reasons[i] = dropError.Reason
	}
	return reasons
}
