package loader

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/storer"
)

// fakeStore is an in-memory object store whose calls can be made to fail.
type fakeStore struct {
	objects     map[string]storer.Object
	callsToFail int
	loseAnswer  bool
	beforePut   func()
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]storer.Object{}} }

func (fakeStore *fakeStore) Get(_ context.Context, name string) (storer.Object, error) {
	if fakeStore.callsToFail > 0 {
		fakeStore.callsToFail--
		return storer.Object{}, &storer.UnavailableError{Request: "GET", Cause: errors.New("down")}
	}
	object, ok := fakeStore.objects[name]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return object, nil
}

func (fakeStore *fakeStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	if before := fakeStore.beforePut; before != nil {
		fakeStore.beforePut = nil
		before()
	}
	if fakeStore.callsToFail > 0 {
		fakeStore.callsToFail--
		return 0, &storer.UnavailableError{Request: "PUT", Cause: errors.New("down")}
	}
	if fakeStore.objects[name].Version != version {
		return 0, storer.ErrConflict
	}
	fakeStore.objects[name] = storer.Object{Version: version + 1, Value: value}
	if fakeStore.loseAnswer {
		fakeStore.loseAnswer = false
		return 0, &storer.UnavailableError{Request: "PUT", Cause: errors.New("answer lost")}
	}
	return version + 1, nil
}

func (fakeStore *fakeStore) store(t *testing.T, name string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	assert.NilError(t, err)
	fakeStore.objects[name] = storer.Object{Version: fakeStore.objects[name].Version + 1, Value: content}
}

// sheet returns a sheet with one backend server per service, at the given endpoints by service.
func sheet(endpoints map[string]string) *parser.Sheet {
	result := &parser.Sheet{FailureDomains: []string{"a"}}
	for _, name := range []string{"desk-sync", "report-desk"} {
		endpoint, ok := endpoints[name]
		if !ok {
			continue
		}
		result.Services = append(result.Services, parser.Service{Name: name, BackendServers: []parser.BackendServer{
			{Name: name + "-1", Address: netip.MustParseAddrPort(endpoint), Weight: 1, State: parser.Active},
		}})
	}
	return result
}

func TestLoadSheetWritesOnceDespiteFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeStore)
	}{
		{"none", func(*fakeStore) {}},
		{"platform down for three calls", func(store *fakeStore) { store.callsToFail = 3 }},
		{"answer lost after the write", func(store *fakeStore) { store.loseAnswer = true }},
		{"down at the write, then answer lost", func(store *fakeStore) {
			store.beforePut = func() { store.callsToFail = 2 }
			store.loseAnswer = true
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				c.fault(store)
				version, err := NewLoader(store, "awa").LoadSheet(context.Background(), sheet(map[string]string{"desk-sync": "10.0.0.1:1"}))
				assert.NilError(t, err)
				assert.Equal(t, version, uint64(1))
				assert.Equal(t, store.objects[SheetObject].Version, uint64(1), "the sheet was written once")
			})
		})
	}
}

func TestLoadSheetReportsConcurrentLoad(t *testing.T) {
	store := newFakeStore()
	theirs := sheet(map[string]string{"desk-sync": "10.0.0.1:1"})
	ours := sheet(map[string]string{"desk-sync": "10.0.0.2:1"})
	store.beforePut = func() {
		_, err := NewLoader(store, "awa").LoadSheet(context.Background(), theirs)
		assert.NilError(t, err)
	}
	_, err := NewLoader(store, "marlon").LoadSheet(context.Background(), ours)
	var conflictError *ConflictError
	assert.Assert(t, errors.As(err, &conflictError))
	assert.Equal(t, conflictError.LoadedBy, "awa")
	assert.Equal(t, conflictError.Version, uint64(1))
	assert.ErrorContains(t, err, "backend server desk-sync-1 of desk-sync: loaded 10.0.0.1:1 weight 1 active, yours 10.0.0.2:1 weight 1 active")
}

