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

	"github.com/pimentowind/pimentowind/admitter"
	"github.com/pimentowind/pimentowind/closer"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/detector"
	"github.com/pimentowind/pimentowind/estimator"
	"github.com/pimentowind/pimentowind/examiner"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/pacer"
	"github.com/pimentowind/pimentowind/placer"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/ticker"
	"github.com/pimentowind/pimentowind/viewer"
)

const (
	// relayerInterval is how often the relayer checks whether it has to read the store.
	relayerInterval = 100 * time.Millisecond
	// logFlushInterval is how often queued log lines are written.
	logFlushInterval = 250 * time.Millisecond
	// stopMargin is the part of the stop timeout that is kept back, so that the
	// process exits before the platform kills it.
	stopMargin = time.Second
	// drainIdleTime is how long a stopping instance keeps forwarding after its last packet.
	drainIdleTime = 1500 * time.Millisecond
	// gcPercent is how far the heap grows between garbage collections, in percent;
	// memory is scarcer on the instances than processor time.
	gcPercent = 20
	// startupTime is how long an instance runs with Go's default GC percentage: it
	// starts with a burst of work, which frequent collections would slow down.
	startupTime = 3 * time.Second
)

// builder constructs the components of an instance and collects their clean-up functions.
type builder struct {
	closer.Closer
	output io.Writer // of the log
}

// Run runs the instance that the settings file describes until ctx ends, and
// then stops it gracefully. SIGHUP makes it reload the file. It writes the log to output.
func Run(ctx context.Context, file string, output io.Writer) error {
	time.AfterFunc(startupTime, func() { debug.SetGCPercent(gcPercent) })
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := configurer.ReadPlatformSettings(file)
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	builder := &builder{output: output}
	defer builder.Close()
	defer stopWork()
	container, err := builder.wire(file, settings)
	if err != nil {
		return err
	}
	err = container.Invoke(func(instance instance) error { return instance.run(ctx, work, hangups) })
	return dig.RootCause(err)
}

// wire returns a container that constructs the components of an instance.
func (builder *builder) wire(file string, settings *configurer.PlatformSettings) (*dig.Container, error) {
	container := dig.New()
	constructors := []any{
		func() *configurer.PlatformSettings { return settings },
		builder.newQueue,
		NewRecorder,
		func(recorder *Recorder) *Reloader { return NewReloader(file, settings, recorder) },
		viewer.NewViewer,
		examiner.NewEjections,
		func(recorder *Recorder) *detector.Detector { return detector.NewDetector(recorder) },
		builder.newSource,
		builder.newNetwork,
		builder.newRelayer,
		newAdmitter,
		newFailureCheck,
		newEstimator,
		newPacer,
		newSteerer,
		builder.newSocket,
		builder.newTicker,
		builder.newResponder,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, errors.Wrap(err, "wire instance")
		}
	}
	return container, nil
}

// instance holds the components that run together; dig fills in the fields.
type instance struct {
	dig.In

	PlatformSettings *configurer.PlatformSettings
	Recorder         *Recorder
	Viewer           *viewer.Viewer
	Detector         *detector.Detector
	Reloader         *Reloader
	Relayer          *relayer.Relayer
	Network          *Network
	Socket           *Socket
	Ticker           *ticker.Ticker
	Responder        *Responder
	Admitter         *admitter.Admitter
}

func (builder *builder) newQueue() *logger.Queue {
	queue, cleanup := logger.NewQueue(builder.output)
	builder.Add(cleanup)
	return queue
}

func (builder *builder) newSource(settings *configurer.PlatformSettings, reloader *Reloader, recorder *Recorder) relayer.Source {
	store, cleanup := platform.NewStoreClient(settings.StoreAddress)
	builder.Add(cleanup)
	reloader.Subscribe(func(settings *configurer.PlatformSettings) { store.SetAddress(settings.StoreAddress) })
	return platform.NewSource(store, recorder)
}

func (builder *builder) newNetwork(settings *configurer.PlatformSettings, recorder *Recorder) (*Network, error) {
	network, cleanup, err := NewNetwork(settings.PeerAddress(), recorder)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	return network, nil
}

