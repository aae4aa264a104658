package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlatformFaults selects how the platform misbehaves.
type PlatformFaults struct {
	Down          bool          `json:"down"`
	Delay         time.Duration `json:"slow"`         // added to every call
	LostResponses int           `json:"lose_answers"` // number of writes that take effect but return status 502
}

// Platform simulates the platform's object API: objects with versions, conditional
// updates and watches.
type Platform struct {
	token string

	mutex   sync.Mutex
	objects map[string]platformObject
	changed chan struct{} // closed and replaced at every write and change of faults
	faults  PlatformFaults
	calls   map[string]int // by HTTP method
}

type platformObject struct {
	version uint64
	value   []byte
}

// NewPlatform returns a platform without objects; calls must carry the token.
func NewPlatform(token string) *Platform {
	return &Platform{token: token, objects: map[string]platformObject{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Handler serves the object API under /v1/objects, PUT /faults, which replaces the
// faults, and GET /calls, the number of calls by HTTP method.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", platform.withFaults(platform.get))
	mux.HandleFunc("PUT /v1/objects/{name}", platform.withFaults(platform.put))
	mux.HandleFunc("PUT /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults PlatformFaults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		platform.SetFaults(faults)
	})
	mux.HandleFunc("GET /calls", func(writer http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(writer).Encode(platform.Calls())
	})
	return mux
}

// SetFaults replaces the faults. If the platform goes down, pending watches end.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.faults = faults
	platform.notifyWatches()
}

// Calls returns the number of calls by HTTP method.
func (platform *Platform) Calls() map[string]int {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	calls := map[string]int{}
	for kind, count := range platform.calls {
		calls[kind] = count
	}
	return calls
}

func (platform *Platform) notifyWatches() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// withFaults wraps a handler: it counts the call, applies the faults and checks the
// token.
func (platform *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.mutex.Lock()
		faults := platform.faults
		platform.calls[request.Method]++
		platform.mutex.Unlock()
		time.Sleep(faults.Delay)
		if faults.Down {
			http.Error(writer, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if request.Header.Get("Authorization") != "Bearer "+platform.token {
			http.Error(writer, "token was rejected", http.StatusUnauthorized)
			return
		}
		next(writer, request)
	}
}

func (platform *Platform) get(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	wait, err := time.ParseDuration(request.FormValue("wait"))
	if err != nil {
		wait = 0
	}
	after, err := strconv.ParseUint(request.FormValue("after"), 10, 64)
	if err != nil {
		after = 0
	}
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	object, found := platform.awaitVersion(ctx, name, after)
	switch {
	case platform.isDown():
		http.Error(writer, "platform is down", http.StatusServiceUnavailable)
	case !found && wait > 0:
		writer.WriteHeader(http.StatusNotModified)
	case !found:
		http.Error(writer, "object does not exist", http.StatusNotFound)
	default:
		writer.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.version, 10)))
		writer.Write(object.value)
	}
}

func (platform *Platform) isDown() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.faults.Down
}

// awaitVersion waits until the version of the object is greater than after, and returns
// the object and true. It returns false if ctx ends or the platform is down first.
func (platform *Platform) awaitVersion(ctx context.Context, name string, after uint64) (platformObject, bool) {
	for {
		platform.mutex.Lock()
		object, changed, down := platform.objects[name], platform.changed, platform.faults.Down
		platform.mutex.Unlock()
		if object.version > after {
			return object, true
		}
		if down {
			return object, false
		}
		select {
		case <-ctx.Done():
			return object, false
		case <-changed:
		}
	}
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, 1<<20))
	if err != nil {
		http.Error(writer, "object is too large", http.StatusRequestEntityTooLarge)
		return
	}
	name := request.PathValue("name")
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	object := platform.objects[name]
	if !preconditionHolds(request.Header, object.version) {
		http.Error(writer, "object has another version", http.StatusPreconditionFailed)
		return
	}
	object = platformObject{version: object.version + 1, value: value}
	platform.objects[name] = object
	platform.notifyWatches()
	if platform.faults.LostResponses > 0 {
		platform.faults.LostResponses--
		http.Error(writer, "response was lost", http.StatusBadGateway)
		return
	}
	writer.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.version, 10)))
}

// preconditionHolds evaluates If-None-Match and If-Match against the current version,
// which is 0 for an object that does not exist.
func preconditionHolds(header http.Header, version uint64) bool {
	if header.Get("If-None-Match") == "*" {
		return version == 0
	}
	condition := header.Get("If-Match")
	return condition == "" || strings.Trim(condition, `"`) == strconv.FormatUint(version, 10)
}
