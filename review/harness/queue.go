package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Sizes and times of the case, from the sheet and the site file of shtc-pimento.
const (
	orderWork     = 430 * time.Millisecond // the largest of tile-order
	sheetWork     = 5 * time.Millisecond   // mean of sheet-pull
	slowestSpeed  = 0.7                    // of the hosts of counter
	ordersAtOnce  = 7
	orderSpacing  = 20 * time.Millisecond
	orderInterval = 4500 * time.Millisecond
	orderRounds   = 9
	scaleInRound  = 2 // of orders, before which three of the hosts are emptied
	hostCount     = 24
	counterCount  = 4
)

// queueAfterScaleIn has seven members place an order at nearly the same time every few seconds, at
// four hosts of three slots. With trouble, three of the 24 hosts are emptied and taken away, so that
// four of seven orders wait in the queue of the host that is left.
func queueAfterScaleIn(run *run, trouble bool) error {
	zones := []string{"tt-north-a", "tt-north-b", "tt-north-c"}
	routes := map[string]netip.AddrPort{
		"counter":   netip.MustParseAddrPort("198.18.0.1:8443"),
		"sheetroom": netip.MustParseAddrPort("198.18.0.2:8443"),
	}
	run.slots, run.queueLength, run.drainTime = 3, 12, 3*time.Second
	run.configure(7, routes)
	var counter []*host
	for i := range hostCount {
		service, zone, speed := "sheetroom", zones[i%len(zones)], 1.0
		if i < counterCount {
			service, zone, speed = "counter", zones[2], slowestSpeed
		}
		started, err := run.startHost(service, zone, address(4, i), speed, false)
		if err != nil {
			return err
		}
		if service == "counter" {
			counter = append(counter, started)
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
	var requests sync.WaitGroup
	begin, end := time.Now(), time.Now().Add(orderRounds*orderInterval)
	for i, puller := range clients {
		requests.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				requests.Go(func() { puller.request(routes["sheetroom"], fmt.Sprintf("sheet%d-%d", i, number), sheetWork) })
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	for round := range orderRounds {
		time.Sleep(time.Until(begin.Add(time.Duration(round) * orderInterval)))
		if trouble && round == scaleInRound {
			for _, leaving := range counter[1:] {
				leaving.leave()
			}
			time.Sleep(run.drainTime) // until then openings may go to them
		}
		for i := range ordersAtOnce {
			requests.Go(func() { clients[2].request(routes["counter"], fmt.Sprintf("order%d-%d", round, i), orderWork) })
			time.Sleep(orderSpacing)
		}
	}
	requests.Wait()
	return nil
}
