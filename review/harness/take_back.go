package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Sizes and times of the case, from the sheet and the site file of tpl-trials-now-grown.
const (
	coldRate       = 4.0
	logsPerSecond  = 60
	logWork        = 5 * time.Millisecond
	evacuationTime = 8 * time.Second
	evacuationAt   = 6 * time.Second
	takeBackLength = 25 * time.Second
	coldBefore     = 50 * time.Millisecond // the end of the evacuation
)

// takeBack sends requests to a service whose two hosts are in one zone. With trouble, that zone is
// evacuated and taken back, and its hosts have become cold shortly before.
func takeBack(run *run, trouble bool) error {
	zones := []string{"dakar-plateau", "dakar-almadies", "dakar-pikine"}
	routes := map[string]netip.AddrPort{
		"desk-sync":   netip.MustParseAddrPort("198.18.0.1:8443"),
		"report-desk": netip.MustParseAddrPort("198.18.0.2:8443"),
	}
	run.rule = "FAILBACK"
	run.coldRate, run.slots, run.queueLength, run.drainTime = coldRate, 2, 8, 5*time.Second
	run.configure(7, routes)
	var reporters []*host
	for i := range 8 {
		service, zone := "desk-sync", zones[i%len(zones)]
		if i < 2 {
			service, zone = "report-desk", zones[2]
		}
		started, err := run.startHost(service, zone, address(4, i), 1)
		if err != nil {
			return err
		}
		if service == "report-desk" {
			reporters = append(reporters, started)
		}
	}
	if err := run.startDaemons(zones, 2); err != nil {
		return err
	}
	run.note("all daemons are ready")
	var clients []*client
	for i, zone := range zones {
		created, err := run.newClient(zone, address(3, i))
		if err != nil {
			return err
		}
		clients = append(clients, created)
	}
	if trouble {
		time.AfterFunc(evacuationAt, func() {
			run.store.put("evacuations", zones[2], map[string]any{})
			run.note("%s is evacuated", zones[2])
		})
		time.AfterFunc(evacuationAt+evacuationTime-coldBefore, func() {
			for _, reporter := range reporters {
				reporter.turnCold()
			}
		})
		time.AfterFunc(evacuationAt+evacuationTime, func() {
			run.store.remove("evacuations", zones[2])
			run.note("%s is taken back", zones[2])
		})
	}
	var requests sync.WaitGroup
	end := time.Now().Add(takeBackLength)
	for number := 0; time.Now().Before(end); number++ {
		sender := clients[rand.IntN(len(clients))]
		requests.Go(func() { sender.request(routes["report-desk"], fmt.Sprintf("log%d", number), logWork) })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / logsPerSecond))
	}
	requests.Wait()
	return nil
}
