package soaker

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections.
type proxyMode string

// Modes of a proxy.
const (
	proxyPass    proxyMode = "pass"
	proxyDelay   proxyMode = "delay"   // every piece waits
	proxyReset   proxyMode = "reset"   // connections are reset, new ones too
	proxySilence proxyMode = "silence" // bytes vanish in both directions
	proxyOneWay  proxyMode = "one_way" // answers vanish
)

const proxyDelayTime = 300 * time.Millisecond

// proxy stands between one instance and the store.
type proxy struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	mode        proxyMode
	connections map[net.Conn]bool
}

func newProxy(address netip.AddrPort, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, mode: proxyPass, connections: map[net.Conn]bool{}}
	go proxy.run()
	return proxy, nil
}

// set changes the mode; a reset ends the open connections.
func (proxy *proxy) set(mode proxyMode) {
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

func (proxy *proxy) current() proxyMode {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode
}

func (proxy *proxy) run() {
	for {
		connection, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		if proxy.current() == proxyReset {
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

// copy moves bytes until one side ends, as the mode of the moment says.
func (proxy *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		switch mode := proxy.current(); {
		case mode == proxySilence, mode == proxyOneWay && answers:
			continue
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
