package storer

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxObjectSize    = 1 << 20         // bytes
	watchGracePeriod = 5 * time.Second // time for the response after a watch has ended
)

// Object is a stored value with its version, which increases with every write.
type Object struct {
	Version uint64
	Value   []byte
}

// Storer is a client of one platform that implements this project's object API.
type Storer struct {
	baseURL string
	token   string
	timeout time.Duration
	client  *Client
}

// NewStorer returns a Storer for the platform at baseURL, and a function that closes
// its idle connections. The timeout applies to each Get and Put.
func NewStorer(baseURL, token string, timeout time.Duration) (*Storer, func()) {
	client, cleanup := NewClient()
	return &Storer{baseURL: strings.TrimSuffix(baseURL, "/"), token: token, timeout: timeout, client: client}, cleanup
}

// Get returns an object, or ErrNotFound if it does not exist.
func (storer *Storer) Get(ctx context.Context, name string) (Object, error) {
	return storer.request(ctx, name, Request{Method: http.MethodGet, Timeout: storer.timeout})
}

// Watch waits for a version of an object that is higher than after and returns it,
// or returns ErrNotFound if there is none within maxWait.
func (storer *Storer) Watch(ctx context.Context, name string, after uint64, maxWait time.Duration) (Object, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {maxWait.String()}}
	return storer.request(ctx, name, Request{Method: http.MethodGet, Query: query, Timeout: maxWait + watchGracePeriod})
}

// Put writes an object if its current version equals version, or if it does not
// exist and version is 0, and returns the new version. It returns ErrConflict if the
// condition does not hold, and ErrTooLarge if value exceeds 1 MiB; nothing is written then.
func (storer *Storer) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if len(value) > maxObjectSize {
		return 0, errors.Wrapf(ErrTooLarge, "object %q of %d bytes", name, len(value))
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	object, err := storer.request(ctx, name, Request{Method: http.MethodPut, Header: header, Body: value, Timeout: storer.timeout})
	return object.Version, err
}

func (storer *Storer) request(ctx context.Context, name string, request Request) (Object, error) {
	request.URL = storer.baseURL + "/v1/objects/" + name
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Authorization", "Bearer "+storer.token)
	response, err := storer.client.Do(ctx, request)
	if err != nil {
		return Object{}, err
	}
	entityTag := response.Header.Get("ETag")
	version, err := strconv.ParseUint(strings.Trim(entityTag, `"`), 10, 64)
	if err != nil {
		return Object{}, &UnavailableError{Request: request.description(), Cause: errors.Errorf("entity tag %q is not a version number", entityTag)}
	}
	return Object{Version: version, Value: response.Body}, nil
}
