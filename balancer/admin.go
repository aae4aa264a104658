package balancer

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/forwarder"
	"github.com/pimentowind/pimentowind/messenger"
)

// Admin answers operators over HTTP: /debug/vars (expvar), /ready and /status.
type Admin struct {
	engine *Engine
	vars   *expvar.Map
}

// NewAdmin listens on address; the returned function stops it.
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
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	return admin, func() { server.Close() }, nil
}

func (admin *Admin) serveVars(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Write([]byte(admin.vars.String()))
}

// serveReady answers 200 once the instance decides and a sheet is in force.
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
	for reason, count := range stats.DroppedDecode {
		vars["dropped_"+reason] = count.Load()
	}
	return vars
}
