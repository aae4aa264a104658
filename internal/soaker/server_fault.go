package soaker

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/platform/standin"
)

// Rhythm of busy servers.
const (
	busyTime     = 1400 * time.Millisecond
	queueingTime = 200 * time.Millisecond // until the queue is full
	busyInterval = 2500 * time.Millisecond
)

// expireEntries makes the store unavailable until entries of backend servers have
// expired: all entries, or every second one for a third of the choices. The store comes
// back without them, and the servers write them again later.
func expireEntries(soak *soak, parameters faultParameters) {
	soak.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(entryExpiryTime)
	var expired []*server
	for i, server := range soak.sortedServers() {
		if parameters.choice%3 != 0 || i%2 == 0 {
			expired = append(expired, server)
			server.removeEntry()
		}
	}
	soak.store.SetFaults(standin.StoreFaults{})
	time.Sleep(parameters.duration / 3)
	for _, server := range expired {
		server.renewEntry()
	}
}

// removeService removes the entries of all servers of one service from the store for a time.
func removeService(soak *soak, parameters faultParameters) {
	service := []string{"desk-sync", "report-desk"}[parameters.choice%2]
	var removed []*server
	for _, server := range soak.sortedServers() {
		if server.service == service {
			removed = append(removed, server)
			server.removeEntry()
		}
	}
	time.Sleep(parameters.duration)
	for _, server := range removed {
		server.renewEntry()
	}
}

// replaceServer selects a server that accepts new flows and starts another one for the
// same service. It returns the selected server for the caller to stop, or nil if no
// server accepts new flows.
func (soak *soak) replaceServer(parameters faultParameters) *server {
	servers := soak.sortedServers() // numbered from 1
	count := len(servers) + 1
	var selected *server
	for i := range count {
		number := (parameters.choice + i) % count
		if number > 0 && servers[number-1].acceptsFlows() {
			selected = servers[number-1]
			break
		}
	}
	if selected == nil {
		return nil
	}
	if _, err := soak.addServer(selected.service); err != nil {
		soak.recordViolation("%v", err)
	}
	return selected
}

// silenceServers makes every third server answer nothing for a time; it keeps its flows.
func silenceServers(soak *soak, parameters faultParameters) {
	for i, server := range soak.sortedServers() {
		if (i+parameters.choice)%3 == 0 {
			server.silence(parameters.duration)
		}
	}
	time.Sleep(parameters.duration)
}

// silence makes a server answer nothing for a time, or notes that it has answered nothing just now.
func (server *server) silence(duration time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if to := time.Now().Add(duration); to.After(server.silentTo) {
		server.silentTo = to
		server.silences = append(server.silences, span{from: time.Now(), to: to})
	}
}

// keepBusy gives every third server work of busyTime again and again, while which requests wait.
func keepBusy(soak *soak, parameters faultParameters) {
	for end := time.Now().Add(parameters.duration); time.Now().Before(end); time.Sleep(busyInterval) {
		for i, server := range soak.sortedServers() {
			if (i+parameters.choice)%3 == 0 {
				server.occupy()
			}
		}
	}
}

// occupy fills the server's slots for busyTime; with its queue it is soon full, and takes no new flows.
func (server *server) occupy() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	now := time.Now()
	server.busyTo, server.full = now.Add(busyInterval), span{from: now.Add(queueingTime), to: now.Add(busyTime)}
	for i := range server.slotFreeAt {
		server.slotFreeAt[i] = now.Add(busyTime)
	}
}

// silenceDuringChanges silences servers while the routers leave every second ready instance out,
// and take it in again, by turns.
func silenceDuringChanges(soak *soak, parameters faultParameters) {
	end := time.Now().Add(parameters.duration)
	var group sync.WaitGroup
	group.Go(func() { silenceServers(soak, parameters) })
	for i := 0; time.Now().Before(end); i++ {
		excluded := map[*instance]bool{}
		for j, instance := range soak.instances {
			excluded[instance] = i%2 == 0 && (j+parameters.choice)%2 == 0
		}
		soak.router.setExcluded(excluded)
		time.Sleep(routerChangeInterval)
	}
	soak.router.setExcluded(nil)
	group.Wait()
}

// sortedServers returns all servers that have been started.
func (soak *soak) sortedServers() []*server {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return slices.SortedFunc(maps.Values(soak.servers), func(a, b *server) int { return cmp.Compare(a.identity, b.identity) })
}

func (server *server) acceptsFlows() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.stopped && server.leavingAt.IsZero()
}

// crashServer stops a server without notice. Its entry stays until it would expire.
func crashServer(soak *soak, parameters faultParameters) {
	if selected := soak.replaceServer(parameters); selected != nil {
		selected.stop()
		time.Sleep(entryExpiryTime)
		selected.removeEntry()
	}
}

func drainServer(soak *soak, parameters faultParameters) {
	if selected := soak.replaceServer(parameters); selected != nil {
		selected.drain(drainGracePeriod + parameters.duration)
	}
}