func TestEndpointMovesOnlyAfterSheetWithoutIt(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	loader := NewLoader(store, "awa")
	load := func(endpoints map[string]string) error {
		_, err := loader.LoadSheet(ctx, sheet(endpoints))
		return err
	}
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.0.1:1", "report-desk": "10.0.0.2:1"}))
	err := load(map[string]string{"desk-sync": "10.0.0.3:1", "report-desk": "10.0.0.1:1"})
	assert.ErrorContains(t, err, `endpoint 10.0.0.1:1 serves service "desk-sync" in version 1`)
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.0.3:1", "report-desk": "10.0.0.2:1"}))

	moved := map[string]string{"desk-sync": "10.0.0.3:1", "report-desk": "10.0.0.1:1"}
	store.store(t, InstancesObject, InstanceList{Instances: []decider.Instance{{Name: "lb-1", FailureDomain: "a"}}})
	store.store(t, StatusObject("a"), DomainStatus{Instances: []InstanceStatus{{Name: "lb-1", Alive: true, InForce: 1}}})
	assert.ErrorContains(t, load(moved), "wait until version 2 is in force everywhere")
	store.store(t, StatusObject("a"), DomainStatus{Instances: []InstanceStatus{{Name: "lb-1", Alive: true, InForce: 2}}})
	assert.NilError(t, load(moved))
}

func TestProgressListsMissingInstances(t *testing.T) {
	store := newFakeStore()
	store.store(t, InstancesObject, InstanceList{Instances: []decider.Instance{
		{Name: "lb-1", FailureDomain: "a"}, {Name: "lb-2", FailureDomain: "a"}, {Name: "lb-3", FailureDomain: "b"}, {Name: "lb-4", FailureDomain: "a"},
	}})
	store.store(t, StatusObject("a"), DomainStatus{Instances: []InstanceStatus{
		{Name: "lb-1", Alive: true, InForce: 4}, {Name: "lb-2", Alive: false, InForce: 4}, {Name: "lb-4", Alive: true, InForce: 3},
	}})
	progress, err := NewLoader(store, "awa").Progress(context.Background(), 4)
	assert.NilError(t, err)
	assert.Equal(t, progress.String(), "version 4 in force on 1 of 4 instances; missing: lb-2 (unreachable), lb-3 (no status), lb-4 (at version 3)")
}

func TestWaitReturnsLastProgressAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.store(t, InstancesObject, InstanceList{Instances: []decider.Instance{{Name: "lb-1", FailureDomain: "a"}}})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		progress, err := NewLoader(store, "awa").Wait(ctx, 1)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
		assert.Assert(t, strings.Contains(progress.String(), "missing: lb-1"))
	})
}

// Guards against a server whose flows instances send to an earlier one with the same ID, while those that
// have started since send them to the right one.
func TestServerWithTheIDOfAnEarlierOneIsNotLoaded(t *testing.T) {
	loader := NewLoader(newFakeStore(), "awa")
	load := func(endpoints map[string]string) error {
		_, err := loader.LoadSheet(context.Background(), sheet(endpoints))
		return err
	}
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.0.1:1", "report-desk": "10.0.87.123:6081"}))
	const want = `endpoint 10.0.245.123:6081 would have the same number as 10.0.87.123:6081 of service "report-desk" had before: use another port`
	shared := map[string]string{"desk-sync": "10.0.245.123:6081", "report-desk": "10.0.0.2:1"}
	assert.ErrorContains(t, load(shared), want)
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.0.1:1", "report-desk": "10.0.0.2:1"}))
	assert.ErrorContains(t, load(shared), want, "also after it has left the sheet")
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.245.123:6082", "report-desk": "10.0.0.2:1"}))
	assert.NilError(t, load(map[string]string{"desk-sync": "10.0.0.1:1", "report-desk": "10.0.87.123:6081"}), "the earlier one itself may return")
}
