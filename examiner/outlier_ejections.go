package examiner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// maxEjectedShare is the largest fraction of a service's servers that may be ejected
// at a time: if more fail, the cause is probably elsewhere, and the remaining servers
// could not carry the load.
const maxEjectedShare = 0.3

// Ejections holds the servers that are ejected because their requests fail; it is
// safe for concurrent use.
type Ejections struct {
	outstanding atomic.Pointer[func(service string, now time.Time) float64] // nil until SetLoad

	mutex sync.RWMutex
	until map[uint32]time.Time // end of each ejection, by the server's token
}

// NewEjections returns an empty Ejections.
func NewEjections() *Ejections { return &Ejections{until: map[uint32]time.Time{}} }

// SetLoad sets the function that returns the requests that are outstanding at a service.
func (ejections *Ejections) SetLoad(outstanding func(service string, now time.Time) float64) {
	ejections.outstanding.Store(&outstanding)
}

// ejectableShare returns the largest fraction of a service's servers, peers, that may be ejected
// now: servers that reject requests because all are busy are no worse than the others, and these
// could not take over.
func (ejections *Ejections) ejectableShare(service string, peers []*viewer.BackendServer, now time.Time) float64 {
	outstanding := ejections.outstanding.Load()
	if outstanding == nil {
		return maxEjectedShare
	}
	slots := 0
	for _, peer := range peers {
		slots += max(peer.Slots, 1)
	}
	free := 1 - (*outstanding)(service, now)/float64(max(slots, 1))
	return max(min(free, maxEjectedShare), 0)
}

// Eject keeps a server out of selection until a time, or longer if it is ejected for
// longer already. It returns false and does
// nothing if that would eject more than the ejectableShare of peers, the servers of the
// service.
func (ejections *Ejections) Eject(server *viewer.BackendServer, peers []*viewer.BackendServer, until, now time.Time) bool {
	share := ejections.ejectableShare(server.Service, peers, now) // reads the ejections itself
	ejections.mutex.Lock()
	defer ejections.mutex.Unlock()
	for token, end := range ejections.until {
		if now.After(end) {
			delete(ejections.until, token)
		}
	}
	ejected := 1
	for _, peer := range peers {
		if _, ok := ejections.until[peer.Token]; ok && peer.Token != server.Token {
			ejected++
		}
	}
	if float64(ejected) > share*float64(len(peers)) {
		return false
	}
	if until.After(ejections.until[server.Token]) {
		ejections.until[server.Token] = until
	}
	return true
}

// IsEjected reports whether the server with a token is ejected.
func (ejections *Ejections) IsEjected(token uint32, now time.Time) bool {
	ejections.mutex.RLock()
	defer ejections.mutex.RUnlock()
	return now.Before(ejections.until[token])
}
