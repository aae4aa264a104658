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
	"github.com/pimentowind/pimentowind/viewer"
)

// maxViews bounds the views that are given at once, so that a fleet that starts
// does not fill the link of the first instance that has one; who is turned away
// asks again after another heartbeat.
const maxViews = 4

// headerTimeout bounds how long a connection may take to send its request.
const headerTimeout = 2 * time.Second

// Responder answers HTTP: the fabric's question for readiness, other instances'
// for the view, and operators' for metrics and state.
type Responder struct {
	viewer   *viewer.Viewer
	relayer  *relayer.Relayer
	recorder *Recorder
	closed   atomic.Bool
	views    chan struct{} // holds one entry for each view that is being given
	vars     *expvar.Map
}

// State is what an instance tells operators at /state.
type State struct {
	Instance      string  `json:"instance"`
	Ready         bool    `json:"ready"`
	Configuration uint64  `json:"configuration_version"`
	Revision      uint64  `json:"backend_servers_revision"`
	Servers       int     `json:"backend_servers"`
	Routes        int     `json:"routes"`
	AgeSeconds    float64 `json:"age_seconds"`
	Instances     int     `json:"instances"`
	ReadingRank   int     `json:"reading_rank"`
}

// NewResponder listens on the addresses in the settings; the returned function stops it.
func NewResponder(settings *configurer.PlatformSettings, current *viewer.Viewer, relayer *relayer.Relayer, recorder *Recorder) (*Responder, func(), error) {
	responder := &Responder{viewer: current, relayer: relayer, recorder: recorder, views: make(chan struct{}, maxViews), vars: &expvar.Map{}}
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

// Close has the instance answer that it is not ready from now on.
func (responder *Responder) Close() { responder.closed.Store(true) }

func (responder *Responder) ready() bool {
	return !responder.closed.Load() && responder.viewer.Current().Complete()
}

func (responder *Responder) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready := responder.ready()
	responder.recorder.ReadinessReported(ready)
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (responder *Responder) serveView(writer http.ResponseWriter, request *http.Request) {
	version, versionErr := strconv.ParseUint(request.FormValue(configuration), 10, 64)
	known, revisionErr := strconv.ParseUint(request.FormValue(revision), 10, 64)
	if versionErr != nil || revisionErr != nil {
		http.Error(writer, "configuration and revision must be numbers", http.StatusBadRequest)
		return
	}
	select {
	case responder.views <- struct{}{}:
		defer func() { <-responder.views }()
	default:
		http.Error(writer, "too many views at once", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/cbor")
	writer.Write(responder.relayer.Snapshot(version, known))
}

func (responder *Responder) serveVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Write([]byte(responder.vars.String()))
}

func (responder *Responder) serveState(writer http.ResponseWriter, instance string) {
	view := responder.viewer.Current()
	state := State{
		Instance:    instance,
		Ready:       responder.ready(),
		AgeSeconds:  responder.relayer.Age(time.Now()).Seconds(),
		Instances:   responder.relayer.Instances(),
		ReadingRank: responder.relayer.Rank(),
	}
	if view.Configuration != nil {
		state.Configuration, state.Routes = view.Configuration.Version, len(view.Configuration.Routes)
	}
	if view.Servers != nil {
		state.Revision, state.Servers = view.Servers.Revision, len(view.Servers.List)
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(state)
}
