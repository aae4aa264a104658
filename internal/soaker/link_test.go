package soaker

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestALinkDisturbsTheSendersItIsToldTo sends one datagram in a mode and then
// one in passing, which ends the wait.
func TestALinkDisturbsTheSendersItIsToldTo(t *testing.T) {
	loopback := netip.MustParseAddr("127.0.0.1")
	other := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.9"): true}
	cases := []struct {
		name string
		mode linkMode
		from map[netip.Addr]bool
		want int // copies of the first datagram
	}{
		{"passes", linkPass, nil, 1},
		{"cut", linkCut, nil, 0},
		{"cut for this sender", linkCut, map[netip.Addr]bool{loopback: true}, 0},
		{"cut for another sender", linkCut, other, 1},
		{"doubled", linkDouble, nil, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := listen(t)
			link, err := newLink(netip.AddrPortFrom(loopback, 0), target.LocalAddr().(*net.UDPAddr).AddrPort())
			assert.NilError(t, err)
			defer link.socket.Close()
			sender := listen(t)
			link.set(c.mode, c.from)
			sender.WriteTo([]byte("first"), link.socket.LocalAddr())
			for !link.hasTaken(1) {
				time.Sleep(time.Millisecond)
			}
			link.set(linkPass, nil)
			sender.WriteTo([]byte("last"), link.socket.LocalAddr())
			copies, buffer := 0, make([]byte, 64)
			for {
				count, _, err := target.ReadFrom(buffer)
				assert.NilError(t, err)
				if string(buffer[:count]) == "last" {
					break
				}
				copies++
			}
			assert.Equal(t, copies, c.want)
		})
	}
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { socket.Close() })
	return socket
}
