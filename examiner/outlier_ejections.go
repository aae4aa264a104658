package examiner

import (
	"sync"
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
	mutex sync.RWMutex
	until map[uint32]time.Time // end of each ejection, by the server's token
}

// NewEjections returns an empty Ejections.
func NewEjections() *Ejections { return &Ejections{until: map[uint32]time.Time{}} }

// Eject keeps a server out of selection until a time, or longer if it is ejected for
// longer already. It returns false and does
// nothing if that would eject more than maxEjectedShare of peers, the servers of the
// service.
func (ejections *Ejections) Eject(server *viewer.BackendServer, peers []*viewer.BackendServer, until, now time.Time) bool {
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
	if float64(ejected) > maxEjectedShare*float64(len(peers)) {
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
