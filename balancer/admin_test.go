package balancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseTuple(t *testing.T) {
	cases := []struct{ protocol, caller, service, want string }{
		{"tcp", "198.51.100.1:40000", "10.1.0.1:443", ""},
		{"udp", "198.51.100.1:40000", "10.1.0.1:53", ""},
		{"sctp", "198.51.100.1:40000", "10.1.0.1:443", `protocol "sctp" is not tcp or udp`},
		{"tcp", "198.51.100.1", "10.1.0.1:443", `caller "198.51.100.1" is not an IPv4 address with a port`},
		{"tcp", "198.51.100.1:40000", "[::1]:443", `service "[::1]:443" is not an IPv4 address with a port`},
	}
	for _, c := range cases {
		tuple, err := parseTuple(c.protocol, c.caller, c.service)
		if c.want == "" {
			assert.NilError(t, err)
			assert.Equal(t, tuple.SourcePort, uint16(40000))
			continue
		}
		assert.Error(t, err, c.want)
	}
}
