package soaker

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode selects what a proxy does with connections and data.
type proxyMode string

// Modes of a proxy.
const (
	proxyPass          proxyMode = "pass"
	proxyDelay         proxyMode = "delay"   // delays every chunk of data
	proxyReset         proxyMode = "reset"   // resets open and new connections
	proxyDrop          proxyMode = "silence" // drops data in both directions
	proxyDropResponses proxyMode = "one_way" // drops data from the target only
)

const proxyDelayDuration = 300 * time.Millisecond

// proxy is a TCP proxy that can disturb the connections to one target.
type proxy struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	mode        proxyMode
	connections map[net.Conn]bool // accepted and open
}

func newProxy(address netip.AddrPort, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, mode: proxyPass, connections: map[net.Conn]bool{}}
	go proxy.acceptConnections()
	return proxy, nil
}

// setMode changes the mode. proxyReset also resets the open connections.
func (proxy *proxy) setMode(mode proxyMode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	if mode != proxyReset {
		return
	}
	for connection := range proxy.connections {
		connection.(*net.TCPConn).SetLinger(0)
		connection.Close()
	}
}

func (proxy *proxy) currentMode() proxyMode {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode
}

func (proxy *proxy) acceptConnections() {
	for {
		connection, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		if proxy.currentMode() == proxyReset {
			connection.(*net.TCPConn).SetLinger(0)
			connection.Close()
			continue
		}
		go proxy.serve(connection)
	}
}

func (proxy *proxy) serve(connection net.Conn) {
	defer connection.Close()
	target, err := net.Dial("tcp4", proxy.target)
	if err != nil {
		return
	}
	defer target.Close()
	proxy.mutex.Lock()
	proxy.connections[connection] = true
	proxy.mutex.Unlock()
	defer func() {
		proxy.mutex.Lock()
		defer proxy.mutex.Unlock()
		delete(proxy.connections, connection)
	}()
	go proxy.copy(target, connection, false)
	proxy.copy(connection, target, true)
}

// copy copies data until a connection ends, subject to the current mode; responses says
// whether the data comes from the target.
func (proxy *proxy) copy(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		switch mode := proxy.currentMode(); {
		case mode == proxyDrop, mode == proxyDropResponses && responses:
			continue
		case mode == proxyDelay:
			time.Sleep(proxyDelayDuration)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
