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
)

const (
	viewPath      = "/view"
	configuration = "configuration" // query: the version that the asker has
	revision      = "revision"      // query: of the backend servers that the asker has
	fetchTimeout  = time.Second
	maxView       = 8 << 20 // bytes
)

// Network carries messages between instances: heartbeats over UDP, views over HTTP.
type Network struct {
	connection *net.UDPConn
	client     *http.Client
	recorder   *Recorder
}

// NewNetwork binds address for heartbeats; the returned function closes it.
func NewNetwork(address netip.AddrPort, recorder *Recorder) (*Network, func(), error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for instances on %s", address)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: fetchTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}
	network := &Network{connection: connection, client: &http.Client{Transport: transport, Timeout: fetchTimeout}, recorder: recorder}
	cleanup := func() {
		connection.Close()
		transport.CloseIdleConnections()
	}
	return network, cleanup, nil
}

// Run hands every datagram to receive until the socket is closed.
func (network *Network) Run(receive func(content []byte)) {
	buffer := make([]byte, datagramSize)
	for {
		count, _, err := network.connection.ReadFromUDPAddrPort(buffer)
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

// Send sends a datagram; one that cannot be sent is as good as lost on the way.
func (network *Network) Send(to netip.AddrPort, content []byte) {
	if _, err := network.connection.WriteToUDPAddrPort(content, to); err != nil {
		network.recorder.SocketFailed("heartbeats", err)
	}
}

// Fetch takes the view of the instance at control, as far as it is newer than what this one has.
func (network *Network) Fetch(ctx context.Context, control netip.AddrPort, version, known uint64) ([]byte, error) {
	query := url.Values{configuration: {strconv.FormatUint(version, 10)}, revision: {strconv.FormatUint(known, 10)}}
	address := "http://" + control.String() + viewPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := network.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch view")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetch view: status %s", response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxView))
	if err != nil {
		return nil, errors.Wrap(err, "fetch view")
	}
	return content, nil
}
