package examiner

import (
	"sync"
	"time"

	"github.com/pimentowind/pimentowind/viewer"
)

// maxEjectedShare is the largest part of a service's servers that is held off at a
// time: when more fail, the fault is likely elsewhere, and the rest would be too few.
const maxEjectedShare = 0.3

// Ejections knows which servers get no new flows because they fail their requests;
// it is safe for concurrent use.
type Ejections struct {
	mutex sync.RWMutex
	endByToken map[uint32]time.Time // by token
}

// NewEjections returns Holds without any.
func NewEjections() *Ejections { return &Ejections{endByToken: map[uint32]time.Time{}} }

// Eject keeps new flows off a server until a time, and reports whether it does:
// not if too many of its peers, the servers of its service, are held off.
func (ejections *Ejections) Eject(server *viewer.BackendServer, peers []*viewer.BackendServer, until, now time.Time) bool {
	ejections.mutex.Lock()
	defer ejections.mutex.Unlock()
	for token, end := range ejections.endByToken {
		if now.After(end) {
			delete(ejections.endByToken, token)
		}
	}
	held := 1
	for _, peer := range peers {
		if _, ok := ejections.endByToken[peer.Token]; ok && peer.Token != server.Token {
			held++
		}
	}
	if float64(held) > maxEjectedShare*float64(len(peers)) {
		return false
	}
	ejections.endByToken[server.Token] = until
	return true
}

// IsEjected reports whether the server with a token is held off.
func (ejections *Ejections) IsEjected(token uint32, now time.Time) bool {
	ejections.mutex.RLock()
	defer ejections.mutex.RUnlock()
	return now.Before(ejections.endByToken[token])
}
