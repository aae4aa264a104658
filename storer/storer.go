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
	maxObject   = 1 << 20 // bytes
	watchMargin = 5 * time.Second
)

// Object is a value with its version; versions of one object grow.
type Object struct {
	Version uint64
	Value   []byte
}

// Storer talks to one platform that speaks the object API of the product itself.
type Storer struct {
	base    string
	token   string
	timeout time.Duration
	client  *Client
}

// NewStorer returns a Storer and a function that closes its connections.
func NewStorer(base, token string, timeout time.Duration) (*Storer, func()) {
	client, cleanup := NewClient()
	return &Storer{base: strings.TrimSuffix(base, "/"), token: token, timeout: timeout, client: client}, cleanup
}

// Get reads an object; it returns ErrNotFound when there is none.
func (storer *Storer) Get(ctx context.Context, name string) (Object, error) {
	return storer.call(ctx, name, Request{Method: http.MethodGet, Timeout: storer.timeout})
}

// Watch waits up to wait for a version above after, and returns ErrNotFound when none came.
func (storer *Storer) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Object, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return storer.call(ctx, name, Request{Method: http.MethodGet, Query: query, Timeout: wait + watchMargin})
}

// Put writes an object if its version is still version (0: if it does not exist)
// and returns the new version. ErrConflict means that nothing was written.
func (storer *Storer) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if len(value) > maxObject {
		return 0, errors.Wrapf(ErrTooLarge, "object %q of %d bytes", name, len(value))
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	object, err := storer.call(ctx, name, Request{Method: http.MethodPut, Header: header, Body: value, Timeout: storer.timeout})
	return object.Version, err
}

func (storer *Storer) call(ctx context.Context, name string, call Request) (Object, error) {
	call.URL = storer.base + "/v1/objects/" + name
	if call.Header == nil {
		call.Header = http.Header{}
	}
	call.Header.Set("Authorization", "Bearer "+storer.token)
	answer, err := storer.client.Do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	tag := answer.Header.Get("ETag")
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return Object{}, &UnavailableError{Request: call.name(), Cause: errors.Errorf("entity tag %q is not a version", tag)}
	}
	return Object{Version: version, Value: answer.Body}, nil
}
