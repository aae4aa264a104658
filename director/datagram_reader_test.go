package director

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newReader(t *testing.T) (*datagramReader, func()) {
	t.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	sender, err := net.DialUDP("udp4", nil, connection.LocalAddr().(*net.UDPAddr))
	assert.NilError(t, err)
	t.Cleanup(func() {
		connection.Close()
		sender.Close()
	})
	reader, err := newDatagramReader(connection)
	assert.NilError(t, err)
	return reader, func() {
		_, err := sender.Write([]byte("x"))
		assert.NilError(t, err)
	}
}

// Guards against a process that stands still while it waits, and takes the datagrams that came meanwhile
// for read as soon as it has the first of them.
func TestDatagramsThatWaitAreNotDrained(t *testing.T) {
	reader, send := newReader(t)
	buffer := make([]byte, 10)
	sentAt := time.Now()
	send()
	send()
	assert.Assert(t, reader.drainedAt().Before(sentAt), "two datagrams wait")
	for range 2 {
		count, err := reader.read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, count, 1)
		assert.Assert(t, reader.drainedAt().Before(sentAt), "the last is being processed")
	}
	_, isThere, err := reader.poll(buffer)
	assert.NilError(t, err)
	assert.Assert(t, !isThere && reader.drainedAt().After(sentAt))
}

func TestReaderWaitsForADatagram(t *testing.T) {
	reader, send := newReader(t)
	time.AfterFunc(50*time.Millisecond, send)
	count, err := reader.read(make([]byte, 10))
	assert.NilError(t, err)
	assert.Equal(t, count, 1)
}
