package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	missesAllowed = 2
)

// router is the platform's routers: in each zone it hands a flow to one of the daemons in rotation.
type router struct {
	socket *net.UDPConn
	mutex  sync.Mutex
	zones  map[string][]*daemon
}

func newRouter() (*router, error) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	return &router{socket: socket, zones: map[string][]*daemon{}}, err
}

// add probes a daemon from now on.
func (router *router) add(added *daemon) {
	router.mutex.Lock()
	router.zones[added.zone] = append(router.zones[added.zone], added)
	router.mutex.Unlock()
	go router.probe(added)
}

func (router *router) probe(probed *daemon) {
	client := &http.Client{Timeout: probeTimeout}
	misses := missesAllowed
	for {
		response, err := client.Get("http://" + netip.AddrPortFrom(probed.address, probed.run.readyPort).String() + "/-/ready")
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		router.mutex.Lock()
		probed.inRotation = misses < missesAllowed
		router.mutex.Unlock()
		time.Sleep(probeInterval)
	}
}

// forward sends a packet of a client to a daemon of its zone.
func (router *router) forward(zone string, key [2]netip.AddrPort, content []byte) {
	hash := fnv.New32a()
	hash.Write([]byte(key[0].String() + key[1].String()))
	router.mutex.Lock()
	all := router.zones[zone]
	var targets []*daemon
	for _, candidate := range all {
		if candidate.inRotation {
			targets = append(targets, candidate)
		}
	}
	if 2*len(targets) < len(all) {
		targets = all
	}
	target := targets[int(hash.Sum32()>>8)%len(targets)]
	router.mutex.Unlock()
	router.socket.WriteToUDPAddrPort(content, netip.AddrPortFrom(target.address, target.run.packetPort))
}

// readyCount returns how many daemons are in rotation.
func (router *router) readyCount() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	count := 0
	for _, daemons := range router.zones {
		for _, candidate := range daemons {
			if candidate.inRotation {
				count++
			}
		}
	}
	return count
}
