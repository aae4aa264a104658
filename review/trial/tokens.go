package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/picker"
	"github.com/pimentowind/pimentowind/viewer"
)

// registrationLag is how long after its start the elder of two new servers writes its first entry;
// servers write about every heartbeatInterval.
const registrationLag = time.Second

// tokens adds two servers at nearly the same time, whose ids lead to the same token. The one that
// starts first registers second.
func tokens(run *run) error {
	deployment := run.deployment
	deployment.zones = []string{"north-pump", "river-hall"}
	deployment.bounds = bounds{drain: 5 * time.Second, apply: 5 * time.Second, grace: 6 * time.Second, stable: 5 * time.Second}
	route := netip.MustParseAddrPort("198.18.0.1:8443")
	deployment.configure(&viewer.Configuration{Version: 7, IdleTimeout: 15 * time.Second, Routes: []viewer.Route{
		{Name: "r-main", Address: route, Priority: 1, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Shares: []viewer.Share{{Service: "pipe-desk", Weight: 1}}},
	}})
	work := func() time.Duration { return 20*time.Millisecond + rand.N(40*time.Millisecond) }
	for i := range 8 {
		if _, err := deployment.addServer("pipe-desk", deployment.zones[i%2], 3, 12, work); err != nil {
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
	end := time.Now().Add(16 * time.Second)
	for i, zone := range deployment.zones {
		caller, err := deployment.addCaller(zone, byte(i+1))
		if err != nil {
			return err
		}
		for j := range 40 {
			group.Go(func() {
				time.Sleep(rand.N(2 * time.Second))
				for k := 0; time.Now().Before(end); k++ {
					caller.callOften(route, fmt.Sprintf("q%d-%d-%d", i, j, k), 6)
				}
			})
		}
	}
	if run.trouble {
		time.Sleep(4 * time.Second)
		one, other := sameToken()
		elderBorn := time.Now().UnixMilli()
		time.Sleep(100 * time.Millisecond)
		if _, err := deployment.addNamedServer(one, time.Now().UnixMilli(), "pipe-desk", deployment.zones[0], 3, 12, work); err != nil {
			return err
		}
		time.Sleep(registrationLag)
		if _, err := deployment.addNamedServer(other, elderBorn, "pipe-desk", deployment.zones[0], 3, 12, work); err != nil {
			return err
		}
	}
	group.Wait()
	return nil
}

// sameToken returns two identities of 40 bits, as those of the users' pages have, with one token.
func sameToken() (uint64, uint64) {
	known := map[uint32]uint64{}
	for {
		identity := rand.Uint64()>>24 | 1<<39
		token := uint32(picker.Hash(identity, 0))
		if other, ok := known[token]; ok && other != identity {
			return other, identity
		}
		known[token] = identity
	}
}

// callOften opens a flow for several requests with pauses between them.
func (caller *caller) callOften(route netip.AddrPort, id string, requests int) {
	flow, result := caller.open(route)
	if flow == nil {
		caller.deployment.recorder.note("flow of %s did not open: %s", id, result)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer flow.close()
	for i := range requests {
		result := flow.request(fmt.Sprintf("%s-%d", id, i), 900, 3*time.Second)
		caller.deployment.recorder.note("request %s-%d on flow %s: %s %s", id, i, flow.key, result, flow.server)
		if result != served && result != shed {
			return
		}
		if !flow.rest(rand.N(600*time.Millisecond), id) {
			return
		}
	}
	flow.end()
}

// rest waits between two requests, and reports whether the flow is still open.
func (flow *callerFlow) rest(pause time.Duration, id string) bool {
	end := time.After(pause)
	for {
		select {
		case received := <-flow.packets:
			if received.flags&flagRST != 0 {
				flow.caller.deployment.checkReset(flow, received, id+", idle")
				return false
			}
			if received.flags&flagSYN == 0 && len(received.data) > 0 {
				flow.sendACK()
			}
		case <-end:
			return true
		}
	}
}
