package director

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/estimator"
	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/internal/rehearser"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

func listenLocally(t *testing.T) *net.UDPConn {
	t.Helper()
	connection, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection
}

// startSocket runs a Socket whose route leads to the given servers, and returns the address
// that it receives packets on.
func startSocket(t *testing.T, servers ...*net.UDPConn) (*Socket, netip.AddrPort) {
	t.Helper()
	queue, cleanup := logger.NewQueue(&bytes.Buffer{})
	t.Cleanup(cleanup)
	recorder := NewRecorder(&configurer.PlatformSettings{Log: configurer.Log{Format: "json"}}, queue)
	current := viewer.NewViewer()
	current.ApplyConfiguration(&viewer.Configuration{Version: 1, Routes: []viewer.Route{{
		Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []viewer.Share{{Service: "desk-sync", Weight: 1}},
	}}})
	list := &viewer.Servers{Revision: 1}
	for i, server := range servers {
		list.List = append(list.List, viewer.BackendServer{
			Name: string(rune('a' + i)), Token: uint32(i + 1), Service: "desk-sync", Slots: 3, State: parser.Active,
			Address: server.LocalAddr().(*net.UDPAddr).AddrPort(), FailureDomain: "dakar-1",
		})
	}
	current.ApplyServers(list, time.Now())
	random := rand.New(rand.NewPCG(1, 2))
	placer := placer.NewPlacer("dakar-1", estimator.NewEstimator("dakar-1", oneInstance, current.Current, neverFailing), neverFailing, random)
	examiner := examiner.NewExaminer(func(*viewer.BackendServer, examiner.Suspicion) {})
	created := steerer.NewSteerer(current.Current, func(time.Time) bool { return false }, placer, examiner, recorder)
	address := rehearser.FreeAddress()
	socket, cleanup, err := NewSocket(address, created, recorder)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	go socket.Run()
	return socket, address
}

func oneInstance() estimator.Instances { return estimator.Instances{Fleet: 1, Domain: 1} }

func neverFailing(*viewer.BackendServer, time.Time) bool { return false }

// opening returns the first packet of a flow to 198.18.0.1:443.
func opening() []byte {
	packet := make([]byte, 34)
	binary.BigEndian.PutUint16(packet[0:], 40001)
	copy(packet[2:], []byte{198, 18, 0, 1})
	copy(packet[6:], []byte{100, 64, 0, 7})
	binary.BigEndian.PutUint16(packet[10:], 443)
	packet[30] = 8
	return packet
}

func TestUnansweredOpeningIsRetriedWithoutFurtherPackets(t *testing.T) {
	first, second := listenLocally(t), listenLocally(t)
	socket, address := startSocket(t, first, second)
	_, err := first.WriteToUDPAddrPort(opening(), address)
	assert.NilError(t, err)
	socket.Wake() // must not end the wait for the retry
	for _, server := range []*net.UDPConn{first, second} {
		assert.NilError(t, server.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, _, err := server.ReadFromUDPAddrPort(make([]byte, 100))
		assert.NilError(t, err)
	}
}

func TestPacketsAreReadAfterALateWake(t *testing.T) {
	server := listenLocally(t)
	socket, address := startSocket(t, server)
	packet := opening()
	packet[flagsOffset] = flagACK // with an unknown token, so that nothing becomes due
	send := func() time.Time {
		before := time.Now()
		_, err := server.WriteToUDPAddrPort(packet, address)
		assert.NilError(t, err)
		return before
	}
	isRead := func(sentAt time.Time) poll.Check {
		return func(poll.LogT) poll.Result {
			if socket.LastPacket().After(sentAt) {
				return poll.Success()
			}
			return poll.Continue("the packet is not read")
		}
	}
	socket.woken.Store(true) // Wake, interrupted before it sets the deadline
	poll.WaitOn(t, isRead(send()))
	time.Sleep(20 * time.Millisecond)
	socket.setDeadline(deadlinePassed)
	time.Sleep(20 * time.Millisecond)
	poll.WaitOn(t, isRead(send()), poll.WithTimeout(2*time.Second))
}
