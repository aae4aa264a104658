package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// Figures of plutaca-lb-grown: the largest work of a sea-query, and the shape of its traffic.
const (
	queryWork   = 650 * time.Millisecond
	pullWork    = 5 * time.Millisecond
	swing       = 0.55
	swingPeriod = 13 // seconds
)

// The calls for the live service come in groups. A peak of their number lies 11.3 s after each cut.
const (
	groupInterval = 1600 * time.Millisecond
	groupSize     = 13 // in the middle
	peakAt        = 15.3
	cutAt         = 4 * time.Second
	cutTime       = 3800 * time.Millisecond
	cutCount      = 3
	queueLength   = (cutCount*swingPeriod + 7) * time.Second
)

// queue cuts the three servers off, one every 13 s, for a time in which the entry expires, and lets
// callers wait in the servers' queues some seconds after the server is back.
func queue(run *run) error {
	deployment := run.deployment
	deployment.zones = []string{"split", "zadar", "rijeka"}
	deployment.bounds = bounds{drain: 5 * time.Second, apply: 5 * time.Second, grace: 6 * time.Second, stable: 5 * time.Second}
	live, archive := netip.MustParseAddrPort("198.18.0.1:8080"), netip.MustParseAddrPort("198.18.0.2:8443")
	deployment.configure(&viewer.Configuration{Version: 7, IdleTimeout: 15 * time.Second, Routes: []viewer.Route{
		{Name: "r-sea", Address: live, Priority: 1, Objective: 600 * time.Millisecond, Timeout: 4 * time.Second, Shares: []viewer.Share{{Service: "buoy-live", Weight: 1}}},
		{Name: "r-pull", Address: archive, IsRepeatable: true, Priority: 2, Objective: 1200 * time.Millisecond, Timeout: 8 * time.Second, Shares: []viewer.Share{{Service: "buoy-archive", Weight: 1}}},
	}})
	var servers []*server
	for _, zone := range deployment.zones {
		server, err := deployment.addServer("buoy-live", deployment.zones[0], 2, 8, func() time.Duration { return queryWork })
		if err != nil {
			return err
		}
		servers = append(servers, server)
		if _, err := deployment.addServer("buoy-archive", zone, 2, 8, func() time.Duration { return pullWork }); err != nil {
			return err
		}
	}
	if err := deployment.addInstances(2); err != nil {
		return err
	}
	if err := deployment.awaitReady(30 * time.Second); err != nil {
		return err
	}
	var group sync.WaitGroup
	for i, zone := range deployment.zones {
		caller, err := deployment.addCaller(zone, byte(i+1))
		if err != nil {
			return err
		}
		group.Go(func() { caller.callEvery(archive, 200*time.Millisecond, queueLength, "p"+zone) })
		if i == 0 {
			group.Go(func() { caller.callInGroups(live) })
		}
	}
	for i := range cutCount {
		if run.trouble {
			time.AfterFunc(cutAt+time.Duration(i*swingPeriod)*time.Second, func() { servers[i].cut(cutTime) })
		}
	}
	group.Wait()
	return nil
}

// callInGroups calls a route by the shape of the traffic, a flow for each request.
func (caller *caller) callInGroups(route netip.AddrPort) {
	var group sync.WaitGroup
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < queueLength; i++ {
		phase := 2 * math.Pi * (time.Since(startedAt).Seconds() - peakAt) / swingPeriod
		for j := range int(groupSize*(1+swing*math.Cos(phase)) + rand.Float64()) {
			group.Go(func() {
				time.Sleep(time.Duration(6*j) * time.Millisecond)
				caller.call(route, fmt.Sprintf("q%d-%d", i, j), 900)
			})
		}
		time.Sleep(groupInterval)
	}
	group.Wait()
}
