package director

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/viewer"
)

const (
	viewPath               = "/view"         // requested at the control address of an instance
	configurationParameter = "configuration" // query parameter: version of the configuration that the requester has
	revisionParameter      = "revision"      // query parameter: revision of the backend servers that the requester has
	eraParameter           = "era"           // query parameter: era of that revision; not sent by older programs, and ignored by them
	fetchTimeout           = time.Second
	maxViewSize            = 8 << 20 // bytes
)

// Network exchanges messages with other instances: heartbeats over UDP, views over HTTP.
type Network struct {
	connection *net.UDPConn
	reader     *datagramReader
	client     *http.Client
	recorder   *Recorder
}

// NewNetwork listens on address for heartbeats; the returned function closes the socket.
func NewNetwork(address netip.AddrPort, recorder *Recorder) (*Network, func(), error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for instances on %s", address)
	}
	reader, err := newDatagramReader(connection)
	if err != nil {
		connection.Close()
		return nil, nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: fetchTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}
	network := &Network{connection: connection, reader: reader, client: &http.Client{Transport: transport, Timeout: fetchTimeout}, recorder: recorder}
	cleanup := func() {
		connection.Close()
		transport.CloseIdleConnections()
	}
	return network, cleanup, nil
}

// Run passes every received datagram to receive until the socket is closed;
// content is valid only during the call.
func (network *Network) Run(receive func(content []byte)) {
	buffer := make([]byte, datagramBufferSize)
	for {
		count, err := network.reader.read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			network.recorder.SocketFailed("heartbeats", err)
			continue
		}
		receive(buffer[:count])
	}
}

// Drained returns the time before which every datagram that arrived has been passed to receive.
func (network *Network) Drained() time.Time { return network.reader.drainedAt() }

// Send sends a datagram to the peer address of another instance. An error is passed
// to the recorder but not returned: heartbeats tolerate lost datagrams.
func (network *Network) Send(to netip.AddrPort, content []byte) {
	if _, err := network.connection.WriteToUDPAddrPort(content, to); err != nil {
		network.recorder.SocketFailed("heartbeats", err)
	}
}

// Fetch requests the view of the instance with the given control address and returns
// the encoded snapshot, which has only what is newer than configurationVersion and
// serversRevision.
func (network *Network) Fetch(ctx context.Context, control netip.AddrPort, configurationVersion uint64, serversRevision viewer.Revision) ([]byte, error) {
	query := url.Values{
		configurationParameter: {strconv.FormatUint(configurationVersion, 10)},
		revisionParameter:      {strconv.FormatUint(serversRevision.Number, 10)},
		eraParameter:           {strconv.FormatUint(serversRevision.Era, 10)},
	}
	address := "http://" + control.String() + viewPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request for a view")
	}
	response, err := network.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "request view")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("request view: status %s", response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxViewSize))
	if err != nil {
		return nil, errors.Wrap(err, "read view")
	}
	return content, nil
}
