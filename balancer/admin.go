package balancer

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/forwarder"
	"github.com/pimentowind/pimentowind/framer"
	"github.com/pimentowind/pimentowind/messenger"
)

// Admin serves operators over HTTP: /debug/vars (expvar counters), /ready, /status and /explain.
type Admin struct {
	engine *Engine
	vars   *expvar.Map
}

// NewAdmin starts to serve on address; the returned function closes the server.
func NewAdmin(address netip.AddrPort, engine *Engine, messenger *messenger.Messenger, forwarder *forwarder.Forwarder) (*Admin, func(), error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for operators on %s", address)
	}
	admin := &Admin{engine: engine, vars: &expvar.Map{}}
	admin.vars.Set("decisions", expvar.Func(func() any { return engine.Counters() }))
	admin.vars.Set("messages", expvar.Func(func() any { return messageVars(messenger.Stats()) }))
	admin.vars.Set("packets", expvar.Func(func() any { return packetVars(forwarder.Stats()) }))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", admin.serveVars)
	mux.HandleFunc("GET /ready", admin.serveReady)
	mux.HandleFunc("GET /status", admin.serveStatus)
	mux.HandleFunc("GET /explain", admin.serveExplain)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	return admin, func() { server.Close() }, nil
}

func (admin *Admin) serveVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Write([]byte(admin.vars.String()))
}

// serveReady answers 503 until the instance has joined the fleet and a sheet is in
// force, and again while the instance is leaving; otherwise 200.
func (admin *Admin) serveReady(writer http.ResponseWriter, _ *http.Request) {
	status := admin.engine.Status()
	if !status.Integrated || status.Leaving || status.InForce == 0 {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	writer.Write([]byte("ready\n"))
}

func (admin *Admin) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(admin.engine.Status())
}

// serveExplain answers how the instance decides about the flow given by the query
// parameters protocol, caller and service.
func (admin *Admin) serveExplain(writer http.ResponseWriter, request *http.Request) {
	tuple, err := parseTuple(request.FormValue("protocol"), request.FormValue("caller"), request.FormValue("service"))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	json.NewEncoder(writer).Encode(admin.engine.Explain(tuple))
}

// parseTuple builds a flow's tuple as seen from the caller; caller and service are
// IPv4 addresses with ports.
func parseTuple(protocol, caller, service string) (framer.Tuple, error) {
	tuple := framer.Tuple{Protocol: framer.ProtocolTCP}
	switch protocol {
	case "tcp":
	case "udp":
		tuple.Protocol = framer.ProtocolUDP
	default:
		return tuple, errors.Errorf("protocol %q is not tcp or udp", protocol)
	}
	source, err := netip.ParseAddrPort(caller)
	if err != nil || !source.Addr().Is4() {
		return tuple, errors.Errorf("caller %q is not an IPv4 address with a port", caller)
	}
	destination, err := netip.ParseAddrPort(service)
	if err != nil || !destination.Addr().Is4() {
		return tuple, errors.Errorf("service %q is not an IPv4 address with a port", service)
	}
	tuple.Source, tuple.SourcePort = source.Addr().As4(), source.Port()
	tuple.Destination, tuple.DestinationPort = destination.Addr().As4(), destination.Port()
	return tuple, nil
}

func messageVars(stats *messenger.Stats) map[string]uint64 {
	return map[string]uint64{
		"sent_bytes":       stats.SentBytes.Load(),
		"received_bytes":   stats.ReceivedBytes.Load(),
		"sent":             stats.SentMessages.Load(),
		"dials":            stats.Dials.Load(),
		"dial_failures":    stats.DialFailures.Load(),
		"queue_overflows":  stats.QueueOverflows.Load(),
		"refused_sessions": stats.RefusedSessions.Load(),
	}
}

func packetVars(stats *forwarder.Stats) map[string]uint64 {
	vars := map[string]uint64{
		"received":           stats.Received.Load(),
		"received_bytes":     stats.ReceivedBytes.Load(),
		"sent":               stats.Sent.Load(),
		"sent_bytes":         stats.SentBytes.Load(),
		"send_errors":        stats.SendErrors.Load(),
		"refusals_not_built": stats.RefusalsFailed.Load(),
		"dropped_untrusted":  stats.Untrusted.Load(),
	}
	for reason, count := range stats.DecodeDrops {
		vars["dropped_"+reason] = count.Load()
	}
	return vars
}
