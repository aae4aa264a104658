package director

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/dig"

	"github.com/pimentowind/pimentowind/closer"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/ticker"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// turnInterval is how often the relayer looks whether it has to read.
	turnInterval = 100 * time.Millisecond
	// logInterval is how often waiting log lines are written.
	logInterval = 250 * time.Millisecond
	// stopMargin is left of the stop timeout when the process ends by itself.
	stopMargin = time.Second
	// lingerTime is how long a leaving instance goes on after its last packet.
	lingerTime = 1500 * time.Millisecond
	// collectionPercent is how far the heap grows between collections; memory is
	// scarcer on the instances than processor time.
	collectionPercent = 20
	// startTime is how long an instance collects garbage as seldom as by default:
	// after its start it has to work off a burst.
	startTime = 3 * time.Second
)

// parts makes the parts of an instance and keeps their clean-up functions.
type parts struct {
	closer.Closer
	output io.Writer
}

// Run runs the instance that the settings file describes until ctx ends, and
// then stops it gracefully. A hangup signal has the file read again.
func Run(ctx context.Context, file string, output io.Writer) error {
	time.AfterFunc(startTime, func() { debug.SetGCPercent(collectionPercent) })
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := configurer.ReadPlatformSettings(file)
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	parts := &parts{output: output}
	defer parts.Close()
	defer stopWork()
	container := dig.New()
	constructors := []any{
		func() *configurer.PlatformSettings { return settings },
		parts.newQueue,
		NewRecorder,
		func(recorder *Recorder) *Reloader { return NewReloader(file, settings, recorder) },
		viewer.NewViewer,
		examiner.NewHolds,
		parts.newSource,
		parts.newNetwork,
		parts.newRelayer,
		newSteerer,
		parts.newSocket,
		parts.newTicker,
		parts.newResponder,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return errors.Wrap(err, "wire instance")
		}
	}
	err = container.Invoke(func(instance instance) error { return instance.run(ctx, work, hangups) })
	return dig.RootCause(err)
}

// instance is the set of parts that run together.
type instance struct {
	dig.In

	PlatformSettings *configurer.PlatformSettings
	Recorder         *Recorder
	Reloader         *Reloader
	Relayer          *relayer.Relayer
	Network          *Network
	Socket           *Socket
	Ticker           *ticker.Ticker
	Responder        *Responder
}

func (parts *parts) newQueue() *logger.Queue {
	queue, cleanup := logger.NewQueue(parts.output)
	parts.Add(cleanup)
	return queue
}

func (parts *parts) newSource(settings *configurer.PlatformSettings, reloader *Reloader, recorder *Recorder) relayer.Source {
	store, cleanup := platform.NewStore(settings.StoreAddress)
	parts.Add(cleanup)
	reloader.Subscribe(func(settings *configurer.PlatformSettings) { store.SetAddress(settings.StoreAddress) })
	return platform.NewSource(store, recorder)
}

func (parts *parts) newNetwork(settings *configurer.PlatformSettings, recorder *Recorder) (*Network, error) {
	network, cleanup, err := NewNetwork(settings.PeerAddress(), recorder)
	if err != nil {
		return nil, err
	}
	parts.Add(cleanup)
	return network, nil
}

func (parts *parts) newRelayer(settings *configurer.PlatformSettings, current *viewer.Viewer, source relayer.Source, network *Network, holds *examiner.Holds, recorder *Recorder) *relayer.Relayer {
	self := relayer.Member{
		Name:          settings.Instance,
		FailureDomain: settings.FailureDomain,
		PeerAddress:          settings.Reached(settings.PeerAddress()),
		ControlAddress:       settings.Reached(settings.ControlAddress),
		ProcessorShare:         settings.ProcessorShare,
	}
	observer := &failures{Recorder: recorder, current: current, holds: holds}
	return relayer.NewRelayer(self, settings.Seeds, current, source, network, examiner.NewTally(), observer)
}

func newSteerer(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, holds *examiner.Holds, ticker *ticker.Ticker, recorder *Recorder) *steerer.Steerer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	placer := placer.NewPlacer(settings.FailureDomain, relayer.Instances, holds.Held, random)
	examiner := examiner.NewExaminer(func(server *viewer.BackendServer) { relayer.ReportSuspicion(server.Token) })
	return steerer.NewSteerer(current.Current, ticker.Resumed, placer, examiner, recorder, random)
}

func (parts *parts) newSocket(settings *configurer.PlatformSettings, steerer *steerer.Steerer, recorder *Recorder) (*Socket, error) {
	socket, cleanup, err := NewSocket(settings.PacketAddress, steerer, recorder)
	if err != nil {
		return nil, err
	}
	parts.Add(cleanup)
	return socket, nil
}

func (parts *parts) newTicker() *ticker.Ticker {
	built, cleanup := ticker.NewTicker()
	parts.Add(cleanup)
	return built
}

func (parts *parts) newResponder(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, recorder *Recorder) (*Responder, error) {
	responder, cleanup, err := NewResponder(settings, current, relayer, recorder)
	if err != nil {
		return nil, err
	}
	parts.Add(cleanup)
	return responder, nil
}

func (instance *instance) run(ctx, work context.Context, hangups <-chan os.Signal) error {
	instance.Reloader.Subscribe(func(settings *configurer.PlatformSettings) {
		instance.Relayer.SetSeeds(settings.Seeds)
		instance.Recorder.SetVerbosity(settings.Log.Verbosity)
	})
	instance.Recorder.SetAge(instance.Relayer.Age)
	instance.Recorder.Event(logger.EventStarted, "instance", instance.PlatformSettings.Instance,
		"failure_domain", instance.PlatformSettings.FailureDomain, "packet_address", instance.PlatformSettings.PacketAddress.String())
	go instance.Network.Run(func(content []byte) {
		if err := instance.Relayer.Receive(work, content); err != nil {
			instance.Recorder.MessageRefused(err)
		}
	})
	forwarding := make(chan error, 1)
	go func() { forwarding <- instance.Socket.Run() }()
	go instance.Relayer.Run(work)
	instance.Relayer.Tick(work, time.Now())
	defer instance.Ticker.Subscribe(turnInterval, func(now time.Time) { instance.Relayer.Tick(work, now) })()
	defer instance.Ticker.Subscribe(logInterval, instance.Recorder.Flush)()
	defer instance.Ticker.Subscribe(settingsInterval, instance.Reloader.Look)()
	err := instance.wait(ctx, hangups, forwarding)
	instance.Recorder.Event(logger.EventStopped, "instance", instance.PlatformSettings.Instance)
	return err
}

// wait reloads the settings at each hangup and returns when the instance has to end.
func (instance *instance) wait(ctx context.Context, hangups <-chan os.Signal, forwarding <-chan error) error {
	for {
		select {
		case <-hangups:
			instance.Reloader.Reload()
		case <-ctx.Done():
			instance.leave()
			return nil
		case err := <-forwarding:
			return err
		}
	}
}

// leave has the fabric send packets elsewhere and goes on until none comes any more.
func (instance *instance) leave() {
	instance.Recorder.Event(logger.EventStopping, "instance", instance.PlatformSettings.Instance)
	instance.Responder.Close()
	instance.Relayer.Leave()
	startedAt := time.Now()
	deadline := startedAt.Add(time.Duration(instance.Reloader.Current().StopTimeout) - stopMargin)
	for now := startedAt; now.Before(deadline); now = time.Now() {
		last := instance.Socket.LastPacket()
		if now.Sub(last) > lingerTime && now.Sub(startedAt) > lingerTime {
			return
		}
		time.Sleep(turnInterval)
	}
}
