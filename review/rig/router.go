package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// router forwards callers' packets to the instances of their zone.
type router struct {
	zones     map[netip.Addr]string // of callers
	instances []*instance
	client    http.Client

	mutex  sync.Mutex
	misses map[*instance]int
}

func newRouter(zones map[netip.Addr]string, instances []*instance) *router {
	router := &router{zones: zones, instances: instances, client: http.Client{Timeout: probeInterval}, misses: map[*instance]int{}}
	for _, instance := range instances {
		router.misses[instance] = maxMisses
	}
	return router
}

// probe asks the instances whether they are ready until done is closed.
func (router *router) probe(done <-chan struct{}) {
	for _, instance := range router.instances {
		go func() {
			for {
				go func() { router.note(instance, router.isReady(instance)) }()
				select {
				case <-done:
					return
				case <-time.After(probeInterval):
				}
			}
		}()
	}
}

func (router *router) isReady(instance *instance) bool {
	response, err := router.client.Get("http://" + instance.ready.String() + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (router *router) note(instance *instance, isReady bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if isReady {
		router.misses[instance] = 0
		return
	}
	router.misses[instance]++
}

// allReady reports whether all instances are in rotation.
func (router *router) allReady() bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for _, instance := range router.instances {
		if router.misses[instance] >= maxMisses {
			return false
		}
	}
	return true
}

// next returns the instance that a packet of a flow is forwarded to.
func (router *router) next(caller netip.Addr, source, destination netip.AddrPort) (netip.AddrPort, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	var all, ready []*instance
	for _, instance := range router.instances {
		if instance.zone != router.zones[caller] {
			continue
		}
		all = append(all, instance)
		if router.misses[instance] < maxMisses {
			ready = append(ready, instance)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	hash := fnv.New32a()
	for _, end := range []netip.AddrPort{source, destination} {
		address := end.Addr().As4()
		hash.Write(address[:])
		hash.Write(binary.BigEndian.AppendUint16(nil, end.Port()))
	}
	return ready[int(hash.Sum32()%uint32(len(ready)))].packets, true
}
