package messenger

import (
	"crypto/tls"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/issuer"
)

// waitTimeout is how long a test waits for a state; no test checks how fast it is reached.
const waitTimeout = 20 * time.Second

type received struct {
	from    string
	message decider.Message
}

// inbox stores received messages, up to its capacity.
type inbox chan received

func (inbox inbox) Receive(from string, message decider.Message) {
	select {
	case inbox <- received{from, message}:
	default:
	}
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer socket.Close()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func newAuthority(t *testing.T) issuer.KeyPair {
	t.Helper()
	authority, err := issuer.NewAuthority(time.Now())
	assert.NilError(t, err)
	return authority
}

// newTLSConfig returns the TLS configuration of an instance with a certificate of the authority.
func newTLSConfig(t *testing.T, authority issuer.KeyPair, name string) *tls.Config {
	t.Helper()
	directory := t.TempDir()
	pair, err := authority.Issue(name, time.Now())
	assert.NilError(t, err)
	assert.NilError(t, authority.Write(directory, issuer.AuthorityName))
	assert.NilError(t, pair.Write(directory, name))
	file := func(name string) string { return filepath.Join(directory, name) }
	config, err := issuer.LoadTLSConfig(file("ca.crt"), file(name+".crt"), file(name+".key"))
	assert.NilError(t, err)
	return config
}

// start runs a messenger and returns it with its instance and its inbox.
func start(t *testing.T, authority issuer.KeyPair, name string) (*Messenger, decider.Instance, inbox) {
	t.Helper()
	messages := make(inbox, 100)
	address := freeAddress(t)
	messenger, cleanup, err := NewMessenger(address, newTLSConfig(t, authority, name), messages)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return messenger, decider.Instance{Name: name, Peer: address}, messages
}

// sendUntilReceived repeats a message until a message is received, since messages may be lost.
func sendUntilReceived(t *testing.T, messenger *Messenger, to decider.Instance, inbox inbox, message decider.Message) received {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		assert.NilError(t, messenger.Send(to, message))
		select {
		case got := <-inbox:
			return got
		case <-deadline:
			t.Fatal("no message received")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestReceiverGetsCertificateName(t *testing.T) {
	authority := newAuthority(t)
	first, _, _ := start(t, authority, "lb-1")
	_, second, inbox := start(t, authority, "lb-2")
	message := decider.Message{Heartbeat: &decider.Heartbeat{Incarnation: 7, SheetVersion: 3}, Pins: []byte("0123456789ab")}
	got := sendUntilReceived(t, first, second, inbox, message)
	assert.Equal(t, got.from, "lb-1")
	assert.DeepEqual(t, got.message, message)
}

func TestDialFailsWithAnotherAuthority(t *testing.T) {
	stranger, _, _ := start(t, newAuthority(t), "lb-1")
	_, second, inbox := start(t, newAuthority(t), "lb-2")
	deadline := time.Now().Add(waitTimeout)
	for stranger.Stats().DialFailures.Load() < 2 && time.Now().Before(deadline) {
		assert.NilError(t, stranger.Send(second, decider.Message{Heartbeat: &decider.Heartbeat{}}))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, stranger.Stats().DialFailures.Load() >= 2)
	assert.Equal(t, len(inbox), 0)
}

func TestDialFailsWhenCertificateNameDiffers(t *testing.T) {
	authority := newAuthority(t)
	first, _, _ := start(t, authority, "lb-1")
	_, second, inbox := start(t, authority, "lb-2")
	second.Name = "lb-3"
	deadline := time.Now().Add(waitTimeout)
	for first.Stats().DialFailures.Load() < 2 && time.Now().Before(deadline) {
		assert.NilError(t, first.Send(second, decider.Message{Heartbeat: &decider.Heartbeat{}}))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, first.Stats().DialFailures.Load() >= 2)
	assert.Equal(t, len(inbox), 0)
}

func TestFullQueueIsReportedAndCounted(t *testing.T) {
	first, _, _ := start(t, newAuthority(t), "lb-1")
	nobody := decider.Instance{Name: "lb-9", Peer: freeAddress(t)}
	var err error
	for range 20 * queueLength {
		if err = first.Send(nobody, decider.Message{Pins: make([]byte, 12)}); err != nil {
			break
		}
	}
	assert.ErrorContains(t, err, `queue to instance "lb-9" is full`)
	assert.Assert(t, first.Stats().QueueOverflows.Load() > 0)
}
