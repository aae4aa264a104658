package storer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/internal/standin"
)

func startStorer(t *testing.T) (*standin.Platform, *Storer) {
	t.Helper()
	platform := standin.NewPlatform("secret")
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	store, cleanup := NewStorer(server.URL, "secret", 200*time.Millisecond)
	t.Cleanup(cleanup)
	return platform, store
}

func TestPutIsConditional(t *testing.T) {
	_, store := startStorer(t)
	ctx := context.Background()
	_, err := store.Get(ctx, "sheet")
	assert.Assert(t, errors.Is(err, ErrNotFound))
	first, err := store.Put(ctx, "sheet", 0, []byte("a"))
	assert.NilError(t, err)
	_, err = store.Put(ctx, "sheet", 0, []byte("b"))
	assert.Assert(t, errors.Is(err, ErrConflict))
	second, err := store.Put(ctx, "sheet", first, []byte("c"))
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	_, err = store.Put(ctx, "sheet", first, []byte("d"))
	assert.Assert(t, errors.Is(err, ErrConflict))
	object, err := store.Get(ctx, "sheet")
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "c")
}

func TestPutReturnsUnavailableErrorOnFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  standin.PlatformFaults
		written bool // the write was applied although Put failed
	}{
		{"platform is down", standin.PlatformFaults{Down: true}, false},
		{"response lost after the write", standin.PlatformFaults{LostResponses: 1}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			platform, store := startStorer(t)
			platform.SetFaults(c.faults)
			_, err := store.Put(context.Background(), "sheet", 0, []byte("a"))
			var unavailableError *UnavailableError
			assert.Assert(t, errors.As(err, &unavailableError))
			platform.SetFaults(standin.PlatformFaults{})
			_, err = store.Get(context.Background(), "sheet")
			assert.Equal(t, err == nil, c.written)
		})
	}
}

func TestTimeoutIsUnavailableError(t *testing.T) {
	platform, store := startStorer(t)
	platform.SetFaults(standin.PlatformFaults{Delay: time.Second})
	_, err := store.Get(context.Background(), "sheet")
	var unavailableError *UnavailableError
	assert.Assert(t, errors.As(err, &unavailableError))
}

func TestWrongTokenIsReportedWithStatus(t *testing.T) {
	platform := standin.NewPlatform("other")
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	store, cleanup := NewStorer(server.URL, "secret", time.Second)
	defer cleanup()
	_, err := store.Get(context.Background(), "sheet")
	assert.ErrorContains(t, err, "401")
}

func TestPutRejectsTooLargeValueWithoutRequest(t *testing.T) {
	platform, store := startStorer(t)
	_, err := store.Put(context.Background(), "sheet", 0, make([]byte, maxObjectSize+1))
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	assert.Equal(t, platform.Calls()["PUT"], 0)
}

func TestWatchReturnsTheNextVersion(t *testing.T) {
	_, store := startStorer(t)
	ctx := context.Background()
	version, err := store.Put(ctx, "sheet", 0, []byte("a"))
	assert.NilError(t, err)
	_, err = store.Watch(ctx, "sheet", version, 10*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrNotFound))
	watched := make(chan Object, 1)
	go func() {
		object, err := store.Watch(ctx, "sheet", version, 20*time.Second)
		if err == nil {
			watched <- object
		}
		close(watched)
	}()
	_, err = store.Put(ctx, "sheet", version, []byte("b"))
	assert.NilError(t, err)
	assert.Equal(t, string((<-watched).Value), "b")
}

func TestTooLongResponseIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Write(make([]byte, maxResponseSize+1))
	}))
	defer server.Close()
	client, cleanup := NewClient()
	defer cleanup()
	_, err := client.Do(t.Context(), Request{Method: http.MethodGet, URL: server.URL, Timeout: 10 * time.Second})
	assert.ErrorContains(t, err, "longer than")
}
