package soaker

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkMode selects what a link does with datagrams.
type linkMode string

// Modes of a link.
const (
	linkPass      linkMode = "pass"
	linkDrop      linkMode = "cut"    // drops every datagram
	linkDelay     linkMode = "delay"  // reorders them with datagrams sent after the mode ends
	linkDropHalf  linkMode = "half"   // drops every second datagram
	linkDuplicate linkMode = "double" // delivers every datagram twice

	linkTruncatedCopy linkMode = "truncated" // delivers the first half, and then the whole
)

const linkDelayDuration = 700 * time.Millisecond

// link is a UDP proxy that carries heartbeats of other instances to one instance.
type link struct {
	socket *net.UDPConn
	target *net.UDPAddr

	mutex    sync.Mutex
	mode     linkMode
	senders  map[netip.Addr]bool // to which mode applies; nil means all
	received int                 // datagrams since the start
}

func newLink(address, target netip.AddrPort) (*link, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	link := &link{socket: socket, target: net.UDPAddrFromAddrPort(target), mode: linkPass}
	go link.forward()
	return link, nil
}

// setMode changes the mode for datagrams from senders, or from all if senders is nil.
func (link *link) setMode(mode linkMode, senders map[netip.Addr]bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.mode, link.senders = mode, senders
}

// modeFor counts a received datagram and returns the mode for it.
func (link *link) modeFor(sender netip.Addr) linkMode {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.received++
	if link.senders != nil && !link.senders[sender] {
		return linkPass
	}
	if link.mode == linkDropHalf && link.received%2 == 0 {
		return linkDrop
	}
	return link.mode
}

// hasReceived reports whether the link has received at least count datagrams.
func (link *link) hasReceived(count int) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.received >= count
}

func (link *link) forward() {
	buffer := make([]byte, 64<<10)
	for {
		count, sender, err := link.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		content := append([]byte(nil), buffer[:count]...)
		switch link.modeFor(sender.Addr().Unmap()) {
		case linkDrop:
		case linkDelay:
			time.AfterFunc(linkDelayDuration, func() { link.socket.WriteToUDP(content, link.target) })
		case linkDuplicate:
			link.socket.WriteToUDP(content, link.target)
			link.socket.WriteToUDP(content, link.target)
		case linkTruncatedCopy:
			link.socket.WriteToUDP(content[:count/2], link.target)
			link.socket.WriteToUDP(content, link.target)
		default:
			link.socket.WriteToUDP(content, link.target)
		}
	}
}
