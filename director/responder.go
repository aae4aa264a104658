package director

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/closer"
	"github.com/pimentowind/pimentowind/configurer"
	"github.com/pimentowind/pimentowind/logger"
	"github.com/pimentowind/pimentowind/platform"
	"github.com/pimentowind/pimentowind/relayer"
	"github.com/pimentowind/pimentowind/steerer"
	"github.com/pimentowind/pimentowind/viewer"
)

// maxConcurrentViews bounds how many views are sent at once, so that a starting
// fleet does not saturate the link of the first instance that has a view. A
// rejected instance retries after a later heartbeat.
const maxConcurrentViews = 4

// maxCalmAge is the age that the view of an instance does not exceed while it reaches the store, or
// an instance that does.
const maxCalmAge = relayer.ReadInterval + 400*time.Millisecond

// headerTimeout is how long a client may take to send its request headers.
const headerTimeout = 2 * time.Second

// Responder answers HTTP requests: of the fabric for readiness, of other instances
// for the view, and of operators for metrics and state.
type Responder struct {
	viewer    *viewer.Viewer
	relayer   *relayer.Relayer
	steerer   *steerer.Steerer
	drained   func() time.Time // before which every packet that arrived has been decided on
	domain    string           // this instance's failure domain
	recorder  *Recorder
	notReady  atomic.Bool   // set when the instance stops
	viewSlots chan struct{} // semaphore with one entry for each view being sent
	vars      *expvar.Map   // served at /debug/vars
}

// State is the JSON document that an instance serves to operators at /state.
type State struct {
	Instance      string  `json:"instance"`
	Ready         bool    `json:"ready"`
	Configuration uint64  `json:"configuration_version"`    // 0 before there is a configuration
	Revision      uint64  `json:"backend_servers_revision"` // of the store; 0 before there is a list
	StoreEra      uint64  `json:"store_era"`                // when this instance last read the store; 0 if it states none
	StoreRevision uint64  `json:"store_revision"`           // the same; 0 if this instance has not read it
	Servers       int     `json:"backend_servers"`
	Routes        int     `json:"routes"`
	AgeSeconds    float64 `json:"age_seconds"`  // since the store last confirmed the list of backend servers
	Instances     int     `json:"instances"`    // in the fleet, this one included
	ReadingRank   int     `json:"reading_rank"` // in the order in which instances read the store; 0 is the reader

	EvacuatedDomains []string `json:"evacuated_domains"`
}

// NewResponder listens on the ready, control and metrics addresses in the settings
// and serves the same paths on all of them; the returned function closes the listeners.
func NewResponder(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, steerer *steerer.Steerer, socket *Socket, recorder *Recorder) (*Responder, func(), error) {
	responder := &Responder{viewer: current, relayer: relayer, steerer: steerer, drained: socket.Drained, domain: settings.FailureDomain, recorder: recorder, viewSlots: make(chan struct{}, maxConcurrentViews), vars: &expvar.Map{}}
	recorder.publish(responder.vars)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, responder.serveReady)
	mux.HandleFunc("GET "+viewPath, responder.serveView)
	mux.HandleFunc("GET /debug/vars", responder.serveVars)
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, _ *http.Request) { responder.serveState(writer, settings.Instance) })
	addresses := []netip.AddrPort{settings.ReadyAddress, settings.ControlAddress}
	if settings.MetricsPort != 0 {
		addresses = append(addresses, netip.AddrPortFrom(settings.Address, settings.MetricsPort))
	}
	closer := &closer.Closer{}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			closer.Close()
			return nil, nil, errors.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
		closer.Add(func() { server.Close() })
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				recorder.Event(logger.EventHTTPFailed, "address", address.String(), "error", err.Error())
			}
		}()
	}
	return responder, closer.Close, nil
}

// Close makes the instance report that it is not ready, so that the fabric sends
// its packets to others; views, metrics and state are still served.
func (responder *Responder) Close() { responder.notReady.Store(true) }

func (responder *Responder) ready() bool {
	now, view := time.Now(), responder.viewer.Current()
	if responder.notReady.Load() || !view.Complete() || !responder.relayer.Confirmed(now) {
		return false
	}
	domainLeft := responder.relayer.HasDomainLeft(view.Evacuations)
	reach := steerer.Reach{
		FailureDomain:   responder.domain,
		OtherDomainLeft: domainLeft,
		ViewAge:         responder.relayer.Age(now),
		MaxCalmAge:      maxCalmAge,
		Answers:         responder.steerer.Answers(responder.drained()),
	}
	return !reach.LacksServers(view)
}

func (responder *Responder) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready := responder.ready()
	responder.recorder.ReadinessReported(ready)
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (responder *Responder) serveView(writer http.ResponseWriter, request *http.Request) {
	version, versionErr := strconv.ParseUint(request.FormValue(configurationParameter), 10, 64)
	serversRevision, revisionErr := parseRevision(request)
	if versionErr != nil || revisionErr != nil {
		http.Error(writer, "configuration, revision and era must be numbers", http.StatusBadRequest)
		return
	}
	select {
	case responder.viewSlots <- struct{}{}:
		defer func() { <-responder.viewSlots }()
	default:
		http.Error(writer, "too many concurrent view requests", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/cbor")
	writer.Write(responder.relayer.Snapshot(version, serversRevision))
}

// parseRevision returns the revision of the servers that a request names. One without an era, of
// an older program, names a revision that no delta starts from once the store states eras.
func parseRevision(request *http.Request) (viewer.Revision, error) {
	number, err := strconv.ParseUint(request.FormValue(revisionParameter), 10, 64)
	if err != nil {
		return viewer.Revision{}, err
	}
	era := request.FormValue(eraParameter)
	if era == "" {
		return viewer.Revision{Number: number}, nil
	}
	parsed, err := strconv.ParseUint(era, 10, 64)
	return viewer.Revision{Era: parsed, Number: number}, err
}

func (responder *Responder) serveVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Write([]byte(responder.vars.String()))
}

func (responder *Responder) serveState(writer http.ResponseWriter, instance string) {
	view := responder.viewer.Current()
	state := State{
		EvacuatedDomains: append([]string{}, view.Evacuations.List()...),

		Instance:    instance,
		Ready:       responder.ready(),
		AgeSeconds:  responder.relayer.Age(time.Now()).Seconds(),
		Instances:   responder.relayer.Instances(),
		ReadingRank: responder.relayer.Rank(),
	}
	if view.Configuration != nil {
		state.Configuration, state.Routes = view.Configuration.Version, len(view.Configuration.Routes)
	}
	lastRead := responder.recorder.LastStoreRead()
	state.StoreEra, state.StoreRevision = lastRead.Era, lastRead.Number
	if view.Servers != nil {
		state.Revision, state.Servers = view.Servers.Revision, len(view.Servers.List)
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(state)
}
