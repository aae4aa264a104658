package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of objects in one answer to a list.
const pageSize = 500

// store is the platform's metadata store of PROTOCOL.md, as far as it is called.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []storedEvent
	address  string
}

type objectMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type storedObject struct {
	Meta objectMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type storedEvent struct {
	kind    string
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

func newStore() (*store, error) {
	created := &store{revision: 1, objects: map[string]map[string]storedObject{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created.address = listener.Addr().String()
	go http.Serve(listener, created)
	return created, nil
}

// put writes an object; an unchanged one keeps its revision.
func (store *store) put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, storedObject{Meta: objectMeta{Name: name}, Spec: content})
}

func (store *store) write(kind string, object storedObject) storedObject {
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]storedObject{}
	}
	if before, ok := store.objects[kind][object.Meta.Name]; ok && bytes.Equal(before.Spec, object.Spec) {
		return before
	}
	store.revision++
	object.Meta.Revision = store.revision
	store.objects[kind][object.Meta.Name] = object
	store.history = append(store.history, storedEvent{kind: kind, Object: object})
	return object
}

func (store *store) remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[kind][name]
	if !ok {
		return
	}
	store.revision++
	object.Meta.Revision = store.revision
	delete(store.objects[kind], name)
	store.history = append(store.history, storedEvent{kind: kind, Object: object, Deleted: true})
}

// ServeHTTP answers one call after 4 ms.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(4 * time.Millisecond)
	path, ok := strings.CutPrefix(request.URL.Path, "/-/objects/")
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	store.mutex.Lock()
	status, response := store.serve(request, kind, name)
	store.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(response)
}

func (store *store) serve(request *http.Request, kind, name string) (int, any) {
	query := request.URL.Query()
	object, exists := store.objects[kind][name]
	switch {
	case request.Method == http.MethodGet && query.Has("watch"):
		after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		return http.StatusOK, store.since(kind, after)
	case request.Method == http.MethodGet && name == "":
		return http.StatusOK, store.list(kind, query.Get("after"))
	case request.Method == http.MethodPost:
		var created storedObject
		if json.NewDecoder(request.Body).Decode(&created) != nil {
			return http.StatusBadRequest, nil
		}
		if existing, ok := store.objects[kind][created.Meta.Name]; ok {
			return http.StatusConflict, existing
		}
		return http.StatusOK, store.write(kind, created)
	case !exists:
		return http.StatusNotFound, nil
	case request.Method == http.MethodGet:
		return http.StatusOK, object
	case request.Method == http.MethodPut:
		var written storedObject
		if json.NewDecoder(request.Body).Decode(&written) != nil {
			return http.StatusBadRequest, nil
		}
		if written.Meta.Revision != 0 && written.Meta.Revision != object.Meta.Revision {
			return http.StatusConflict, object
		}
		written.Meta.Name = name
		return http.StatusOK, store.write(kind, written)
	default:
		return http.StatusMethodNotAllowed, nil
	}
}

func (store *store) since(kind string, after uint64) any {
	events := []storedEvent{}
	for _, event := range store.history {
		if event.kind == kind && event.Object.Meta.Revision > after {
			events = append(events, event)
		}
	}
	return map[string]any{"events": events, "current_rev": store.revision}
}

func (store *store) list(kind, after string) any {
	items, hasMore := []storedObject{}, false
	names := []string{}
	for name := range store.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			hasMore = true
			break
		}
		items = append(items, store.objects[kind][name])
	}
	return map[string]any{"items": items, "has_more": hasMore, "current_rev": store.revision}
}
