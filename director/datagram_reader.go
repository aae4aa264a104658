package director

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// datagramReader reads the datagrams of a socket, and knows up to when all that arrived have been read.
// When a datagram arrived is not known, only that it was not there at that time. A process that stands
// still, or runs rarely, reads late, and must not take that for the time of arrival.
type datagramReader struct {
	connection syscall.RawConn

	mutex    sync.Mutex
	emptyAt  time.Time // when nothing was left to read
	isInHand bool      // a datagram was read and is being processed
}

func newDatagramReader(connection *net.UDPConn) (*datagramReader, error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "reach the socket")
	}
	return &datagramReader{connection: raw, emptyAt: time.Now()}, nil
}

// read waits for a datagram, until the socket's read deadline if it has one. The datagram counts as
// processed when read or poll is called again.
func (datagramReader *datagramReader) read(buffer []byte) (int, error) {
	datagramReader.release()
	var count int
	var readErr error
	err := datagramReader.connection.Read(func(descriptor uintptr) bool {
		var isEmpty bool
		count, isEmpty, readErr = datagramReader.tryRead(descriptor, buffer)
		return !isEmpty
	})
	if err != nil {
		return 0, err
	}
	return count, readErr
}

// poll is the same without waiting; it reports whether there was a datagram.
func (datagramReader *datagramReader) poll(buffer []byte) (int, bool, error) {
	datagramReader.release()
	var count int
	var isEmpty bool
	var readErr error
	err := datagramReader.connection.Control(func(descriptor uintptr) {
		count, isEmpty, readErr = datagramReader.tryRead(descriptor, buffer)
	})
	if err != nil {
		return 0, false, err
	}
	return count, !isEmpty, readErr
}

func (datagramReader *datagramReader) release() {
	datagramReader.mutex.Lock()
	defer datagramReader.mutex.Unlock()
	datagramReader.isInHand = false
}

// tryRead reads a datagram if there is one.
func (datagramReader *datagramReader) tryRead(descriptor uintptr, buffer []byte) (count int, isEmpty bool, err error) {
	datagramReader.mutex.Lock()
	defer datagramReader.mutex.Unlock()
	triedAt := time.Now()
	for {
		count, err = syscall.Read(int(descriptor), buffer) // which does not wait
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			datagramReader.emptyAt = triedAt
			return 0, true, nil
		}
		datagramReader.isInHand = true
		return count, false, err
	}
}

// lastEmptyAt returns the same as drainedAt without asking the kernel.
func (datagramReader *datagramReader) lastEmptyAt() time.Time {
	datagramReader.mutex.Lock()
	defer datagramReader.mutex.Unlock()
	return datagramReader.emptyAt
}

// drainedAt returns the time before which every datagram that arrived has been processed. It may be
// called concurrently.
func (datagramReader *datagramReader) drainedAt() time.Time {
	datagramReader.mutex.Lock()
	defer datagramReader.mutex.Unlock()
	if datagramReader.isInHand {
		return datagramReader.emptyAt
	}
	datagramReader.connection.Control(func(descriptor uintptr) {
		triedAt := time.Now()
		var first [1]byte
		if _, _, err := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_DONTWAIT|syscall.MSG_PEEK); err == syscall.EAGAIN {
			datagramReader.emptyAt = triedAt
		}
	})
	return datagramReader.emptyAt
}
