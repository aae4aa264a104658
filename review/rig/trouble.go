package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	calmTime    = 6 * time.Second // before the disruption
	troubleTime = 14 * time.Second
)

// play is the load of a case and what disturbs it.
type play func(deployment *deployment, isTroubled bool)

// plays are the cases by name.
var plays = map[string]play{
	"foreign-address": underLoad(playForeignAddress),
	"stale-copy":      underLoad(playStaleCopy),
	"added-route":     underLoad(playAddedRoute),
	"short-freeze":    playShortFreeze,
	"loss":            playLoss,
}

// underLoad returns a play with the usual load, in the middle of which disturb is called.
func underLoad(disturb play) play {
	return func(deployment *deployment, isTroubled bool) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(calmTime)
			disturb(deployment, isTroubled)
		}()
		deployment.load(calmTime + troubleTime)
		<-done
	}
}

// putOdd writes an entry of another writer among those of the backend servers.
func (deployment *deployment) putOdd(name, entry string) {
	deployment.store.put("servers", name, entry)
	deployment.record.line("another writer wrote servers/%s %s", name, entry)
}

// playForeignAddress leaves an entry of another writer that lacks all fields, since it spells them
// with capitals. The address in it is that of a backend server of the other service.
func playForeignAddress(deployment *deployment, isTroubled bool) {
	if !isTroubled {
		return
	}
	other := deployment.hosts[usualShape.deskServers]
	deployment.putOdd("desk-0", capitalize(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":3,"state":"ready","cold_remaining_ms":0,"sequence":41,"born":%d}`,
		deskSync, other.address, other.zone, time.Now().Add(-time.Hour).UnixMilli())))
}

// capitalize returns an entry whose fields are spelled with capitals.
func capitalize(entry string) string {
	for _, field := range []string{"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence", "born"} {
		entry = strings.Replace(entry, `"`+field+`":`, `"`+strings.ToUpper(field)+`":`, 1)
	}
	return entry
}

// playStaleCopy drains a backend server. Before, another writer leaves a copy of its entry, in
// which born is of another type.
func playStaleCopy(deployment *deployment, isTroubled bool) {
	host := deployment.hosts[0]
	if isTroubled {
		host.mutex.Lock()
		entry := host.entry()
		host.mutex.Unlock()
		beforeBorn, _, _ := strings.Cut(entry, `"born":`)
		deployment.putOdd("copy-of-"+host.name, beforeBorn+`"born":null}`)
	}
	time.Sleep(heartbeat)
	acceptedAt := host.drain()
	deployment.record.line("the store has accepted that %s is draining", host.name)
	deployment.checkDrained(host, acceptedAt)
}

// checkDrained looks for work that a draining backend server gets after drainBound.
func (deployment *deployment) checkDrained(host *host, acceptedAt time.Time) {
	time.Sleep(3 * drainBound)
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	for _, run := range deployment.runs {
		if run.host == host && run.openedAt.Sub(acceptedAt) > drainBound {
			deployment.violations = append(deployment.violations, fmt.Sprintf("DRAIN: the opening of request %s reached %s %d ms after the store had accepted that it drains",
				run.requestID, host.name, run.openedAt.Sub(acceptedAt).Milliseconds()))
		}
	}
}

// playAddedRoute lets the operator add a route. Its times are written with a decimal point.
func playAddedRoute(deployment *deployment, isTroubled bool) {
	point := ""
	if isTroubled {
		point = ".0"
	}
	added := fmt.Sprintf(`{"name":"r-added","host":%q,"path_prefix":"/%d/","type":"safe","timeout_ms":2500%s,"target_latency_ms":250%s,"priority":2,"service":%q,"max_attempts":2}`,
		addedRoute.Addr(), addedRoute.Port(), point, point, deskSync)
	deployment.store.put("config", "main", configuration(8, added))
	acceptedAt := time.Now()
	deployment.record.line("the store has accepted version 8, which adds %s", added)
	time.Sleep(applyBound)
	kind := requestKind{name: "added", route: addedRoute, method: "GET", deadline: 2500 * time.Millisecond}
	for number := range 60 {
		sentAt := time.Now()
		id := fmt.Sprintf("a%d", number)
		outcome := deployment.callers[number%len(deployment.callers)].request(&kind, id)
		if outcome.status == "reset" {
			deployment.violate(fmt.Sprintf("CONFIG: request %s, sent %d ms after the store had accepted version 8, was refused as if its route were not there", id, sentAt.Sub(acceptedAt).Milliseconds()))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
