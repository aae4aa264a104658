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

// Door answers HTTP: the fabric's question for readiness, other instances'
// for the view, and operators' for metrics and state.
type Door struct {
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

// NewDoor listens on the addresses in the settings; the returned function stops it.
func NewDoor(entrance *configurer.Entrance, current *viewer.Viewer, relayer *relayer.Relayer, recorder *Recorder) (*Door, func(), error) {
	door := &Door{viewer: current, relayer: relayer, recorder: recorder, views: make(chan struct{}, maxViews), vars: &expvar.Map{}}
	recorder.publish(door.vars)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, door.serveReady)
	mux.HandleFunc("GET "+viewPath, door.serveView)
	mux.HandleFunc("GET /debug/vars", door.serveVars)
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, _ *http.Request) { door.serveState(writer, entrance.Instance) })
	addresses := []netip.AddrPort{entrance.ReadyAddress, entrance.ControlAddress}
	if entrance.MetricsPort != 0 {
		addresses = append(addresses, netip.AddrPortFrom(entrance.Address, entrance.MetricsPort))
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
		go server.Serve(listener)
	}
	return door, closer.Close, nil
}

// Close has the instance answer that it is not ready from now on.
func (door *Door) Close() { door.closed.Store(true) }

func (door *Door) ready() bool { return !door.closed.Load() && door.viewer.Current().Complete() }

func (door *Door) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready := door.ready()
	door.recorder.Ready(ready)
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (door *Door) serveView(writer http.ResponseWriter, request *http.Request) {
	version, versionErr := strconv.ParseUint(request.FormValue(configuration), 10, 64)
	known, revisionErr := strconv.ParseUint(request.FormValue(revision), 10, 64)
	if versionErr != nil || revisionErr != nil {
		http.Error(writer, "configuration and revision must be numbers", http.StatusBadRequest)
		return
	}
	select {
	case door.views <- struct{}{}:
		defer func() { <-door.views }()
	default:
		http.Error(writer, "too many views at once", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/cbor")
	writer.Write(door.relayer.Snapshot(version, known))
}

func (door *Door) serveVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Write([]byte(door.vars.String()))
}

func (door *Door) serveState(writer http.ResponseWriter, instance string) {
	view := door.viewer.Current()
	state := State{
		Instance:    instance,
		Ready:       door.ready(),
		AgeSeconds:  door.relayer.Age(time.Now()).Seconds(),
		Instances:   door.relayer.Instances(),
		ReadingRank: door.relayer.Rank(),
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
