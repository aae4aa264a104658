package soaker

import (
	"net"
	"net/netip"
	"os"
	"sync"
)

const (
	// firstNetwork and networks are the second byte of the lowest loopback addresses of a run, and
	// how many such bytes there are.
	firstNetwork = 10
	networks     = 200
	// reservationPort is a port on which nothing else of a run listens.
	reservationPort = 20_000
)

// network is a part of the loopback addresses that this process has to itself, so that runs side by
// side use different addresses.
type network struct {
	number   byte
	reserved net.Listener // held until the process ends
}

// ownNetwork returns the network of this process.
var ownNetwork = sync.OnceValue(reserveNetwork)

// reserveNetwork reserves a network that no other run has reserved, from one that depends on the
// process ID on.
func reserveNetwork() network {
	first := os.Getpid()
	for i := range networks {
		number := byte(firstNetwork + (first+i)%networks)
		reservation := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, 0, 1}), reservationPort)
		if listener, err := net.Listen("tcp4", reservation.String()); err == nil {
			return network{number: number, reserved: listener}
		}
	}
	return network{number: byte(firstNetwork + first%networks)} // the run says which address is in use
}

// address returns a loopback address of this process; groups begin at 1.
func address(group, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, ownNetwork().number, byte(group), byte(number + 1)})
}
