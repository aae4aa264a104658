package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect
	// unresponsive connections. A connection is closed after keepAliveProbes
	// unanswered probes.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	idleTimeout       = time.Minute
	maxResponseSize   = 8 << 20 // bytes; a longer body is an error
)

// Errors that Do wraps, for use with errors.Is.
var (
	ErrNotFound = errors.New("object does not exist")
	ErrConflict = errors.New("object has another version")
	ErrTooLarge = errors.New("object exceeds the maximum size on the platform")
	ErrGone     = errors.New("requested history is no longer available")
)

// UnavailableError means that a request got no usable response; a write may
// nevertheless have been applied.
type UnavailableError struct {
	Request string // method and URL
	Cause   error
}

// Error returns a message with the request and the cause.
func (unavailableError *UnavailableError) Error() string {
	return fmt.Sprintf("platform is unavailable for %s: %v", unavailableError.Request, unavailableError.Cause)
}

// Unwrap returns the cause.
func (unavailableError *UnavailableError) Unwrap() error { return unavailableError.Cause }

// Client sends HTTP requests and maps status codes to errors. URLs and the contents
// of bodies are up to the code that uses it.
type Client struct {
	httpClient *http.Client
}

// Request describes one HTTP request. Timeout covers the whole exchange, including
// the response body.
type Request struct {
	Method  string
	URL     string
	Query   url.Values
	Header  http.Header
	Body    []byte
	Timeout time.Duration
}

func (request *Request) description() string { return request.Method + " " + request.URL }

// Response holds the header and body of a response.
type Response struct {
	Header http.Header
	Body   []byte
}

// NewClient returns a Client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	return &Client{httpClient: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Do sends a request. Its error wraps ErrNotFound, ErrConflict, ErrTooLarge or
// ErrGone, or is an *UnavailableError, unless the request itself is invalid. On
// ErrConflict, the Response is valid too.
func (client *Client) Do(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, errors.Wrap(err, "build request")
	}
	if request.Header != nil {
		httpRequest.Header = request.Header
	}
	httpRequest.URL.RawQuery = request.Query.Encode()
	httpResponse, err := client.httpClient.Do(httpRequest)
	if err != nil {
		return Response{}, &UnavailableError{Request: request.description(), Cause: err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseSize+1))
	if err != nil {
		return Response{}, &UnavailableError{Request: request.description(), Cause: err}
	}
	if len(body) > maxResponseSize {
		return Response{}, &UnavailableError{Request: request.description(), Cause: errors.Errorf("response is longer than %d bytes", maxResponseSize)}
	}
	return Response{Header: httpResponse.Header, Body: body}, request.checkStatus(httpResponse)
}

// checkStatus maps a status code to an error. Status 304 is ErrNotFound: a watch
// found no newer version.
func (request *Request) checkStatus(httpResponse *http.Response) error {
	switch httpResponse.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusNotFound, http.StatusNotModified:
		return errors.Wrap(ErrNotFound, request.description())
	case http.StatusConflict, http.StatusPreconditionFailed:
		return errors.Wrap(ErrConflict, request.description())
	case http.StatusGone:
		return errors.Wrap(ErrGone, request.description())
	case http.StatusRequestEntityTooLarge:
		return errors.Wrap(ErrTooLarge, request.description())
	default:
		return &UnavailableError{Request: request.description(), Cause: errors.Errorf("status %s", httpResponse.Status)}
	}
}
