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
	watchWait      = 25 * time.Second
	followerPoll   = 30 * time.Second       // how often an instance that does not lead reads the list of instances
	leadershipPoll = 500 * time.Millisecond // how often an instance looks whether it leads
	maxBackoff     = 5 * time.Second
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
	written  []byte // status as last written
	version  uint64 // of the status as last written or read
}

// NewSynchronizer returns a Follower; Run does its work.
func NewSynchronizer(engine *Engine, store objectStore, settings *configurer.Settings, log logr.Logger) *Synchronizer {
	return &Synchronizer{engine: engine, store: store, settings: settings, log: log}
}

// Run follows the platform until ctx ends.
func (follower *Synchronizer) Run(ctx context.Context) {
	follower.contactPeers()
	done := make(chan struct{}, 2)
	go func() {
		follower.followSheet(ctx)
		done <- struct{}{}
	}()
	go func() {
		follower.writeStatus(ctx)
		done <- struct{}{}
	}()
	follower.followInstances(ctx)
	<-done
	<-done
}

// contactPeers makes the peers in the settings known, for a start while the platform is down.
func (follower *Synchronizer) contactPeers() {
	var instances []decider.Instance
	for _, peer := range follower.settings.Peers {
		instances = append(instances, decider.Instance{Name: peer.Instance, Peer: peer.PeerAddress})
	}
	follower.engine.ApplyInstances(instances)
}

// followSheet watches the sheet while this instance leads.
func (follower *Synchronizer) followSheet(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		if !follower.engine.IsReader() {
			ticker.Sleep(ctx, leadershipPoll)
			continue
		}
		after := follower.engine.Status().SheetVersion
		object, err := follower.store.Watch(ctx, loader.SheetObject, after, watchWait)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			wait.Reset()
		case err != nil:
			follower.failed(ctx, loader.SheetObject, err)
			ticker.Sleep(ctx, wait.NextBackOff())
			continue
		default:
			wait.Reset()
			follower.engine.ApplySheet(object.Version, object.Value)
		}
		follower.reached(loader.SheetObject)
	}
}

// followInstances watches the platform's list of instances while this instance leads, and reads it now and then otherwise.
func (follower *Synchronizer) followInstances(ctx context.Context) {
	wait := newBackoff()
	after := uint64(0)
	for ctx.Err() == nil {
		object, err := follower.store.Watch(ctx, loader.InstancesObject, after, watchWait)
		switch {
		case errors.Is(err, storer.ErrNotFound):
			wait.Reset()
		case err != nil:
			follower.failed(ctx, loader.InstancesObject, err)
			ticker.Sleep(ctx, wait.NextBackOff())
			continue
		default:
			wait.Reset()
			after = object.Version
			follower.takeInstances(object.Value)
		}
		follower.reached(loader.InstancesObject)
		if !follower.engine.IsReader() {
			// Spread over the fleet, so that instances started together do not read together.
			ticker.Sleep(ctx, followerPoll/2+rand.N(followerPoll))
		}
	}
}

func (follower *Synchronizer) takeInstances(value []byte) {
	var list loader.InstanceList
	if err := json.Unmarshal(value, &list); err != nil {
		logger.Event(follower.log, logger.EventInstancesRejected, "error", err.Error())
		return
	}
	follower.engine.ApplyInstances(list.Instances)
	logger.Event(follower.log, logger.EventInstancesAccepted, "instances", len(list.Instances))
}

// writeStatus writes, while this instance leads, how far the instances of its failure domain are.
func (follower *Synchronizer) writeStatus(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		pause := leadershipPoll
		if follower.engine.IsReader() {
			if err := follower.writeOnce(ctx); err != nil {
				follower.failed(ctx, loader.StatusObject(follower.settings.FailureDomain), err)
				pause = wait.NextBackOff()
			} else {
				wait.Reset()
				follower.reached(loader.StatusObject(follower.settings.FailureDomain))
			}
		}
		ticker.Sleep(ctx, pause)
	}
}

func (follower *Synchronizer) writeOnce(ctx context.Context) error {
	status := loader.NewDomainStatus(follower.settings.FailureDomain, follower.engine.Status())
	content, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	if bytes.Equal(content, follower.written) {
		return nil
	}
	name := loader.StatusObject(follower.settings.FailureDomain)
	version, err := follower.store.Put(ctx, name, follower.version, content)
	if errors.Is(err, storer.ErrConflict) {
		// Another leader wrote, or an earlier answer was lost; the next round writes over it.
		object, getErr := follower.store.Get(ctx, name)
		follower.version = object.Version
		return getErr
	}
	if err != nil {
		return err
	}
	follower.written, follower.version = content, version
	return nil
}

func (follower *Synchronizer) failed(ctx context.Context, object string, err error) {
	if ctx.Err() != nil || follower.outages.set(object, true) {
		return
	}
	logger.Event(follower.log, logger.EventPlatformUnreachable, "object", object, "error", err.Error())
}

func (follower *Synchronizer) reached(object string) {
	if follower.outages.set(object, false) {
		logger.Event(follower.log, logger.EventPlatformReachable, "object", object)
	}
}

// outages remembers which objects could not be reached, so that an outage is logged once.
type outages struct {
	mutex   sync.Mutex
	objects map[string]bool
}

// set records whether an object is out of reach and returns what was recorded before.
func (outages *outages) set(object string, down bool) bool {
	outages.mutex.Lock()
	defer outages.mutex.Unlock()
	if outages.objects == nil {
		outages.objects = map[string]bool{}
	}
	before := outages.objects[object]
	outages.objects[object] = down
	return before
}

func newBackoff() *backoff.ExponentialBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.MaxInterval = maxBackoff
	return exponential
}