func (builder *builder) newRelayer(settings *configurer.PlatformSettings, current *viewer.Viewer, source relayer.Source, network *Network, ejections *examiner.Ejections, detector *detector.Detector, admitter *admitter.Admitter, recorder *Recorder) *relayer.Relayer {
	self := relayer.Member{
		Name:           settings.Instance,
		FailureDomain:  settings.FailureDomain,
		PeerAddress:    settings.Advertise(settings.PeerAddress()),
		ControlAddress: settings.Advertise(settings.ControlAddress),
		ProcessorShare: settings.ProcessorShare,
	}
	observer := &ejectingRecorder{Recorder: recorder, viewer: current, ejections: ejections}
	detectors := relayer.Detectors{Failures: examiner.NewFailureDetector(), Slowness: examiner.NewSlownessDetector()}
	created := relayer.NewRelayer(self, settings.Seeds, current, source, network, detectors, observer)
	created.SetChangeDeadline(settings.ChangeDeadline())
	created.SetLoadMonitor(admitter)
	created.SetDetector(detector)
	return created
}

// failureCheck reports whether a server is ejected because it fails its requests or has fallen
// silent, or gets no openings as some were left unanswered.
type failureCheck func(server *viewer.BackendServer, now time.Time) bool

func newFailureCheck(ejections *examiner.Ejections, signs *detector.Detector) failureCheck {
	return func(server *viewer.BackendServer, now time.Time) bool {
		incarnation := detector.NewServer(server)
		return ejections.IsEjected(server.Token, now) || signs.IsSilent(incarnation, now) || signs.IsHeld(incarnation, now)
	}
}

func newEstimator(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, ejections *examiner.Ejections, isFailing failureCheck, recorder *Recorder) *estimator.Estimator {
	instances := func() estimator.Instances {
		return estimator.Instances{Fleet: relayer.Instances(), Domain: relayer.DomainInstances()}
	}
	created := estimator.NewEstimator(settings.FailureDomain, instances, current.Current, isFailing)
	recorder.SetLoadGauge(created)
	ejections.SetLoad(func(service string, now time.Time) float64 { return created.Room(service, now).Outstanding })
	return created
}

func newPacer(settings *configurer.PlatformSettings, current *viewer.Viewer, reloader *Reloader, recorder *Recorder) *pacer.Pacer {
	created := pacer.NewPacer(settings.Instance, warmUpBounds(settings), current.Current, recorder, time.Now())
	reloader.Subscribe(func(settings *configurer.PlatformSettings) { created.SetBounds(warmUpBounds(settings)) })
	return created
}

func warmUpBounds(settings *configurer.PlatformSettings) pacer.Bounds {
	return pacer.Bounds{Excess: settings.WarmUpExcess, Slack: settings.WarmUpSlack}
}

func newSteerer(settings *configurer.PlatformSettings, reloader *Reloader, current *viewer.Viewer, relayer *relayer.Relayer, estimator *estimator.Estimator, isFailing failureCheck, detector *detector.Detector, pacer *pacer.Pacer, admitter *admitter.Admitter, ticker *ticker.Ticker, recorder *Recorder) *steerer.Steerer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	placer := placer.NewPlacer(settings.FailureDomain, estimator, isFailing, random)
	placer.SetPacer(pacer)
	pacer.SetViewAge(relayer.Age)
	examiner := examiner.NewExaminer(func(server *viewer.BackendServer, suspicion examiner.Suspicion) {
		if admitter.IsLimited(server.Service) {
			return // servers that have too much to do look failing and slow
		}
		relayer.ReportSuspicion(server.Token, suspicion)
	})
	created := steerer.NewSteerer(current.Current, ticker.JustResumed, placer, examiner, recorder)
	created.UseAdmission(admitter)
	created.SetDetector(detector)
	apply := func(settings *configurer.PlatformSettings) {
		placer.IgnoreDomains(!settings.PreferOwnDomain)
		created.KeepFlows(!settings.ResetSilent)
		created.IssueServerTokens(settings.ServerTokens)
	}
	apply(settings)
	reloader.Subscribe(apply)
	return created
}

