package soaker

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkModeAppliesToSelectedSenders sends one datagram in each mode, and then
// another one in linkPass mode that marks the end of the copies.
func TestLinkModeAppliesToSelectedSenders(t *testing.T) {
	loopback := netip.MustParseAddr("127.0.0.1")
	other := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.9"): true}
	cases := []struct {
		name    string
		mode    linkMode
		senders map[netip.Addr]bool
		want    int // copies of the first datagram
	}{
		{"passed", linkPass, nil, 1},
		{"dropped", linkDrop, nil, 0},
		{"dropped for this sender", linkDrop, map[netip.Addr]bool{loopback: true}, 0},
		{"dropped for another sender", linkDrop, other, 1},
		{"duplicated", linkDuplicate, nil, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := listenUDP(t)
			link, err := newLink(netip.AddrPortFrom(loopback, 0), target.LocalAddr().(*net.UDPAddr).AddrPort())
			assert.NilError(t, err)
			defer link.socket.Close()
			sender := listenUDP(t)
			link.setMode(c.mode, c.senders)
			sender.WriteTo([]byte("first"), link.socket.LocalAddr())
			for !link.hasReceived(1) {
				time.Sleep(time.Millisecond)
			}
			link.setMode(linkPass, nil)
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

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { socket.Close() })
	return socket
}
