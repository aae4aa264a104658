package soaker

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/platform"
)

const (
	readyInterval = 200 * time.Millisecond
	readyTimeout  = 300 * time.Millisecond
	missesAllowed = 2
)

// router is a stand-in of the platform's routers: it hashes flows over the instances that are ready.
type router struct {
	socket    *net.UDPConn
	instances []*instance

	mutex sync.Mutex
	ready []*instance
}

func newRouter(ctx context.Context, address netip.Addr, instances []*instance) (*router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, err
	}
	router := &router{socket: socket, instances: instances}
	for _, instance := range instances {
		go router.probe(ctx, instance)
	}
	return router, nil
}

// probe asks one instance for readiness; after two misses it is out until it answers again.
func (router *router) probe(ctx context.Context, instance *instance) {
	client := &http.Client{Timeout: readyTimeout}
	misses := missesAllowed
	for ctx.Err() == nil {
		response, err := client.Get("http://" + instance.at(readyPort) + platform.ReadyPath)
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		router.set(instance, misses < missesAllowed)
		time.Sleep(readyInterval)
	}
}

func (router *router) set(wanted *instance, ready bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	wanted.ready = ready
	router.ready = router.ready[:0]
	for _, instance := range router.instances {
		if instance.ready {
			router.ready = append(router.ready, instance)
		}
	}
}

// readyCount returns how many instances take packets.
func (router *router) readyCount() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return len(router.ready)
}

// forward sends a caller's packet to an instance that is ready, or to any when none is.
func (router *router) forward(content []byte, key [2]netip.AddrPort) {
	hash := fnv.New32a()
	hash.Write([]byte(key[0].String() + key[1].String()))
	router.mutex.Lock()
	targets := router.ready
	if len(targets) == 0 {
		targets = router.instances
	}
	target := targets[int(hash.Sum32())%len(targets)]
	router.mutex.Unlock()
	router.socket.WriteToUDPAddrPort(content, netip.AddrPortFrom(target.address, packetPort))
}
