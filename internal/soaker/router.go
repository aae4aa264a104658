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
	readyInterval    = 200 * time.Millisecond
	readyTimeout     = 300 * time.Millisecond
	failureThreshold = 2 // failed probes in a row until an instance is not ready
)

// router simulates the platform's routers: it distributes flows over the ready
// instances by hash.
type router struct {
	socket    *net.UDPConn
	instances []*instance

	network  *callerNetwork
	mutex    sync.Mutex
	ready    []*instance
	excluded map[*instance]bool // not used although ready
}

func newRouter(ctx context.Context, address netip.Addr, instances []*instance, network *callerNetwork) (*router, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, 0)))
	if err != nil {
		return nil, err
	}
	router := &router{socket: socket, instances: instances, network: network}
	for _, instance := range instances {
		go router.probe(ctx, instance)
	}
	return router, nil
}

// probe polls the readiness of one instance. Two failures in a row make the instance
// not ready until the next success.
func (router *router) probe(ctx context.Context, instance *instance) {
	client := &http.Client{Timeout: readyTimeout}
	failures := failureThreshold
	for ctx.Err() == nil {
		response, err := client.Get("http://" + instance.endpoint(readyPort) + platform.ReadyPath)
		if err == nil {
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
		} else {
			failures++
		}
		router.setReady(instance, failures < failureThreshold)
		time.Sleep(readyInterval)
	}
}

// setReady updates an instance and the list of those that are used.
func (router *router) setReady(changed *instance, ready bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	changed.ready = ready
	router.selectReady()
}

// selectReady updates the list of instances that are used.
func (router *router) selectReady() {
	router.ready = router.ready[:0]
	for _, instance := range router.instances {
		if instance.ready && !router.excluded[instance] {
			router.ready = append(router.ready, instance)
		}
	}
}

// setExcluded replaces the instances that are not used although they are ready.
func (router *router) setExcluded(excluded map[*instance]bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.excluded = excluded
	router.selectReady()
}

// readyCount returns the number of ready instances.
func (router *router) readyCount() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return len(router.ready)
}

// forward sends a caller's packet to a ready instance, or to any instance if none is
// ready, and returns the instance.
func (router *router) forward(content []byte, key [2]netip.AddrPort) *instance {
	hash := fnv.New32a()
	hash.Write([]byte(key[0].String() + key[1].String()))
	router.mutex.Lock()
	targets := router.ready
	if len(targets) == 0 {
		targets = router.instances
	}
	target := targets[int(hash.Sum32())%len(targets)]
	router.mutex.Unlock()
	isOpening := content[flagsOffset]&flagSYN != 0
	router.network.carry(isOpening, func() { router.socket.WriteToUDPAddrPort(content, netip.AddrPortFrom(target.address, packetPort)) })
	return target
}
