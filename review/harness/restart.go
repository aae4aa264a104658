package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Sizes and times of the case, from the sheet and the site file of kumagawa-water-grown.
const (
	mapWork        = 5 * time.Millisecond   // of pipe-map
	mapsPerSecond  = 97.5                   // of pipe-map
	killedBefore   = 300 * time.Millisecond // the end of the evacuation
	downTime       = 1250 * time.Millisecond
	quietBeforeEnd = 100 * time.Millisecond // from a heartbeat of the hosts to the end of the evacuation
)

// restart evacuates a zone and takes it back; its hosts have become cold shortly before. With
// trouble, the two daemons of the zone are killed just before and start again a second later.
func restart(run *run, trouble bool) error {
	zones := []string{"hill-tank", "north-pump", "river-hall"}
	routes := map[string]netip.AddrPort{"map-shelf": netip.MustParseAddrPort("198.18.0.1:8443")}
	run.rule = "FAILBACK"
	run.coldRate, run.slots, run.queueLength, run.drainTime = coldRate, 2, 8, 5*time.Second
	run.configure(7, routes)
	var local []*host
	for i := range 6 {
		started, err := run.startHost("map-shelf", zones[i%len(zones)], address(4, i), 1)
		if err != nil {
			return err
		}
		if started.zone == zones[2] {
			local = append(local, started)
		}
	}
	startedAt := local[len(local)-1].born // the hosts of the zone write every heartbeatInterval after it
	if err := run.startDaemons(zones, 2); err != nil {
		return err
	}
	run.note("all daemons are ready")
	sender, err := run.newClient(zones[2], address(3, 0))
	if err != nil {
		return err
	}
	takenBackAt := startedAt.Add((evacuationAt + evacuationTime).Truncate(heartbeatInterval) + heartbeatInterval + quietBeforeEnd)
	time.AfterFunc(time.Until(takenBackAt.Add(-evacuationTime)), func() {
		run.store.put("evacuations", zones[2], map[string]any{})
		run.note("%s is evacuated", zones[2])
	})
	time.AfterFunc(time.Until(takenBackAt.Add(-coldBefore)), func() {
		for _, turned := range local {
			turned.turnCold()
		}
	})
	time.AfterFunc(time.Until(takenBackAt), func() {
		run.store.remove("evacuations", zones[2])
		run.note("%s is taken back", zones[2])
	})
	if trouble {
		time.AfterFunc(time.Until(takenBackAt.Add(-killedBefore)), func() { run.restartDaemons(zones[2]) })
	}
	var requests sync.WaitGroup
	end := time.Now().Add(takeBackLength)
	for number := 0; time.Now().Before(end); number++ {
		requests.Go(func() { sender.request(routes["map-shelf"], fmt.Sprintf("map%d", number), mapWork) })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / mapsPerSecond))
	}
	requests.Wait()
	return nil
}

// restartDaemons kills the daemons of a zone, and starts them again after downTime.
func (run *run) restartDaemons(zone string) {
	for _, killed := range run.daemons {
		if killed.zone == zone {
			killed.stop()
			run.note("daemon %s is killed", killed.name)
		}
	}
	time.Sleep(downTime)
	for _, killed := range run.daemons {
		if killed.zone != zone {
			continue
		}
		if err := killed.start(); err != nil {
			run.note("daemon %s does not start: %v", killed.name, err)
		}
		run.note("daemon %s starts again", killed.name)
	}
}
