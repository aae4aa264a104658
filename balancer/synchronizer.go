package balancer

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/decider"
	"github.com/pimentowind/pimentowind/loader"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/storer"

	"github.com/pimentowind/pimentowind/ticker"
)

const (
	watchTimeout      = 25 * time.Second
	nonReaderPollInterval   = 30 * time.Second       // how often an instance that does not lead reads the list of instances
	readerCheckInterval = 500 * time.Millisecond // how often an instance looks whether it leads
	maxRetryInterval     = 5 * time.Second
)

// objectStore is what the follower needs of the platform.
type objectStore interface {
	Get(ctx context.Context, name string) (storer.Object, error)
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (storer.Object, error)
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Synchronizer keeps the decisions up to date with the platform. The first live
// instance of a failure domain watches for all of them; the others take the
// sheet from it.
type Synchronizer struct {
	engine   *Engine
	store    objectStore
	settings *configurer.Settings
	log      logr.Logger
	outages  outages
	lastStatus  []byte // status as last written
	statusVersion  uint64 // of the status as last written or read
}

// NewSynchronizer returns a Follower; Run does its work.
func NewSynchronizer(engine *Engine, store objectStore, settings *configurer.Settings, log logr.Logger) *Synchronizer {
	return &Synchronizer{engine: engine, store: store, settings: settings, log: log}
}

// Run follows the platform until ctx ends.
func (synchronizer *Synchronizer) Run(ctx context.Context) {
	synchronizer.addConfiguredPeers()
	done := make(chan struct{}, 2)
	go func() {
		synchronizer.watchSheet(ctx)
		done <- struct{}{}
	}()
	go func() {
		synchronizer.writeStatus(ctx)
		done <- struct{}{}
	}()
	synchronizer.watchInstances(ctx)
	<-done
	<-done
}

// addConfiguredPeers makes the peers in the settings known, for a start while the platform is down.
func (synchronizer *Synchronizer) addConfiguredPeers() {
	var instances []decider.Instance
	for _, peer := range synchronizer.settings.Peers {
		instances = append(instances, decider.Instance{Name: peer.Instance, Peer: peer.PeerAddress})
	}
	synchronizer.engine.ApplyInstances(instances)
}

// watchSheet watches the sheet while this instance leads.
func (synchronizer *Synchronizer) watchSheet(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		if !synchronizer.engine.IsReader() {
			ticker.Sleep(ctx, readerCheckInterval)
			continue
		}
		after := synchronizer.engine.Status().SheetVersion
		object, err := synchronizer.store.Watch(ctx, loader.SheetObject, after, watchTimeout)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			wait.Reset()
		case err != nil:
			synchronizer.recordFailure(ctx, loader.SheetObject, err)
			ticker.Sleep(ctx, wait.NextBackOff())
			continue
		default:
			wait.Reset()
			synchronizer.engine.ApplySheet(object.Version, object.Value)
		}
		synchronizer.recordSuccess(loader.SheetObject)
	}
}

// watchInstances watches the platform's list of instances while this instance leads, and reads it now and then otherwise.
func (synchronizer *Synchronizer) watchInstances(ctx context.Context) {
	wait := newBackoff()
	after := uint64(0)
	for ctx.Err() == nil {
		object, err := synchronizer.store.Watch(ctx, loader.InstancesObject, after, watchTimeout)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			wait.Reset()
		case err != nil:
			synchronizer.recordFailure(ctx, loader.InstancesObject, err)
			ticker.Sleep(ctx, wait.NextBackOff())
			continue
		default:
			wait.Reset()
			after = object.Version
			synchronizer.applyInstances(object.Value)
		}
		synchronizer.recordSuccess(loader.InstancesObject)
		if !synchronizer.engine.IsReader() {
			// Spread over the fleet, so that instances started together do not read together.
			ticker.Sleep(ctx, nonReaderPollInterval/2+rand.N(nonReaderPollInterval))
		}
	}
}

func (synchronizer *Synchronizer) applyInstances(value []byte) {
	var list loader.InstanceList
	if err := json.Unmarshal(value, &list); err != nil {
		logger.Event(synchronizer.log, logger.EventInstancesRejected, "error", err.Error())
		return
	}
	synchronizer.engine.ApplyInstances(list.Instances)
	logger.Event(synchronizer.log, logger.EventInstancesAccepted, "instances", len(list.Instances))
}

// writeStatus writes, while this instance leads, how far the instances of its failure domain are.
func (synchronizer *Synchronizer) writeStatus(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		pause := readerCheckInterval
		if synchronizer.engine.IsReader() {
			if err := synchronizer.writeStatusIfChanged(ctx); err != nil {
				synchronizer.recordFailure(ctx, loader.StatusObject(synchronizer.settings.FailureDomain), err)
				pause = wait.NextBackOff()
			} else {
				wait.Reset()
				synchronizer.recordSuccess(loader.StatusObject(synchronizer.settings.FailureDomain))
			}
		}
		ticker.Sleep(ctx, pause)
	}
}

func (synchronizer *Synchronizer) writeStatusIfChanged(ctx context.Context) error {
	status := loader.NewDomainStatus(synchronizer.settings.FailureDomain, synchronizer.engine.Status())
	content, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	if bytes.Equal(content, synchronizer.lastStatus) {
		return nil
	}
	name := loader.StatusObject(synchronizer.settings.FailureDomain)
	version, err := synchronizer.store.Put(ctx, name, synchronizer.statusVersion, content)
	if errors.Is(err, storer.ErrConflict) {
		// Another leader wrote, or an earlier answer was lost; the next round writes over it.
		object, getErr := synchronizer.store.Get(ctx, name)
		synchronizer.statusVersion = object.Version
		return getErr
	}
	if err != nil {
		return err
	}
	synchronizer.lastStatus, synchronizer.statusVersion = content, version
	return nil
}

func (synchronizer *Synchronizer) recordFailure(ctx context.Context, object string, err error) {
	if ctx.Err() != nil || synchronizer.outages.setUnreachable(object, true) {
		return
	}
	logger.Event(synchronizer.log, logger.EventPlatformUnreachable, "object", object, "error", err.Error())
}

func (synchronizer *Synchronizer) recordSuccess(object string) {
	if synchronizer.outages.setUnreachable(object, false) {
		logger.Event(synchronizer.log, logger.EventPlatformReachable, "object", object)
	}
}

// outages remembers which objects could not be reached, so that an outage is logged once.
type outages struct {
	mutex   sync.Mutex
	unreachable map[string]bool
}

// setUnreachable records whether an object is out of reach and returns what was recorded before.
func (outages *outages) setUnreachable(object string, down bool) bool {
	outages.mutex.Lock()
	defer outages.mutex.Unlock()
	if outages.unreachable == nil {
		outages.unreachable = map[string]bool{}
	}
	before := outages.unreachable[object]
	outages.unreachable[object] = down
	return before
}

func newBackoff() *backoff.ExponentialBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.MaxInterval = maxRetryInterval
	return exponential
}
