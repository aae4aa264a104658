package soaker

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkMode is how a link treats datagrams.
type linkMode string

// Modes of a link.
const (
	linkPass   linkMode = "pass"
	linkCut    linkMode = "cut"
	linkDelay  linkMode = "delay"  // and so out of order with those after the delay
	linkHalf   linkMode = "half"   // every second one is lost
	linkDouble linkMode = "double" // each arrives twice
)

const linkDelayTime = 700 * time.Millisecond

// link carries the heartbeats of other instances to one instance.
type link struct {
	socket *net.UDPConn
	target *net.UDPAddr

	mutex sync.Mutex
	mode  linkMode
	from  map[netip.Addr]bool // senders that mode is for; all if nil
	taken int                 // datagrams since the start
}

func newLink(address, target netip.AddrPort) (*link, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	link := &link{socket: socket, target: net.UDPAddrFromAddrPort(target), mode: linkPass}
	go link.run()
	return link, nil
}

// set changes the mode for datagrams of some senders, or of all if from is nil.
func (link *link) set(mode linkMode, from map[netip.Addr]bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.mode, link.from = mode, from
}

func (link *link) modeFor(sender netip.Addr) linkMode {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.taken++
	if link.from != nil && !link.from[sender] {
		return linkPass
	}
	if link.mode == linkHalf && link.taken%2 == 0 {
		return linkCut
	}
	return link.mode
}

// hasTaken reports whether the link has taken as many datagrams.
func (link *link) hasTaken(count int) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.taken >= count
}

func (link *link) run() {
	buffer := make([]byte, 64<<10)
	for {
		count, sender, err := link.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		content := append([]byte(nil), buffer[:count]...)
		switch link.modeFor(sender.Addr().Unmap()) {
		case linkCut:
		case linkDelay:
			time.AfterFunc(linkDelayTime, func() { link.socket.WriteToUDP(content, link.target) })
		case linkDouble:
			link.socket.WriteToUDP(content, link.target)
			link.socket.WriteToUDP(content, link.target)
		default:
			link.socket.WriteToUDP(content, link.target)
		}
	}
}
