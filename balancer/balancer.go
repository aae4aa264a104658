package balancer

import (
	"context"
	"crypto/tls"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"go.uber.org/dig"

	"github.com/pimentowind/pimentowind/closer"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/forwarder"
	"github.com/pimentowind/pimentowind/issuer"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/messenger"
	"github.com/pimentowind/pimentowind/storer"
	"github.com/pimentowind/pimentowind/ticker"
)

// finalSendTime is how long an instance waits, before it exits, for its last messages to be sent.
const finalSendTime = 100 * time.Millisecond

// drainIdleTime is how long a leaving instance keeps forwarding after its last packet.
const drainIdleTime = 2 * time.Second

// builder constructs the components of an instance and collects their clean-up functions.
type builder struct{ closer.Closer }

// Run runs one instance until ctx ends and then stops it gracefully. It returns an
// error if a component cannot be built or forwarding fails.
func Run(ctx context.Context, settings *configurer.Settings, output io.Writer) error {
	builder := &builder{}
	defer builder.Close()
	container := dig.New()
	constructors := []any{
		func() *configurer.Settings { return settings },
		func() logr.Logger { return logger.New(output, settings.Log.Format, settings.Log.Verbosity) },
		NewEngine,
		newTLS,
		builder.newStorer,
		builder.newMessenger,
		builder.newForwarder,
		builder.newTicker,
		builder.newAdmin,
		NewSynchronizer,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return errors.Wrap(err, "wire instance")
		}
	}
	err := container.Invoke(func(instance instance) error { return instance.run(ctx) })
	return dig.RootCause(err)
}

// instance holds the components that run together; dig fills in the fields.
type instance struct {
	dig.In

	Settings     *configurer.Settings
	Log          logr.Logger
	Engine       *Engine
	Messenger    *messenger.Messenger
	Forwarder    *forwarder.Forwarder
	Ticker       *ticker.Ticker
	Synchronizer *Synchronizer
	Admin        *Admin
}

func newTLS(settings *configurer.Settings) (*tls.Config, error) {
	return issuer.LoadTLSConfig(settings.Keys.Authority, settings.Keys.Certificate, settings.Keys.Key)
}

func (builder *builder) newStorer(settings *configurer.Settings) objectStore {
	store, cleanup := storer.NewStorer(settings.Platform.URL, settings.Platform.Token, time.Duration(settings.Platform.Timeout))
	builder.Add(cleanup)
	return store
}

func (builder *builder) newMessenger(settings *configurer.Settings, config *tls.Config, engine *Engine) (*messenger.Messenger, error) {
	messenger, cleanup, err := messenger.NewMessenger(settings.PeerAddress, config, engine)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	engine.SetSender(messenger)
	return messenger, nil
}

func (builder *builder) newForwarder(settings *configurer.Settings, engine *Engine) (*forwarder.Forwarder, error) {
	forwarder, cleanup, err := forwarder.NewForwarder(settings.TunnelAddress, settings.FabricAddresses, engine)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	return forwarder, nil
}

func (builder *builder) newTicker() *ticker.Ticker {
	ticker, cleanup := ticker.NewTicker()
	builder.Add(cleanup)
	return ticker
}

func (builder *builder) newAdmin(settings *configurer.Settings, engine *Engine, messenger *messenger.Messenger, forwarder *forwarder.Forwarder) (*Admin, error) {
	admin, cleanup, err := NewAdmin(settings.AdminAddress, engine, messenger, forwarder)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	return admin, nil
}

func (instance *instance) run(ctx context.Context) error {
	logger.Event(instance.Log, logger.EventStarted, "instance", instance.Settings.Instance,
		"failure_domain", instance.Settings.FailureDomain, "tunnel_address", instance.Settings.TunnelAddress.String())
	unsubscribe := instance.Ticker.Subscribe(ticker.Resolution, instance.Engine.Tick)
	defer unsubscribe()
	synchronizerContext, stopSynchronizer := context.WithCancel(context.Background())
	synchronizerDone := make(chan struct{})
	go func() {
		defer close(synchronizerDone)
		instance.Synchronizer.Run(synchronizerContext)
	}()
	forwarderResult := make(chan error, 1)
	go func() { forwarderResult <- instance.Forwarder.Run() }()

	var err error
	select {
	case <-ctx.Done():
		instance.drain()
		instance.Engine.Close()
		time.Sleep(finalSendTime)
	case err = <-forwarderResult:
	}
	stopSynchronizer()
	<-synchronizerDone
	logger.Event(instance.Log, logger.EventStopped, "instance", instance.Settings.Instance)
	return err
}

// drain hands the flows over to the other instances and keeps forwarding until no
// packet has arrived for drainIdleTime, at most for the drain timeout of the settings.
func (instance *instance) drain() {
	logger.Event(instance.Log, logger.EventStopping, "instance", instance.Settings.Instance)
	instance.Engine.Leave()
	deadline := time.Now().Add(time.Duration(instance.Settings.DrainTimeout))
	idleSince, received := time.Now(), instance.Forwarder.Stats().Received.Load()
	for time.Now().Before(deadline) && time.Since(idleSince) < drainIdleTime {
		time.Sleep(ticker.Resolution)
		if current := instance.Forwarder.Stats().Received.Load(); current != received {
			idleSince, received = time.Now(), current
		}
	}
}
