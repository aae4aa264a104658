package balancer

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/loader"
	"github.com/pimentowind/pimentowind/storer"
)

// fakeStore is an in-memory store; its watches wait in virtual time.
type fakeStore struct {
	mutex      sync.Mutex
	objects    map[string]storer.Object
	down       bool
	loseAnswer bool
	calls      int
}

func (fakeStore *fakeStore) read(name string, after uint64) (storer.Object, error) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.calls++
	if fakeStore.down {
		return storer.Object{}, &storer.UnavailableError{Request: "GET", Cause: errors.New("down")}
	}
	if object := fakeStore.objects[name]; object.Version > after {
		return object, nil
	}
	return storer.Object{}, storer.ErrNotFound
}

func (fakeStore *fakeStore) Get(_ context.Context, name string) (storer.Object, error) {
	return fakeStore.read(name, 0)
}

func (fakeStore *fakeStore) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (storer.Object, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		object, err := fakeStore.read(name, after)
		if !errors.Is(err, storer.ErrNotFound) || time.Now().After(deadline) || ctx.Err() != nil {
			return object, err
		}
	}
}

func (fakeStore *fakeStore) Put(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.calls++
	if fakeStore.down {
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

func (fakeStore *fakeStore) update(change func(*fakeStore)) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	change(fakeStore)
}

const sheetJSON = `{"failure_domains": ["a"], "services": [{"name": "counter", "address": "10.1.0.1:443", "protocol": "tcp",
 "backend_servers": [{"name": "s-1", "address": "10.2.0.1:6081", "weight": 1, "failure_domain": "a", "state": "active", "connections": 10}]}]}`

// runSynchronizer runs a synchronizer and its engine in virtual time and calls check beside them.
func runSynchronizer(t *testing.T, store *fakeStore, check func(*Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := &configurer.Settings{
			Instance: "a1", FailureDomain: "a", MaxFlows: 100,
			TunnelAddress: netip.MustParseAddrPort("127.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"),
		}
		engine := NewEngine(settings, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { NewSynchronizer(engine, store, settings, logr.Discard()).Run(ctx) })
		group.Go(func() {
			for ctx.Err() == nil {
				engine.Tick(time.Now())
				time.Sleep(20 * time.Millisecond)
			}
		})
		check(engine)
		cancel()
		group.Wait()
	})
}

func TestSynchronizerAppliesSheetAndWritesStatus(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeStore)
	}{
		{"platform up", func(*fakeStore) {}},
		{"platform down for 20 seconds", func(store *fakeStore) { store.down = true }},
		{"answer to the status write lost", func(store *fakeStore) { store.loseAnswer = true }},
		{"status already written by another instance", func(store *fakeStore) {
			store.objects[loader.StatusObject("a")] = storer.Object{Version: 7, Value: []byte("{}")}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{objects: map[string]storer.Object{loader.SheetObject: {Version: 3, Value: []byte(sheetJSON)}}}
			c.fault(store)
			runSynchronizer(t, store, func(engine *Engine) {
				time.Sleep(20 * time.Second)
				store.update(func(store *fakeStore) { store.down = false })
				time.Sleep(20 * time.Second)
				assert.Equal(t, engine.Status().InForce, uint64(3))
				object, err := store.read(loader.StatusObject("a"), 0)
				assert.NilError(t, err)
				var status loader.DomainStatus
				assert.NilError(t, json.Unmarshal(object.Value, &status))
				assert.DeepEqual(t, status.Instances, []loader.InstanceStatus{{Name: "a1", Alive: true, InForce: 3}})
			})
		})
	}
}

func TestBackOffLimitsStoreCallsDuringOutage(t *testing.T) {
	store := &fakeStore{objects: map[string]storer.Object{}, down: true}
	runSynchronizer(t, store, func(*Engine) {
		time.Sleep(10 * time.Minute)
		store.update(func(store *fakeStore) {
			// Three loops, each backing off to a maximum of 5 s: together at most one call per second.
			assert.Assert(t, store.calls < 600, "%d store calls in ten minutes", store.calls)
		})
	})
}

func TestInstanceListIsApplied(t *testing.T) {
	list, err := json.Marshal(loader.InstanceList{Instances: []decider.Instance{{Name: "a1"}, {Name: "b1", FailureDomain: "b"}}})
	assert.NilError(t, err)
	store := &fakeStore{objects: map[string]storer.Object{loader.InstancesObject: {Version: 1, Value: list}}}
	runSynchronizer(t, store, func(engine *Engine) {
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(engine.Status().Members), 1)
		assert.Equal(t, engine.Status().Members[0].Name, "b1")
	})
}
