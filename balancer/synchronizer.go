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
	watchTimeout          = 25 * time.Second       // after which a watch without a newer version ends
	nonReaderPollInterval = 30 * time.Second       // mean pause between reads of the list of instances by an instance that is not the reader
	readerCheckInterval   = 500 * time.Millisecond // between checks whether this instance is the reader
	maxRetryInterval      = 5 * time.Second
)

// objectStore is the part of the platform's store that Synchronizer uses.
type objectStore interface {
	Get(ctx context.Context, name string) (storer.Object, error)
	Watch(ctx context.Context, name string, after uint64, wait time.Duration) (storer.Object, error)
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Synchronizer keeps the engine up to date with the platform's store. One reachable
// instance of each failure domain, chosen by rank, is the reader: it watches the store
// and writes the status of its failure domain. The others receive the sheet from it.
type Synchronizer struct {
	engine        *Engine
	store         objectStore
	settings      *configurer.Settings
	log           logr.Logger
	outages       outages
	lastStatus    []byte // status last written
	statusVersion uint64 // of the status object last written or read
}

// NewSynchronizer returns a Synchronizer, which does nothing until Run.
func NewSynchronizer(engine *Engine, store objectStore, settings *configurer.Settings, log logr.Logger) *Synchronizer {
	return &Synchronizer{engine: engine, store: store, settings: settings, log: log}
}

// Run keeps the engine up to date with the platform until ctx ends.
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

// addConfiguredPeers passes the peers in the settings to the engine, so that an
// instance can start while the platform is down.
func (synchronizer *Synchronizer) addConfiguredPeers() {
	var instances []decider.Instance
	for _, peer := range synchronizer.settings.Peers {
		instances = append(instances, decider.Instance{Name: peer.Instance, Peer: peer.PeerAddress})
	}
	synchronizer.engine.ApplyInstances(instances)
}

// watchSheet watches the sheet while this instance is the reader.
func (synchronizer *Synchronizer) watchSheet(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		if !synchronizer.engine.IsReader() {
			ticker.Sleep(ctx, readerCheckInterval)
			continue
		}
		after := synchronizer.engine.Status().SheetVersion
		object, err := synchronizer.store.Watch(ctx, loader.SheetObject, after, watchTimeout)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			retry.Reset()
		case err != nil:
			synchronizer.recordFailure(ctx, loader.SheetObject, err)
			ticker.Sleep(ctx, retry.NextBackOff())
			continue
		default:
			retry.Reset()
			synchronizer.engine.ApplySheet(object.Version, object.Value)
		}
		synchronizer.recordSuccess(loader.SheetObject)
	}
}

// watchInstances watches the platform's list of instances while this instance is
// the reader, and reads it at random intervals otherwise.
func (synchronizer *Synchronizer) watchInstances(ctx context.Context) {
	retry := newBackoff()
	after := uint64(0)
	for ctx.Err() == nil {
		object, err := synchronizer.store.Watch(ctx, loader.InstancesObject, after, watchTimeout)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			retry.Reset()
		case err != nil:
			synchronizer.recordFailure(ctx, loader.InstancesObject, err)
			ticker.Sleep(ctx, retry.NextBackOff())
			continue
		default:
			retry.Reset()
			after = object.Version
			synchronizer.applyInstances(object.Value)
		}
		synchronizer.recordSuccess(loader.InstancesObject)
		if !synchronizer.engine.IsReader() {
			// The interval is random so that instances started together do not read at the same time.
			ticker.Sleep(ctx, nonReaderPollInterval/2+rand.N(nonReaderPollInterval))
		}
	}
}

// applyInstances passes a list of instances to the engine; a malformed list is logged
// and rejected.
func (synchronizer *Synchronizer) applyInstances(value []byte) {
	var list loader.InstanceList
	if err := json.Unmarshal(value, &list); err != nil {
		logger.Event(synchronizer.log, logger.EventInstancesRejected, "error", err.Error())
		return
	}
	synchronizer.engine.ApplyInstances(list.Instances)
	logger.Event(synchronizer.log, logger.EventInstancesAccepted, "instances", len(list.Instances))
}

// writeStatus writes the status of the failure domain, with the sheet version in force on
// each instance, while this instance is the reader.
func (synchronizer *Synchronizer) writeStatus(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		delay := readerCheckInterval
		if synchronizer.engine.IsReader() {
			if err := synchronizer.writeStatusIfChanged(ctx); err != nil {
				synchronizer.recordFailure(ctx, loader.StatusObject(synchronizer.settings.FailureDomain), err)
				delay = retry.NextBackOff()
			} else {
				retry.Reset()
				synchronizer.recordSuccess(loader.StatusObject(synchronizer.settings.FailureDomain))
			}
		}
		ticker.Sleep(ctx, delay)
	}
}

// writeStatusIfChanged writes the status unless it equals the one last written.
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
		// Another reader wrote the status, or the answer to an earlier write was lost; the next round overwrites it.
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

// recordFailure logs the first failed call for an object since the last successful one.
func (synchronizer *Synchronizer) recordFailure(ctx context.Context, object string, err error) {
	if ctx.Err() != nil || synchronizer.outages.setUnreachable(object, true) {
		return
	}
	logger.Event(synchronizer.log, logger.EventPlatformUnreachable, "object", object, "error", err.Error())
}

// recordSuccess logs the first successful call for an object after a failed one.
func (synchronizer *Synchronizer) recordSuccess(object string) {
	if synchronizer.outages.setUnreachable(object, false) {
		logger.Event(synchronizer.log, logger.EventPlatformReachable, "object", object)
	}
}

// outages records which objects could not be read or written, so that an outage is logged once.
type outages struct {
	mutex       sync.Mutex
	unreachable map[string]bool
}

// setUnreachable records whether an object is unreachable and returns what was recorded before.
func (outages *outages) setUnreachable(object string, unreachable bool) bool {
	outages.mutex.Lock()
	defer outages.mutex.Unlock()
	if outages.unreachable == nil {
		outages.unreachable = map[string]bool{}
	}
	wasUnreachable := outages.unreachable[object]
	outages.unreachable[object] = unreachable
	return wasUnreachable
}

// newBackoff returns an exponential back-off whose interval is capped at maxRetryInterval.
func newBackoff() *backoff.ExponentialBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.MaxInterval = maxRetryInterval
	return exponential
}