func (builder *builder) newSocket(settings *configurer.PlatformSettings, steerer *steerer.Steerer, recorder *Recorder) (*Socket, error) {
	socket, cleanup, err := NewSocket(settings.PacketAddress, steerer, recorder)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	return socket, nil
}

func (builder *builder) newTicker() *ticker.Ticker {
	created, cleanup := ticker.NewTicker()
	builder.Add(cleanup)
	return created
}

func (builder *builder) newResponder(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, steerer *steerer.Steerer, socket *Socket, recorder *Recorder) (*Responder, error) {
	responder, cleanup, err := NewResponder(settings, current, relayer, steerer, socket, recorder)
	if err != nil {
		return nil, err
	}
	builder.Add(cleanup)
	return responder, nil
}

// run returns when the instance has drained after the end of ctx, or when forwarding
// fails. The relayer uses work, which ends later than ctx, so that it keeps running
// while the instance drains.
func (instance *instance) run(ctx, work context.Context, hangups <-chan os.Signal) error {
	instance.Reloader.Subscribe(func(settings *configurer.PlatformSettings) {
		instance.Relayer.SetSeeds(settings.Seeds)
		instance.Relayer.SetChangeDeadline(settings.ChangeDeadline())
		instance.Recorder.SetVerbosity(settings.Log.Verbosity)
	})
	instance.Recorder.SetViewAge(instance.Relayer.Age)
	instance.Recorder.SetServerNames(func(server detector.Server) string { return nameOf(server, instance.Viewer.Current()) })
	instance.Viewer.SetChangeHook(instance.Socket.Wake)
	instance.Detector.SetChangeHook(instance.Socket.Wake)
	instance.Relayer.SetPauseDetector(instance.Ticker.JustResumed)
	instance.Recorder.Event(logger.EventStarted, "instance", instance.PlatformSettings.Instance,
		"failure_domain", instance.PlatformSettings.FailureDomain, "packet_address", instance.PlatformSettings.PacketAddress.String())
	go instance.Network.Run(func(content []byte) {
		if err := instance.Relayer.Receive(work, content); err != nil {
			instance.Recorder.HeartbeatMalformed(err)
		}
	})
	forwarding := make(chan error, 1)
	go func() { forwarding <- instance.Socket.Run() }()
	go instance.Relayer.Run(work)
	instance.Relayer.Tick(work, time.Now())
	defer instance.Ticker.Subscribe(relayerInterval, func(now time.Time) { instance.Relayer.Tick(work, now) })()
	defer instance.Ticker.Subscribe(summaryInterval, func(now time.Time) {
		for _, summary := range instance.Admitter.Summaries(now) {
			instance.Recorder.AdmissionSummarized(summary)
		}
	})()
	defer instance.Ticker.Subscribe(logFlushInterval, instance.Recorder.Flush)()
	defer instance.Ticker.Subscribe(settingsCheckInterval, instance.Reloader.CheckFile)()
	err := instance.wait(ctx, hangups, forwarding)
	instance.Recorder.Event(logger.EventStopped, "instance", instance.PlatformSettings.Instance)
	return err
}

// wait reloads the settings at each SIGHUP; it returns after a graceful stop, or
// when forwarding fails.
func (instance *instance) wait(ctx context.Context, hangups <-chan os.Signal, forwarding <-chan error) error {
	for {
		select {
		case <-hangups:
			instance.Reloader.Reload()
		case <-ctx.Done():
			instance.drain()
			return nil
		case err := <-forwarding:
			return err
		}
	}
}

// drain makes the fabric send packets to other instances, and keeps forwarding
// until no more arrive or the stop timeout is nearly over.
func (instance *instance) drain() {
	instance.Recorder.Event(logger.EventStopping, "instance", instance.PlatformSettings.Instance)
	instance.Responder.Close()
	instance.Relayer.Leave()
	startedAt := time.Now()
	deadline := startedAt.Add(time.Duration(instance.Reloader.Current().StopTimeout) - stopMargin)
	for now := startedAt; now.Before(deadline); now = time.Now() {
		last := instance.Socket.LastPacket()
		if now.Sub(last) > drainIdleTime && now.Sub(startedAt) > drainIdleTime {
			return
		}
		time.Sleep(relayerInterval)
	}
}
