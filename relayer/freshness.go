package relayer

import (
	"slices"
	"time"
)

// maxStoreReads is the number of the latest reads of the store that an instance remembers.
const maxStoreReads = 32

// storeRead is one read of the store by any instance, as this one heard of it.
type storeRead struct {
	id uint64
	at time.Time // the earliest time at which it can have begun
}

// storeReads are the latest reads of the store, in the order in which this instance heard of them.
//
// An age that travels between instances does not count the time of the travel, so a view that is
// passed to and fro would look fresher each time. The same read is therefore never taken for
// later than when it was first heard of.
type storeReads []storeRead

// startOf returns when a read began, which a message says was at a time; it remembers the earliest.
// A read without an id, of an instance with an older program, is not remembered.
func (storeReads *storeReads) startOf(id uint64, at time.Time) time.Time {
	if id == 0 {
		return at
	}
	for i := range *storeReads {
		read := &(*storeReads)[i]
		if read.id != id {
			continue
		}
		if at.Before(read.at) {
			read.at = at
		}
		return read.at
	}
	if len(*storeReads) == maxStoreReads {
		*storeReads = slices.Delete(*storeReads, 0, 1)
	}
	*storeReads = append(*storeReads, storeRead{id: id, at: at})
	return at
}

// markFresh records that the view matched the store at that time, by the read with an id.
func (relayer *Relayer) markFresh(id uint64, at time.Time) {
	relayer.mutex.Lock()
	at = relayer.storeReads.startOf(id, at)
	relayer.mutex.Unlock()
	relayer.startGracePeriod(at)
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.schedule.MarkFresh(id, at)
}

// newStoreRead returns the id of a read of the store by this instance.
func (relayer *Relayer) newStoreRead() uint64 {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.lastStoreRead++
	return relayer.lastStoreRead
}
