package soaker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/platform/standin"
)

const (
	copyInterval     = time.Second             // between two copies of the store
	maxCopies        = 10                      // that are kept
	rewriteInterval  = 1200 * time.Millisecond // within which servers write their entries again
	returnOutageTime = 2 * time.Second         // longest outage before the store returns from a copy
	lostWrites       = 500                     // of other users of the store before it returns
	lostWritesTime   = time.Second             // for the instances to read their revisions
)

// keepCopies takes copies of the store until ctx ends.
func (soak *soak) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		soak.mutex.Lock()
		soak.copies = append(soak.copies, soak.store.Copy())
		if len(soak.copies) > maxCopies {
			soak.copies = soak.copies[1:]
		}
		soak.mutex.Unlock()
		time.Sleep(copyInterval)
	}
}

// returnStore lets others write to the store, makes it unavailable and returns it from an earlier
// copy. Operators' objects are written again at once, those of servers at once or one by one.
func returnStore(soak *soak, parameters faultParameters) {
	soak.mutex.Lock()
	earlier := soak.copies[parameters.choice%len(soak.copies)]
	soak.mutex.Unlock()
	for range lostWrites {
		soak.store.Put("others", "counter", "{}")
	}
	time.Sleep(lostWritesTime)
	soak.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(parameters.duration % returnOutageTime)
	rewritten := []string{platform.ConfigurationKind, platform.EvacuationsKind}
	writesAtOnce := parameters.choice%2 == 0
	if writesAtOnce {
		rewritten = append(rewritten, platform.ServersKind)
	}
	soak.store.Restore(earlier, rewritten...)
	soak.store.SetFaults(standin.StoreFaults{})
	if writesAtOnce {
		return
	}
	servers := soak.sortedServers()
	for _, server := range servers {
		time.Sleep(rewriteInterval / time.Duration(len(servers)))
		server.rewriteEntry()
	}
}

// rewriteEntry brings the server's entry to what the server last wrote.
func (server *server) rewriteEntry() {
	server.renewEntry()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopped {
		server.removeEntry()
	}
}

// writeOddEntries leaves odd objects of another writer in the store for a time.
func writeOddEntries(soak *soak, parameters faultParameters) {
	specs := standin.OddSpecs()
	spec := specs[parameters.choice%len(specs)]
	kinds := []string{platform.ServersKind, platform.ConfigurationKind, platform.EvacuationsKind, platform.InstancesKind}
	name := fmt.Sprintf("odd-f%07x", parameters.choice)
	for _, kind := range kinds {
		soak.store.PutOdd(kind, name, spec)
	}
	time.Sleep(parameters.duration)
	for _, kind := range kinds {
		soak.store.Remove(kind, name)
	}
}
