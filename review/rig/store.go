package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageLength   = 500                   // objects of a list in one answer
	storeLatency = 4 * time.Millisecond  // of an answer
	maxWatch     = 30 * time.Second      // that a watch waits
	pollInterval = 10 * time.Millisecond // between two looks of a watch
)

// metadata is what the store keeps of an object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta   metadata        `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
}

// store is the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
}

func newStore() *store { return &store{revision: 500, objects: map[string]map[string]object{}} }

// put writes an object as the operator, a backend server or another writer does.
func (store *store) put(kind, name, spec string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, object{Meta: metadata{Name: name}, Spec: json.RawMessage(spec)})
}

func (store *store) write(kind string, written object) object {
	store.revision++
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]object{}
	}
	written.Meta.Revision, written.Meta.Created = store.revision, store.revision
	if existing, ok := store.objects[kind][written.Meta.Name]; ok {
		written.Meta.Created = existing.Meta.Created
	}
	if written.Meta.Finalizers == nil {
		written.Meta.Finalizers = []string{}
	}
	store.objects[kind][written.Meta.Name] = written
	store.history = append(store.history, event{kind: kind, Object: written})
	return written
}

func (store *store) delete(kind, name string) (object, bool) {
	existing, ok := store.objects[kind][name]
	if !ok {
		return object{}, false
	}
	store.revision++
	existing.Meta.Revision = store.revision
	delete(store.objects[kind], name)
	store.history = append(store.history, event{kind: kind, Deleted: true, Object: existing})
	return existing, true
}

// ServeHTTP serves one call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	path, ok := strings.CutPrefix(request.URL.Path, "/-/objects/")
	if !ok {
		http.NotFound(writer, request)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	status, answer := store.call(request, kind, name, isStatus, body)
	content, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writer.Write(content)
}

func (store *store) call(request *http.Request, kind, name string, isStatus bool, body []byte) (int, any) {
	if request.Method == http.MethodGet && name == "" {
		if watch := request.FormValue("watch"); watch != "" {
			return store.watch(kind, watch, request.FormValue("wait_ms"))
		}
		return store.list(kind, request.FormValue("after"))
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var written object
	if len(body) > 0 && json.Unmarshal(body, &written) != nil {
		return http.StatusBadRequest, map[string]string{}
	}
	if request.Method == http.MethodPost {
		name = written.Meta.Name
	}
	existing, exists := store.objects[kind][name]
	expected := written.Meta.Revision
	if query := request.FormValue("revision"); query != "" {
		expected, _ = strconv.ParseUint(query, 10, 64)
	}
	switch {
	case request.Method == http.MethodPost && exists:
		return http.StatusConflict, existing
	case request.Method == http.MethodPost:
		return http.StatusOK, store.write(kind, written)
	case !exists:
		return http.StatusNotFound, map[string]string{}
	case request.Method == http.MethodGet:
		return http.StatusOK, existing
	case expected != 0 && expected != existing.Meta.Revision:
		return http.StatusConflict, existing
	case request.Method == http.MethodDelete:
		deleted, _ := store.delete(kind, name)
		return http.StatusOK, deleted
	case isStatus:
		existing.Status = written.Status
		return http.StatusOK, store.write(kind, existing)
	case string(existing.Spec) == string(written.Spec):
		return http.StatusOK, existing
	default:
		existing.Spec = written.Spec
		return http.StatusOK, store.write(kind, existing)
	}
}

func (store *store) list(kind, after string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var names []string
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageLength)] {
		items = append(items, store.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageLength, "current_rev": store.revision}
}

func (store *store) watch(kind, from, wait string) (int, any) {
	revision, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]string{}
	}
	millis, err := strconv.Atoi(wait)
	if err != nil {
		return http.StatusBadRequest, map[string]string{}
	}
	until := time.Now().Add(min(time.Duration(millis)*time.Millisecond, maxWatch))
	for {
		events, current := store.eventsAfter(kind, revision)
		if len(events) > 0 || !time.Now().Before(until) {
			return http.StatusOK, map[string]any{"events": events, "current_rev": current}
		}
		time.Sleep(min(pollInterval, time.Until(until)))
	}
}

func (store *store) eventsAfter(kind string, revision uint64) ([]event, uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	events := []event{}
	first, _ := slices.BinarySearchFunc(store.history, revision+1, func(event event, revision uint64) int {
		return int(event.Object.Meta.Revision) - int(revision)
	})
	for _, event := range store.history[first:] {
		if event.kind == kind {
			events = append(events, event)
		}
	}
	return events, store.revision
}
